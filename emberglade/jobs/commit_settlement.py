"""Settles a commit: determines its outcome and reads the committed state of its keys.

A commit is settled if it got no answer, or an error other than a temporary refusal. The switch of a
rechunked job to its new chunks is settled after a success, too (`rechunking.py`). Settling first
ensures that the commit either has been executed or never will be, and then reads the commit's keys
from an up-to-date replica.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..actors import ActorPart, callback, send, send_after
from ..state import wire as state_wire
from ..state.store import DECISIONS
from .scheduling_view import SchedulingView
from .shard_owners import full_shard_key
from .transaction import CommitInFlight

if TYPE_CHECKING:
    from ..state import Store
    from .manager import JobManager

SYNC_RETRY_S = 0.5


class CommitSettlement(ActorPart):
    """Settles one commit at a time.

    `settled` is the handler that receives the replica's final state of the commit's keys:
    {key: (record, mod revision), or None if absent}.
    """

    def __init__(
        self,
        actor: "JobManager",
        store: "Store",
        view: SchedulingView,
        settled: Callable[[dict[str, Any]], None],
    ) -> None:
        super().__init__(actor)
        self._settings, self._store, self._owners = view.settings, store, view.owners
        self._settled = settled

    def settle(self, in_flight: CommitInFlight, outcome_final: bool) -> None:
        """Starts settling a commit.

        `outcome_final`: whether it is certain already that the commit either has been executed or
        never will be.
        """
        if outcome_final:
            self.on_sync(in_flight)
        else:
            self.on_fence(in_flight)

    def on_fence(self, in_flight: CommitInFlight) -> None:
        """Handles `fence`, sent to itself: makes sure that the commit is not executed later.

        The commit is conditional on the epochs of its shards, so the shards' keys are written
        again, which changes the epochs. Without this the commit may be executed late, when the
        capacity and the quota that it relies on have been given to other jobs
        (protocol_rules/late_commit.txt).
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
        """Handles the store's answer to the write of new epochs."""
        if status in (200, 409):
            # 409: the epochs have changed already. Another owner has written the shards' keys, or
            # an earlier attempt of this controller that got no answer has been executed.
            self.on_sync(in_flight)
        else:
            send_after(self._settings.agent_heartbeat_s / 3, self.on_fence, in_flight)

    def on_sync(self, in_flight: CommitInFlight) -> None:
        """Handles `sync`, sent to itself to retry a failed sync: brings the replica up to date."""
        send(self._store.on_sync, callback(self.on_synced, in_flight))

    def on_synced(self, in_flight: CommitInFlight, revision: int | None) -> None:
        """Handles the sync's answer; after a success, the replica shows the commit's outcome."""
        if revision is None:
            send_after(SYNC_RETRY_S, self.on_sync, in_flight)
            return
        send(self._store.on_read_replica, list(in_flight.chunks), callback(self._settled))
