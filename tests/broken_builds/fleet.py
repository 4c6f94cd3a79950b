"""Broken builds of the leader's taints."""

from emberglade.fleet.taint_change import TaintChange


def taint_keys_never_shrink(patch):
    """Taints are not moved out of values that exceed the size limit."""
    patch.setattr(TaintChange, "shrink", lambda self: None)
