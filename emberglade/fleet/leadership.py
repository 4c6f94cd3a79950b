"""Leadership as this controller's replica shows it, and the leader's writes."""

from collections.abc import Callable, Iterable
from typing import Any

from ..actors import send
from ..membership import Owner
from ..membership import wire as membership_wire
from ..state import LIVE_PREFIX, Store
from ..state import wire as state_wire
from ..state.store import DECISIONS


class Leadership:
    """The owner of the leader's key, and whether this controller acts as leader.

    Attributes:
        owner: The owner of the leader's key; None if there is no owner.
        is_leader: Whether this controller acts as leader, according to its replica. The leader's
            key disappears when the leader's lease expires, but the process acts as leader until its
            replica shows that; its writes fail meanwhile.
        since: When this controller became leader, by its monotonic clock.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.owner: Owner | None = None
        self.is_leader = False
        self.since = 0.0

    def apply(self, data: dict | None, mod_revision: int) -> None:
        """Applies a change of the leader's key; `data` is None if the key was removed."""
        if data is None:
            self.owner = None
        else:
            self.owner = membership_wire.read_owner(data, mod_revision)

    def is_owned_by(self, node: str, incarnation: int | None) -> bool:
        """Whether this process of a controller owns the leader's key."""
        return (
            self.owner is not None
            and incarnation is not None
            and (self.owner.node, self.owner.incarnation) == (node, incarnation)
        )

    def commit(
        self,
        conditions: Iterable[tuple[str, int]],
        values: Iterable[tuple[str, Any]],
        reply: Callable[..., Any],
    ) -> None:
        """Writes keys in one transaction that fails if the leader's key has changed.

        Called only while this controller is leader.

        Args:
            conditions: Conditions besides that on the leader's key, as
                `(key without LIVE_PREFIX, mod revision)`.
            values: `(key without LIVE_PREFIX, data)` to write.
            reply: Called with the store's answer: `reply(status, revision, failed)`.
        """
        assert self.owner is not None, "the leader's key has no owner"
        leader = (membership_wire.LEADER_KEY, self.owner.mod_revision)
        send(
            self.store.on_commit,
            DECISIONS,
            [(LIVE_PREFIX + key, mod_revision) for key, mod_revision in (leader, *conditions)],
            [state_wire.put(LIVE_PREFIX + key, data) for key, data in values],
            reply,
        )
