"""The store actor: all access to the consensus-backed key-value store, and the local replica.

`sync` is the read barrier of the service: it is answered only when the replica shows every change
made before the sync was requested. Subscribers receive `changed(changes, revision, is_snapshot)`
before the answer. An actor that acts on the answer therefore knows a state no older than its
request.
"""

import logging
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from ..actors import Actor, send, send_after
from ..transport import NO_ANSWER
from . import transaction_size, wire
from .full_read import FullRead
from .read_barrier import CHANGES_TOO_OLD, ReadBarrier, sync_interval_s
from .replica import Replica
from .replica_subscriber import ReplicaSubscriber, Subscribers, SyncReply
from .requests import Priority, RequestQueue
from .wire import FINAL_PREFIX, LIVE_PREFIX, Change, Changes, KeyValue

if TYPE_CHECKING:
    from ..config import Settings
    from ..transport import Client, Reply

__all__ = [
    "DECISIONS",
    "FINAL_PREFIX",
    "HEARTBEATS",
    "LIVE_PREFIX",
    "SUBMISSIONS",
    "CommitReply",
    "ReadReply",
    "Store",
]

log = logging.getLogger("emberglade.state")

HEARTBEATS = Priority.HEARTBEATS
DECISIONS = Priority.DECISIONS
SUBMISSIONS = Priority.SUBMISSIONS

MIN_RECENT_CHANGES = 64  # minimum number of changes that are kept for peers

# reply(status, revision, failed); `failed`: the keys whose conditions failed, or the error
CommitReply = Callable[[int, int | None, Any], None]
ReadReply = Callable[[int, Any, int | None], None]  # reply(status, data, mod_revision)


