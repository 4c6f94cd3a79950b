"""Broken builds of the leader and its taints."""

from emberglade.fleet.taint_change import TaintChange


def taint_keys_never_shrink(patch):
    """A key that holds too many taints passes none on."""
    patch.setattr(TaintChange, "shrink", lambda self: None)
