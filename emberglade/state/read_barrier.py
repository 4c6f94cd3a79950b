"""The read barrier of the store.

A `sync` is answered once the replica shows all commits made before the sync was requested. Syncs
requested within a short time share one request to the state service.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from ..actors import Actor, ActorPart, callback, send_after
from . import wire
from .replica import Replica
from .replica_subscriber import Subscribers, SyncReply
from .requests import RequestQueue
from .wire import LIVE_PREFIX, Changes

if TYPE_CHECKING:
    from ..config import Settings

MAX_IN_FLIGHT = 3  # syncs without a response
MAX_WAITING_UNLOADED = 64  # waiters while the replica is not loaded
# Each sync in flight delays the next one by this many additional intervals.
INTERVAL_FACTOR_PER_IN_FLIGHT = 4
SYNC_BUDGET_DIVISOR = 2.0  # syncs take at most 1/2 of a controller's even share of requests
CHANGES_TOO_OLD = 410  # HTTP status: some changes after the replica's revision are no longer kept


class Sync(NamedTuple):
    """A request in flight for the changes after the replica's revision."""

    sent_at: float
    waiters: list[SyncReply]


def sync_interval_s(settings: "Settings") -> float:
    """The minimum time between two syncs of one controller.

    However many actors request syncs, the syncs use at most half of the controller's even share of
    the request rate (the rate divided by the number of controllers); the rest is left for commits.
    """
    return SYNC_BUDGET_DIVISOR * settings.cluster_size / settings.state_rps


class ReadBarrier(ActorPart):
    """The part of the store that requests changes on behalf of all waiters for a sync.

    Attributes:
        interval_s: The minimum time between two syncs.
        idle_interval_s: Without waiters, a sync is due this long after the last one was sent.
    """

    def __init__(
        self,
        actor: Actor,
        settings: "Settings",
        requests: RequestQueue,
        replica: Replica,
        subscribers: Subscribers,
        apply: Callable[[Changes], None],
        reload_replica: Callable[[], None],
    ) -> None:
        """Creates the read barrier of a store.

        `apply(changes)` applies the result of a sync; `reload_replica()` starts a full read.
        """
        super().__init__(actor)
        self.requests, self.replica, self.subscribers = requests, replica, subscribers
        self.apply, self.reload_replica = apply, reload_replica
        self.interval_s = sync_interval_s(settings)
        # Without waiters, polling less often for changes by other controllers saves most requests
        # of an idle service.
        self.idle_interval_s = max(3 * self.interval_s, settings.agent_heartbeat_s / 8)
        self._waiters: list[SyncReply] = []  # for the next sync
        self._in_flight: dict[int, Sync] = {}  # by the sync's number
        self._last_number = 0
        self._last_sent_at = float("-inf")
        self._last_answered_sent_at = float("-inf")  # when the newest answered sync was sent
        self._is_scheduled = False

    def wait(self, reply: SyncReply) -> None:
        """Calls `reply(revision)` once the replica shows all changes committed before this call.

        Calls `reply(None)` if the sync failed. While the replica is not loaded, at most
        MAX_WAITING_UNLOADED replies wait; then the oldest is called with None for each new one.
        """
        self._waiters.append(reply)
        if self.replica.is_loaded:
            self.schedule()
        elif len(self._waiters) > MAX_WAITING_UNLOADED:
            self._waiters.pop(0)(None)

    def schedule(self) -> None:
        """Schedules the next sync, unless one is scheduled or MAX_IN_FLIGHT syncs are in flight."""
        if self._is_scheduled or len(self._in_flight) >= MAX_IN_FLIGHT:
            return
        self._is_scheduled = True
        # Another sync at the same time is worth its cost only if the earlier one is slow.
        interval_s = self.interval_s * (1 + INTERVAL_FACTOR_PER_IN_FLIGHT * len(self._in_flight))
        send_after(max(0.0, self._last_sent_at + interval_s - self.now()), self.on_send_sync)

    def schedule_if_idle(self) -> None:
        """Schedules a sync if none was sent for `idle_interval_s`, to see others' commits."""
        if self.replica.is_loaded and self.now() - self._last_sent_at > self.idle_interval_s:
            self.schedule()

    def on_send_sync(self) -> None:
        """Handles `send_sync` from `schedule`: sends one sync for all current waiters."""
        self._is_scheduled = False
        if not self.replica.is_loaded:
            return
        self._last_number += 1
        self._last_sent_at = self.now()
        self._in_flight[self._last_number] = Sync(self._last_sent_at, self._waiters)
        self._waiters = []
        path = wire.follow_path(LIVE_PREFIX, self.replica.revision, 0)
        self.requests.get(path, callback(self.on_synced, self._last_number))

    def on_synced(self, number: int, status: int, body: Any) -> None:
        """Handles the response to the sync numbered `number`, from the state service.

        If the state service no longer keeps all changes after the replica's revision, the replica
        is reloaded and the waiters wait for the next sync. Otherwise each waiter receives the
        replica's revision, or None if the sync failed.
        """
        sync = self._in_flight.pop(number)
        if status == CHANGES_TOO_OLD and self.replica.is_loaded:
            self._waiters = sync.waiters + self._waiters
            self.replica.invalidate()
            self.reload_replica()
            return
        changes = wire.read_changes(body, LIVE_PREFIX) if status == 200 else None
        revision = None
        if changes is not None and self.replica.is_loaded:
            self.apply(changes)
            self._note_answer(sync)
            revision = self.replica.revision
        for reply in sync.waiters:
            reply(revision)
        if self._waiters:
            self.schedule()

    def _note_answer(self, sync: Sync) -> None:
        """Notifies subscribers of an answered sync, unless a later one was already answered.

        Only an answered sync shows that the replica is up to date with the store; other requests
        may succeed while syncs fail.
        """
        if sync.sent_at > self._last_answered_sent_at:
            self._last_answered_sent_at = sync.sent_at
            self.subscribers.notify_sync_answered(sync.sent_at, self.replica.revision)
