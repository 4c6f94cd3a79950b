"""Who holds a shard or the leadership."""

from typing import NamedTuple


class Owner(NamedTuple):
    """Who holds a shard or the leader's key.

    Attributes:
        node: The controller; None if nobody holds it.
        incarnation: Which process of that controller.
        mod_revision: Of the key: the epoch that this owner's writes are conditional on.
    """

    node: str | None
    incarnation: int | None
    mod_revision: int

    def is_process(self, node: str, incarnation: int | None) -> bool:
        """Whether the owner is this process of this controller."""
        return self.node == node and self.incarnation == incarnation


NO_OWNER = Owner(None, None, 0)
