"""The local replica of the live keys, kept in step with the consensus-backed key-value store.

`sync` is the read barrier of the whole service: its answer comes only when the replica shows
every change made before the sync was asked for. Subscribers get `changed(events, revision)`
before the answer, so an actor that asks for a sync acts on what was true after it asked.
"""

import logging
from collections import deque

from ..actors import Actor, callback, callback_inline, tell, tell_after
from ..transport import NO_ANSWER
from . import wire
from .token_bucket import TokenBucket

log = logging.getLogger("emberglade.state")

LIVE_PREFIX = "eg/l/"  # keys that every controller follows
FINAL_PREFIX = "eg/o/"  # final states of jobs: read one by one, never followed

# Ranks of work, served in this order: heartbeats (and the store's own reads, syncs and leases),
# decisions of controllers, users' submissions.
HEARTBEATS, DECISIONS, SUBMISSIONS = 0, 1, 2


class Store(Actor):
    """The only way to the state service: paces requests and keeps the replica in step."""

    def __init__(self, settings, client):
        self.settings = settings
        self.client = client
        self.replica = {}  # key without LIVE -> (data, stamp: the revision that last wrote it)
        self.revision = -1  # -1: not read yet
        self.last_contact = float("-inf")  # when the last sync that was answered was sent
        self.subscribers = []
        self.syncs = {}  # syncs on their way: number -> (sent, who waits for it)
        self.sync_number = 0
        self.sync_sent = float("-inf")
        self.sync_due = False
        self.sync_waiters = []
        self.queue: tuple[deque, deque, deque] = (deque(), deque(), deque())
        self.in_flight = 0
        self.submission_favoured = float("-inf")  # when a submission was last sent
        self.pause_until = 0.0
        self.requests = TokenBucket(
            settings.state_rps, settings.size, settings.state_rps / settings.size
        )
        self.writes = TokenBucket(
            settings.state_write_rps, settings.size, settings.state_write_rps / settings.size
        )
        # Syncs take at most half of the even share, however many ask; commits have the rest.
        self.sync_gap = 2.0 * settings.size / settings.state_rps
        # While nobody asks, others' changes are looked for less often: most of a quiet day is this.
        self.idle_gap = max(3 * self.sync_gap, settings.agent_heartbeat_s / 8)
        # Requests that nobody answered may still hold a thread; bounded in time.
        self.request_timeout = min(settings.lease_s / 4, 3.0)
        self.flight_cap = 6
        # What a peer that the state service refuses may still learn here. It asks every second or
        # so, and a lease's worth of changes at the full rate is far more than come in between.
        self.recent: deque[tuple] = deque(
            maxlen=max(64, int(settings.state_write_rps * settings.lease_s))
        )
        self.recent_after = -1  # `recent` holds all changes after this revision

    def on_begin(self):
        """Handles `begin` from the actor system: starts the tick and the first full read."""
        self.contact_lost_logged = False
        self.on_tick()
        self.load("", [])

    def on_subscribe(self, actor):
        """Handles `subscribe(actor)` from a follower: it is told every change from now on.

        If the replica has been read, the follower is told all of it at once (`whole` True).
        """
        self.subscribers.append(actor)
        if self.revision >= 0:
            tell(
                actor.on_changed,
                [(k, d, s) for k, (d, s) in self.replica.items()],
                self.revision,
                True,
            )

    # --- reading everything

    def load(self, after, found, first=None):
        """Asks for one page of up to 1000 live keys after `after` (a key without LIVE).

        `found` collects the rows of all pages; `first` is the revision of the first page.
        """
        self.send(
            HEARTBEATS,
            0,
            "GET",
            wire.list_path(LIVE_PREFIX, LIVE_PREFIX + after if after else "", 1000),
            None,
            callback(self.on_loaded, found, first),
        )

    def on_loaded(self, found, first, status, body):
        """Handles the answer to one page of the full read (from `load`).

        Asks for the next page while there is one; after the last, replaces the replica, tells all
        subscribers the whole of it, and asks for a sync. An odd answer reads again in 0.5 s.
        """
        page = wire.read_list(body) if status == 200 else None
        if page is None:
            tell_after(0.5, self.on_reload)
            return
        rows, more, revision = page
        found.extend(rows)
        # Pages are read at growing revisions; the follow from the first one mends the rest.
        first = revision if first is None else first
        if more and rows:
            self.load(rows[-1][0][len(LIVE_PREFIX) :], found, first)
            return
        fresh = {key[len(LIVE_PREFIX) :]: (data, mod_revision) for key, data, mod_revision in found}
        gone = [(key, None, first) for key in self.replica if key not in fresh]
        self.replica = fresh
        self.revision = self.recent_after = first
        self.recent.clear()
        events = gone + [(key, data, mod_revision) for key, (data, mod_revision) in fresh.items()]
        for actor in self.subscribers:
            tell(actor.on_changed, events, first, True)
        log.info("read %d live keys at revision %d", len(fresh), first)
        self.schedule_sync()

    def on_reload(self):
        """Handles `reload`, sent to itself after a failed page: starts the full read again."""
        self.load("", [])

    # --- following

    def apply(self, events, revision):
        """Applies committed changes `[(full key, data or None, mod_revision)]` to the replica.

        Changes at or below the replica's revision and keys outside LIVE are left out;
        subscribers are told what is new. The replica's revision becomes `revision` if newer.
        """
        fresh = []
        for key, data, mod_revision in events:
            if mod_revision <= self.revision or not key.startswith(LIVE_PREFIX):
                continue
            key = key[len(LIVE_PREFIX) :]
            if data is None:
                self.replica.pop(key, None)
            else:
                self.replica[key] = (data, mod_revision)
            fresh.append((key, data, mod_revision))
            if len(self.recent) == self.recent.maxlen:
                self.recent_after = self.recent[0][2]
            self.recent.append((key, data, mod_revision))
        if revision > self.revision:
            self.revision = revision
        if fresh:
            for actor in self.subscribers:
                tell(actor.on_changed, fresh, self.revision, False)

    # --- what peers learn from each other while the state service is out of reach

    def on_changes_for_peer(self, since, reply):
        """Handles `changes_for_peer(since, reply)` from the node's server, for a peer controller.

        Replies 200 with the changes after `since`, as the state service would tell them, or 410
        if they are not all kept here.
        """
        if self.revision < 0 or since < self.recent_after or since > self.revision:
            reply(410, wire.changes_not_kept())
            return
        reply(200, wire.news([row for row in self.recent if row[2] > since], self.revision))

    def on_changes_of_peer(self, since, status, body):
        """Handles a peer's answer to a question for the changes after `since`.

        Committed changes, whoever tells of them. They show nothing about contact: a peer's replica
        may lag.
        """
        news = wire.read_news(body) if status == 200 else None
        if news is not None and 0 <= since <= self.revision:
            self.apply(
                [(LIVE_PREFIX + key, data, mod_revision) for key, data, mod_revision in news[0]],
                news[1],
            )
            for actor in self.subscribers:
                if actor.hears_contact:
                    tell(
                        actor.on_changed, [], self.revision, False
                    )  # the revision counts, also with nothing new

    # --- the read barrier

    def on_sync(self, reply):
        """Handles `sync(reply)`: `reply(revision)` once the replica shows all changes up to now.

        `reply(None)` if the sync failed, or if too many wait before the replica was first read.
        """
        self.sync_waiters.append(reply)
        if self.revision >= 0:
            self.schedule_sync()
        elif len(self.sync_waiters) > 64:
            self.sync_waiters.pop(0)(None)

    def schedule_sync(self):
        """All who ask within the gap share one request; a slow answer does not hold up the next."""
        if self.sync_due or len(self.syncs) >= 3:
            return
        self.sync_due = True
        # A second one at once is worth its cost only when the first is slow to be answered.
        gap = self.sync_gap * (1 + 4 * len(self.syncs))
        tell_after(max(0.0, self.sync_sent + gap - self.now()), self.on_send_sync)

    def on_send_sync(self):
        """Handles `send_sync`, from `schedule_sync`: sends one sync for all who wait."""
        self.sync_due = False
        if self.revision < 0:
            return
        self.sync_number += 1
        self.sync_sent = self.now()
        self.syncs[self.sync_number] = (self.sync_sent, self.sync_waiters)
        self.sync_waiters = []
        self.send(
            HEARTBEATS,
            0,
            "GET",
            wire.follow_path(LIVE_PREFIX, self.revision, 0),
            None,
            callback(self.on_synced, self.sync_number),
        )

    def on_synced(self, number, status, body):
        """Handles the answer to a sync (from `on_send_sync`), numbered `number`.

        A 410 (the revision is too old) reads everything again and keeps the waiters for the next
        sync; news bring the replica forward and tell followers of the contact. Every waiter of this
        sync is answered with the replica's revision, or None if the sync failed.
        """
        sent, waiting = self.syncs.pop(number)
        news = wire.read_news(body) if status == 200 else None
        if status == 410 and self.revision >= 0:
            self.revision = -1
            self.sync_waiters = waiting + self.sync_waiters
            self.load("", [])
            return
        done = False
        if news is not None and self.revision >= 0:
            done = True
            self.apply(*news)
            # Only this shows that the replica is in step; other answers may come while syncs fail.
            if sent > self.last_contact:
                self.last_contact = sent
                for actor in self.subscribers:
                    if actor.hears_contact:
                        tell(actor.on_contact, sent, self.revision)
        for reply in waiting:
            reply(self.revision if done else None)
        if self.sync_waiters:
            self.schedule_sync()

    # --- single requests

    def on_commit(self, priority, conditions, writes, reply):
        """Handles `commit(priority, conditions, writes, reply)`: one compare-and-swap transaction.

        Keys are full names. `reply(status, revision, failed)`; `failed` holds the keys whose
        conditions failed, or what was wrong.
        """
        self.send(
            priority,
            len(writes),
            "POST",
            wire.TRANSACTION_PATH,
            wire.compare_and_swap(conditions, writes),
            lambda status, body: reply(status, wire.revision(body), wire.failure(body)),
        )

    def on_read(self, priority, key, reply):
        """Handles `read(priority, key, reply)`: one key from the state service.

        `reply(status, data, mod_revision)`; data and stamp are None unless the status is 200.
        """

        def answer(status, body):
            found = wire.read_key(body) if status == 200 else None
            if found is None:
                reply(NO_ANSWER if status == 200 else status, None, None)
            else:
                reply(status, *found)

        self.send(priority, 0, "GET", wire.get_path(key), None, answer)

    def on_read_replica(self, keys, reply):
        """Handles `read_replica(keys, reply)`: `reply({key: (data, mod_revision) or None})`."""
        reply({key: self.replica.get(key) for key in keys})

    def on_grant_lease(self, life_ms, reply):
        """Handles `grant_lease(life_ms, reply)`: asks the store for a lease of `life_ms` ms.

        `reply(lease)` with the lease's number, or None if none was granted.
        """
        self.send(
            HEARTBEATS,
            0,
            "POST",
            wire.GRANT_PATH,
            wire.grant(life_ms),
            lambda status, body: reply(wire.read_grant(body) if status == 200 else None),
        )

    def on_keep_alive(self, lease, reply):
        """Handles `keep_alive(lease, reply)`: renews a lease; `reply(status)`, 404: expired."""
        self.send(
            HEARTBEATS,
            0,
            "POST",
            wire.keep_alive_path(lease),
            {},
            lambda status, body: reply(status),
        )

    def send(self, priority, writes, method, path, body, reply):
        """Queues one request at `priority`; `writes` is how many writes it holds.

        `reply(status, body)` comes from the state service, or 429 at once if the queue is full.
        """
        if len(self.queue[priority]) > 200:
            reply(429, None)
            return
        self.queue[priority].append((self.now(), writes, method, path, body, reply))
        self.pump()

    def on_tick(self):
        """Handles `tick`, sent to itself every half idle gap: syncs if none went out for long."""
        # Unasked as well, so that what others wrote is soon seen.
        if self.revision >= 0 and self.now() - self.sync_sent > self.idle_gap:
            self.schedule_sync()
        self.pump()
        tell_after(self.idle_gap / 2, self.on_tick)

    def queues_in_order(self, now):
        """The queues in the order in which they are served, with how many to take from each.

        By rank, but for a submission that waited long.

        Once broken: while a third of all machines was lost, decisions took all writes for seconds,
        and every submission of that time was answered too late (fleet/third_of_machines_fail.txt).
        """
        submissions = self.queue[SUBMISSIONS]
        if (
            submissions
            and now - submissions[0][0] > self.request_timeout / 4
            and now - self.submission_favoured > self.request_timeout / 8
        ):
            yield submissions, 1
        for line in self.queue:
            yield line, len(line)

    def pump(self):
        """Sends queued requests while the budgets and the flight cap allow.

        Requests that waited longer than the request timeout are answered 429 instead.
        """
        now = self.now()
        for line, most in self.queues_in_order(now):
            while line and most > 0 and self.in_flight < self.flight_cap:
                most -= 1
                asked, writes, method, path, body, reply = line[0]
                if now - asked > self.request_timeout:
                    line.popleft()
                    reply(429, None)
                    continue
                if now < self.pause_until or not self.requests.has(now):
                    return
                if writes and not self.writes.has(now):
                    # What ranks lower waits as well: it would take the budget first.
                    return
                line.popleft()
                if line is self.queue[SUBMISSIONS]:
                    self.submission_favoured = now
                self.requests.take(now, 1)
                self.writes.take(now, writes)
                self.in_flight += 1
                self.client.call(
                    method,
                    path,
                    body,
                    self.request_timeout,
                    callback_inline(self.on_answered, writes, reply),
                )

    def on_answered(self, writes, reply, status, body):
        """Handles the state service's answer to one request sent by `pump`.

        A 429 pauses all requests for a sync gap and halves the refused budget's rate.
        """
        self.in_flight -= 1
        if status == 429:
            now = self.now()
            self.pause_until = now + self.sync_gap
            (self.writes if writes else self.requests).refused(now)
        reply(status, body)
        self.pump()