class Store(Actor):
    """Paces the requests to the state service, and keeps the replica up to date with it.

    Attributes:
        replica: The local replica of all live keys.
    """

    def __init__(self, settings: "Settings", client: "Client") -> None:
        self.settings = settings
        # A peer without access to the state service polls for changes about every second. The
        # replica keeps the changes of a whole lease duration at the full write rate, which are far
        # more than those between two polls.
        changes_per_lease = int(settings.state_write_rps * settings.lease_s)
        self.replica = Replica(max(MIN_RECENT_CHANGES, changes_per_lease))
        self.subscribers = Subscribers()
        self.requests = RequestQueue(self, settings, client, pause_s=sync_interval_s(settings))
        self.full_read = FullRead(self, self.requests, self.replace)
        self.barrier = ReadBarrier(
            self,
            settings,
            self.requests,
            self.replica,
            self.subscribers,
            apply=self.apply,
            reload_replica=self.full_read.start,
        )

    @property
    def revision(self) -> int:
        """The replica shows all changes up to this revision; -1 if it is not loaded."""
        return self.replica.revision

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: starts the tick and the first full read."""
        self.on_tick()
        self.full_read.start()

    def on_tick(self) -> None:
        """Handles `tick`, sent to itself: syncs if that is due, and sends queued requests."""
        self.barrier.schedule_if_idle()
        self.requests.send_queued()
        send_after(self.barrier.idle_interval_s / 2, self.on_tick)

    # --- the replica

    def on_subscribe(self, actor: ReplicaSubscriber) -> None:
        """Handles `subscribe(actor)` from a subscriber, which receives all changes from now on.

        If the replica is loaded, the subscriber receives it at once (`is_snapshot` is True).
        """
        self.subscribers.add(actor)
        if self.replica.is_loaded:
            send(actor.on_changed, self.replica.rows(), self.revision, True)

    def replace(self, rows: list[Change], revision: int) -> None:
        """Replaces the replica after a full read, and sends it to the subscribers as a snapshot."""
        changes = self.replica.replace(rows, revision)
        self.subscribers.notify_changes(changes, revision, is_snapshot=True)
        log.info("replica loaded: %d live keys at revision %d", len(self.replica), revision)
        self.barrier.schedule()

    def apply(self, changes: Changes) -> None:
        """Applies committed changes, and sends those that are new to the subscribers."""
        fresh = self.replica.apply(changes.changes, changes.revision)
        if fresh:
            self.subscribers.notify_changes(fresh, self.revision)

    def on_sync(self, reply: SyncReply) -> None:
        """Handles `sync(reply)`: the read barrier.

        Calls `reply(revision)` once the replica shows all changes committed up to now, or
        `reply(None)` if the sync failed, or if too many newer syncs wait for the replica to load.
        """
        self.barrier.wait(reply)

    def on_read_replica(
        self, keys: Iterable[str], reply: Callable[[dict[str, KeyValue | None]], None]
    ) -> None:
        """Handles `read_replica(keys, reply)`: `reply({key: KeyValue or None})`."""
        reply({key: self.replica.get(key) for key in keys})

    # --- changes exchanged between peers while the state service is unavailable to one of them

    def on_changes_for_peer(self, since: int, reply: "Reply") -> None:
        """Handles `changes_for_peer(since, reply)` from this controller's server, for a peer.

        Replies 200 with the changes after `since` in the state service's format, or 410 if some of
        them are no longer kept.
        """
        changes = self.replica.changes_after(since)
        if changes is None:
            reply(CHANGES_TOO_OLD, wire.changes_not_kept())
        else:
            reply(200, wire.write_changes(changes, self.revision))

    def on_changes_of_peer(self, since: int, status: int, body: Any) -> None:
        """Handles a peer's response to a request for the changes after `since`.

        The changes are committed, so they are applied. They are no evidence of contact with the
        state service or of an up-to-date replica, because the peer's replica may lag behind.
        """
        changes = wire.read_changes(body) if status == 200 else None
        if changes is not None and 0 <= since <= self.revision:
            self.apply(changes)
            self.subscribers.notify_revision(self.revision)

    # --- single requests

    def on_commit(
        self,
        priority: Priority,
        conditions: Sequence[wire.Condition],
        writes: Sequence[wire.Body],
        reply: CommitReply,
    ) -> None:
        """Handles `commit(priority, conditions, writes, reply)`: one compare-and-swap transaction.

        Keys include their prefix.
        """

        def answer(status: int, body: Any) -> None:
            failure = wire.failure(body)
            if status == HTTPStatus.BAD_REQUEST and failure != wire.NO_SUCH_LEASE:
                size = transaction_size.measure(conditions, writes)
                log.error("the state service rejected a transaction (%s): %s", failure, size)
            reply(status, wire.revision(body), failure)

        body = wire.compare_and_swap(conditions, writes)
        self.requests.send(
            priority, "POST", wire.TRANSACTION_PATH, body, answer, writes=len(writes)
        )

    def on_read(self, priority: Priority, key: str, reply: ReadReply) -> None:
        """Handles `read(priority, key, reply)`: reads one key from the state service.

        Calls `reply(status, data, mod_revision)`; the last two are None unless the status is 200.
        """

        def answer(status: int, body: Any) -> None:
            if status != 200:
                reply(status, None, None)
                return
            found = wire.read_key(body)
            if found is None:
                reply(NO_ANSWER, None, None)
            else:
                reply(status, found.data, found.mod_revision)

        self.requests.get(wire.get_path(key), answer, priority)

    def on_grant_lease(self, life_ms: int, reply: Callable[[Any], None]) -> None:
        """Handles `grant_lease(life_ms, reply)`: requests a lease of `life_ms` milliseconds.

        Calls `reply(lease)` with the ID of the lease, or None if none was granted.
        """

        def answer(status: int, body: Any) -> None:
            reply(wire.read_grant(body) if status == 200 else None)

        self.requests.send(
            Priority.HEARTBEATS, "POST", wire.GRANT_PATH, wire.grant(life_ms), answer
        )

    def on_keep_alive(self, lease: int, reply: Callable[[int], None]) -> None:
        """Handles `keep_alive(lease, reply)`: renews a lease; status 404 means it has expired."""

        def answer(status: int, body: Any) -> None:
            reply(status)

        self.requests.send(Priority.HEARTBEATS, "POST", wire.keep_alive_path(lease), {}, answer)
