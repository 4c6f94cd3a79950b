"""The only way to the consensus-backed key-value store, and the local replica of its live keys.

`sync` is the read barrier of the whole service: its answer comes only when the replica shows
every change made before the sync was asked for. Subscribers get `changed(changes, revision)`
before the answer, so an actor that asks for a sync acts on what was true after it asked.
"""

import logging
from collections.abc import Callable, Iterable, Sequence
from typing import TYPE_CHECKING, Any

from ..actors import Actor, send, send_after
from ..transport import NO_ANSWER
from . import wire
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

MIN_RECENT_CHANGES = 64  # kept for peers

# reply(status, revision, failed); `failed`: the keys whose conditions failed, or what was wrong
CommitReply = Callable[[int, int | None, Any], None]
ReadReply = Callable[[int, Any, int | None], None]  # reply(status, data, mod_revision)


class Store(Actor):
    """Paces the requests to the state service, and keeps the replica in step with it.

    Attributes:
        replica: All live keys as they are known here.
    """

    def __init__(self, settings: "Settings", client: "Client") -> None:
        self.settings = settings
        # A peer that the state service refuses asks every second or so what is new, and a lease's
        # worth of changes at the full rate is far more than come in between.
        changes_a_lease = int(settings.state_write_rps * settings.lease_s)
        self.replica = Replica(max(MIN_RECENT_CHANGES, changes_a_lease))
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
        """The replica shows all changes up to this revision; -1: it is not read yet."""
        return self.replica.revision

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: starts the tick and the first full read."""
        self.on_tick()
        self.full_read.start()

    def on_tick(self) -> None:
        """Handles `tick`, sent to itself: syncs if none went out for long, and sends what waits."""
        self.barrier.schedule_if_idle()
        self.requests.send_queued()
        send_after(self.barrier.idle_interval_s / 2, self.on_tick)

    # --- the replica

    def on_subscribe(self, actor: ReplicaSubscriber) -> None:
        """Handles `subscribe(actor)` from a subscriber: it is told every change from now on.

        If the replica has been read, the subscriber is told all of it at once (`is_snapshot` True).
        """
        self.subscribers.add(actor)
        if self.replica.is_loaded:
            send(actor.on_changed, self.replica.rows(), self.revision, True)

    def replace(self, rows: list[Change], revision: int) -> None:
        """Takes in all live keys, read anew, and tells the subscribers the whole of them."""
        changes = self.replica.replace(rows, revision)
        self.subscribers.notify_changes(changes, revision, is_snapshot=True)
        log.info("read %d live keys at revision %d", len(self.replica), revision)
        self.barrier.schedule()

    def apply(self, changes: Changes) -> None:
        """Takes in committed changes, and tells the subscribers those that are new here."""
        fresh = self.replica.apply(changes.changes, changes.revision)
        if fresh:
            self.subscribers.notify_changes(fresh, self.revision)

    def on_sync(self, reply: SyncReply) -> None:
        """Handles `sync(reply)`: `reply(revision)` once the replica shows all changes up to now.

        `reply(None)` if the sync failed, or if too many wait before the replica was first read.
        """
        self.barrier.wait(reply)

    def on_read_replica(
        self, keys: Iterable[str], reply: Callable[[dict[str, KeyValue | None]], None]
    ) -> None:
        """Handles `read_replica(keys, reply)`: `reply({key: KeyValue or None})`."""
        reply({key: self.replica.get(key) for key in keys})

    # --- what peers learn from each other while the state service is out of reach

    def on_changes_for_peer(self, since: int, reply: "Reply") -> None:
        """Handles `changes_for_peer(since, reply)` from the node's server, for a peer controller.

        Replies 200 with the changes after `since`, as the state service would tell them, or 410
        if they are not all kept here.
        """
        changes = self.replica.changes_after(since)
        if changes is None:
            reply(CHANGES_TOO_OLD, wire.changes_not_kept())
        else:
            reply(200, wire.write_changes(changes, self.revision))

    def on_changes_of_peer(self, since: int, status: int, body: Any) -> None:
        """Handles a peer's answer to a question for the changes after `since`.

        Committed changes, whoever tells of them. They don't show that the state service answers
        here: a peer's replica may lag.
        """
        changes = wire.read_changes(body) if status == 200 else None
        if changes is not None and 0 <= since <= self.revision:
            self.apply(changes)
            self.subscribers.notify_revision(self.revision)

    # --- single requests

    def on_commit(
        self,
        priority: Priority,
        conditions: Iterable[tuple[str, int]],
        writes: Sequence[wire.Body],
        reply: CommitReply,
    ) -> None:
        """Handles `commit(priority, conditions, writes, reply)`: one compare-and-swap transaction.

        Keys are full names; conditions are `(key, mod_revision)`.
        """

        def answer(status: int, body: Any) -> None:
            reply(status, wire.revision(body), wire.failure(body))

        body = wire.compare_and_swap(conditions, writes)
        self.requests.send(
            priority, "POST", wire.TRANSACTION_PATH, body, answer, writes=len(writes)
        )

    def on_read(self, priority: Priority, key: str, reply: ReadReply) -> None:
        """Handles `read(priority, key, reply)`: one key from the state service.

        `reply(status, data, mod_revision)`; the last two are None unless the status is 200.
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
        """Handles `grant_lease(life_ms, reply)`: asks the store for a lease of `life_ms` ms.

        `reply(lease)` with the lease's number, or None if none was granted.
        """

        def answer(status: int, body: Any) -> None:
            reply(wire.read_grant(body) if status == 200 else None)

        self.requests.send(
            Priority.HEARTBEATS, "POST", wire.GRANT_PATH, wire.grant(life_ms), answer
        )

    def on_keep_alive(self, lease: int, reply: Callable[[int], None]) -> None:
        """Handles `keep_alive(lease, reply)`: renews a lease; `reply(status)`, 404: expired."""

        def answer(status: int, body: Any) -> None:
            reply(status)

        self.requests.send(Priority.HEARTBEATS, "POST", wire.keep_alive_path(lease), {}, answer)
