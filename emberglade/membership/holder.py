"""Who holds a shard or the leadership."""

from typing import NamedTuple


class Holder(NamedTuple):
    """Who holds a shard or the leader's key.

    Attributes:
        node: The controller; None if nobody holds it.
        incarnation: Which process of that controller.
        mod_revision: Of the key: the epoch that this holder's writes are conditional on.
    """

    node: str | None
    incarnation: int | None
    mod_revision: int

    def is_process(self, node: str, incarnation: int | None) -> bool:
        """Whether the holder is this process of this controller."""
        return self.node == node and self.incarnation == incarnation


NOBODY = Holder(None, None, 0)
