"""The read barrier: an answer to `sync` comes only once the replica shows all that was committed.

That is, all that was committed before the sync was asked for. All who ask within a short time share
one request to the state service.
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

MAX_IN_FLIGHT = 3  # syncs without an answer
MAX_WAITING_UNREAD = 64  # who may wait for a sync while the replica was not read yet
SLOWDOWN_IN_FLIGHT = 4  # a sync in flight lengthens the interval to the next by so many times
BUDGET_SHARE = 2.0  # of a controller's even share of requests, syncs take one in so many
CHANGES_TOO_OLD = 410  # the state service does not keep all changes since the replica's revision


class Sync(NamedTuple):
    """A request for the changes since the replica's revision, on its way."""

    sent_at: float
    waiters: list[SyncReply]


def sync_interval_s(settings: "Settings") -> float:
    """The least time between two syncs of one controller.

    Syncs take at most half of the even share, however many ask; commits have the rest.
    """
    return BUDGET_SHARE * settings.cluster_size / settings.state_rps


class ReadBarrier(ActorPart):
    """The part of the store that asks for changes, on behalf of all who wait for a sync.

    Attributes:
        interval_s: The least time between two syncs.
        idle_interval_s: While nobody asks, a sync is due this long after the last one was sent.
    """

    def __init__(
        self,
        actor: Actor,
        settings: "Settings",
        requests: RequestQueue,
        replica: Replica,
        subscribers: Subscribers,
        apply: Callable[[Changes], None],
        read_again: Callable[[], None],
    ) -> None:
        """Makes the barrier of a store.

        `apply(changes)` takes in what a sync brings; `read_again()` reads the whole replica.
        """
        super().__init__(actor)
        self.requests, self.replica, self.subscribers = requests, replica, subscribers
        self.apply, self.read_again = apply, read_again
        self.interval_s = sync_interval_s(settings)
        # While nobody asks, others' changes are looked for less often: most of a quiet day is this.
        self.idle_interval_s = max(3 * self.interval_s, settings.agent_heartbeat_s / 8)
        self._waiters: list[SyncReply] = []  # of the next sync
        self._in_flight: dict[int, Sync] = {}  # by the sync's number
        self._last_number = 0
        self._last_sent_at = float("-inf")
        self._last_answered_sent_at = float("-inf")  # when the newest answered sync was sent
        self._is_scheduled = False

    def wait(self, reply: SyncReply) -> None:
        """Has `reply(revision)` called once the replica shows all changes up to now.

        `reply(None)` if the sync failed, or if too many wait before the replica was first read.
        """
        self._waiters.append(reply)
        if self.replica.is_read:
            self.schedule()
        elif len(self._waiters) > MAX_WAITING_UNREAD:
            self._waiters.pop(0)(None)

    def schedule(self) -> None:
        """Has the next sync sent after the interval; a slow answer does not hold it up."""
        if self._is_scheduled or len(self._in_flight) >= MAX_IN_FLIGHT:
            return
        self._is_scheduled = True
        # A second one at once is worth its cost only when the first is slow to be answered.
        interval_s = self.interval_s * (1 + SLOWDOWN_IN_FLIGHT * len(self._in_flight))
        send_after(max(0.0, self._last_sent_at + interval_s - self.now()), self.on_send_sync)

    def schedule_if_idle(self) -> None:
        """Schedules a sync if none was sent for long: what others wrote is to be seen soon."""
        if self.replica.is_read and self.now() - self._last_sent_at > self.idle_interval_s:
            self.schedule()

    def on_send_sync(self) -> None:
        """Handles `send_sync`, from `schedule`: sends one sync for all who wait."""
        self._is_scheduled = False
        if not self.replica.is_read:
            return
        self._last_number += 1
        self._last_sent_at = self.now()
        self._in_flight[self._last_number] = Sync(self._last_sent_at, self._waiters)
        self._waiters = []
        path = wire.follow_path(LIVE_PREFIX, self.replica.revision, 0)
        self.requests.get(path, callback(self.on_synced, self._last_number))

    def on_synced(self, number: int, status: int, body: Any) -> None:
        """Handles the answer to the sync numbered `number`, from the state service.

        If the replica's revision is too old, everything is read again and the waiters wait for the
        next sync. Otherwise each of them is answered with the replica's revision, or with None if
        the sync failed.
        """
        sync = self._in_flight.pop(number)
        if status == CHANGES_TOO_OLD and self.replica.is_read:
            self._waiters = sync.waiters + self._waiters
            self.replica.invalidate()
            self.read_again()
            return
        changes = wire.read_changes(body, LIVE_PREFIX) if status == 200 else None
        revision = None
        if changes is not None and self.replica.is_read:
            self.apply(changes)
            self._note_answer(sync)
            revision = self.replica.revision
        for reply in sync.waiters:
            reply(revision)
        if self._waiters:
            self.schedule()

    def _note_answer(self, sync: Sync) -> None:
        """Tells subscribers of an answered sync, unless one that was sent later was answered.

        Only this shows that the replica is in step; other answers may come while syncs fail.
        """
        if sync.sent_at > self._last_answered_sent_at:
            self._last_answered_sent_at = sync.sent_at
            self.subscribers.notify_sync_answered(sync.sent_at, self.replica.revision)
