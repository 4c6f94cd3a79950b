"""Finds out what became of a commit that got no answer, or was refused.

It either has been carried out or never will be; then what it was to write is read again.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..actors import ActorPart, callback, send, send_after
from ..state import wire as state_wire
from ..state.store import DECISIONS
from .shard_owners import full_shard_key
from .transaction import CommitInFlight
from .view import View

if TYPE_CHECKING:
    from ..state import Store
    from .manager import JobManager

SYNC_RETRY_S = 0.5


class CommitSettlement(ActorPart):
    """Settles a commit of unknown outcome.

    `settled` is the handler that is told {key: (record, mod revision), or None if it is absent}, as
    the replica shows the commit's keys in the end.
    """

    def __init__(
        self,
        actor: "JobManager",
        store: "Store",
        view: View,
        settled: Callable[[dict[str, Any]], None],
    ) -> None:
        super().__init__(actor)
        self._settings, self._store, self._owners = view.settings, store, view.owners
        self._settled = settled

    def settle(self, in_flight: CommitInFlight, decided: bool) -> None:
        """Has a commit settled.

        `decided`: it is known that the commit has been carried out, or never will be.
        """
        if decided:
            self.on_sync(in_flight)
        else:
            self.on_fence(in_flight)

    def on_fence(self, in_flight: CommitInFlight) -> None:
        """Handles `fence`, sent to itself: sees that a commit is applied by now or never will be.

        Once broken: it was applied late, when the capacity and the quota that it counted on had
        been given to others (protocol_rules/late_commit.txt). All that it hangs on are the epochs
        of its shards, so these are written anew.
        """
        epochs = sorted(self._owners.owned_among(in_flight.shards))
        if not epochs:
            self.on_sync(in_flight)
            return
        record = self._owners.own_record()
        send(
            self._store.on_commit,
            DECISIONS,
            [(full_shard_key(shard), epoch) for shard, epoch in epochs],
            [state_wire.put(full_shard_key(shard), record) for shard, _ in epochs],
            callback(self.on_fenced, in_flight),
        )

    def on_fenced(
        self, in_flight: CommitInFlight, status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to the epochs' being written anew."""
        if status in (200, 409):
            # With 409 the epochs are others' already, or ours from a try that got no answer.
            self.on_sync(in_flight)
        else:
            send_after(self._settings.agent_heartbeat_s / 3, self.on_fence, in_flight)

    def on_sync(self, in_flight: CommitInFlight) -> None:
        """Handles `sync`, sent to itself after one that failed: brings the replica up to date."""
        send(self._store.on_sync, callback(self.on_synced, in_flight))

    def on_synced(self, in_flight: CommitInFlight, revision: int | None) -> None:
        """Handles the sync after which the replica shows what became of the commit."""
        if revision is None:
            send_after(SYNC_RETRY_S, self.on_sync, in_flight)
            return
        send(self._store.on_read_replica, list(in_flight.chunks), callback(self._settled))
