"""The owner of a shard or of the leader's key."""

from typing import NamedTuple


class Owner(NamedTuple):
    """The process that owns a shard or the leader's key.

    Attributes:
        node: The controller; None if there is no owner.
        incarnation: The process of that controller.
        mod_revision: The key's mod revision, the epoch that the owner's writes are conditional on.
    """

    node: str | None
    incarnation: int | None
    mod_revision: int

    def is_process(self, node: str, incarnation: int | None) -> bool:
        """Whether the owner is the process `incarnation` of the controller `node`."""
        return self.node == node and self.incarnation == incarnation


NO_OWNER = Owner(None, None, 0)
