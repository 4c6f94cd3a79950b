"""Whether this controller is the leader, as its replica shows it, and the leader's writes."""

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
        owner: Who holds the leader's key; None: nobody.
        is_leader: Whether this controller acts as leader. It follows the replica, not the identity:
            a process that has lost its lease acts until a change is seen, and its writes fail.
        since: When this controller began to lead, by its steady clock.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.owner: Owner | None = None
        self.is_leader = False
        self.since = 0.0

    def note(self, data: dict | None, mod_revision: int) -> None:
        """Notes a change of the leader's key; None if it was removed."""
        if data is None:
            self.owner = None
        else:
            self.owner = membership_wire.read_owner(data, mod_revision)

    def is_held_by(self, node: str, incarnation: int | None) -> bool:
        """Whether this process of a controller holds the leader's key."""
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
        """Writes keys in one transaction, if this is still the leader; only while is_leader.

        Args:
            conditions: `(key without LIVE_PREFIX, mod revision)` that must hold besides.
            values: `(key without LIVE_PREFIX, data)`.
            reply: As the store's: `reply(status, revision, failed)`.
        """
        assert self.owner is not None, "nobody holds the leader's key"
        leader = (membership_wire.LEADER_KEY, self.owner.mod_revision)
        send(
            self.store.on_commit,
            DECISIONS,
            [(LIVE_PREFIX + key, mod_revision) for key, mod_revision in (leader, *conditions)],
            [state_wire.put(LIVE_PREFIX + key, data) for key, data in values],
            reply,
        )
