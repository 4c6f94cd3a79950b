"""Whether this controller is the leader, as its replica shows it, and the leader's writes."""

from collections.abc import Callable, Iterable
from typing import Any

from ..actors import tell
from ..membership import Holder
from ..membership import wire as membership_wire
from ..state import LIVE_PREFIX, Store
from ..state import wire as state_wire
from ..state.store import DECISIONS


class Leadership:
    """The holder of the leader's key, and whether this controller acts as leader.

    Attributes:
        holder: Who holds the leader's key; None: nobody.
        leading: Whether this controller acts as leader. It follows the replica, not the identity:
            a process that has lost its lease acts until a change is seen, and its writes fail.
        since: When this controller began to lead, by its steady clock.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self.holder: Holder | None = None
        self.leading = False
        self.since = 0.0

    def note(self, data: dict | None, mod_revision: int) -> None:
        """Notes a change of the leader's key; None if it was removed."""
        if data is None:
            self.holder = None
        else:
            self.holder = membership_wire.read_holder(data, mod_revision)

    def is_held_by(self, node: str, incarnation: int | None) -> bool:
        """Whether this process of a controller holds the leader's key."""
        return (
            self.holder is not None
            and incarnation is not None
            and (self.holder.node, self.holder.incarnation) == (node, incarnation)
        )

    def commit(
        self,
        conditions: Iterable[tuple[str, int]],
        values: Iterable[tuple[str, Any]],
        reply: Callable[..., Any],
    ) -> None:
        """Writes keys in one transaction, if this is still the leader; only while leading.

        Args:
            conditions: `(key without LIVE_PREFIX, mod revision)` that must hold besides.
            values: `(key without LIVE_PREFIX, data)`.
            reply: As the store's: `reply(status, revision, failed)`.
        """
        assert self.holder is not None, "nobody holds the leader's key"
        leader = (membership_wire.LEADER_KEY, self.holder.mod_revision)
        tell(
            self.store.on_commit,
            DECISIONS,
            [(LIVE_PREFIX + key, mod_revision) for key, mod_revision in (leader, *conditions)],
            [state_wire.put(LIVE_PREFIX + key, data) for key, data in values],
            reply,
        )
