"""The copy of the live keys, kept in step with the state service.

`sync` is the read barrier of the whole service: its answer comes only when the copy shows every
change made before the sync was asked for. Subscribers get `changed(events, revision)` before the
answer, so an actor that asks for a sync acts on what was true after it asked.
"""

import logging

from ..actors import Actor
from ..transport import NO_ANSWER
from . import wire
from .budget import Budget

log = logging.getLogger("emberglade.state")

LIVE = "eg/l/"  # keys that every controller follows
OVER = "eg/o/"  # final states of jobs: read one by one, never followed

REPORTS, DECISIONS, SUBMISSIONS = 0, 1, 2  # ranks of work


class Ledger(Actor):
    def __init__(self, settings, link, watch_link):
        self.settings = settings
        self.link, self.watch_link = link, watch_link
        self.copy = {}  # key without LIVE -> (data, stamp)
        self.revision = -1  # -1: not read yet
        self.contact = float("-inf")  # when the last sync that was answered was sent
        self.subscribers = []
        self.syncing = False
        self.sync_sent = float("-inf")
        self.sync_now, self.sync_next = [], []
        self.queue = ([], [], [])
        self.flying = 0
        self.watching = False
        self.pause_until = 0.0
        share = 1.0 / settings.size
        self.requests = Budget(settings.state_rps * share, settings.state_rps * share)
        self.writes = Budget(settings.state_write_rps * share, max(settings.state_write_rps * share, settings.txn_ops))
        # Requests that nobody answered may still hold a thread; bounded in time.
        self.patience = min(settings.lease_s / 4, 3.0)
        self.flight_cap = 6

    def on_begin(self):
        self.contact_lost_logged = False
        self.on_tick()
        self.load("", [])

    def on_subscribe(self, actor):
        self.subscribers.append(actor)
        if self.revision >= 0:
            actor.tell("changed", [(k, d, s) for k, (d, s) in self.copy.items()], self.revision, True)

    # --- reading everything

    def load(self, after, found, first=None):
        self.send(REPORTS, 0, "GET", wire.list_path(LIVE, LIVE + after if after else "", 1000), None,
                  self.then("loaded", found, first))

    def on_loaded(self, found, first, status, body):
        page = wire.read_list(body) if status == 200 else None
        if page is None:
            self.after(0.5, "reload")
            return
        rows, more, revision = page
        found.extend(rows)
        # Pages are read at growing revisions; the follow from the first one mends the rest.
        first = revision if first is None else first
        if more and rows:
            self.load(rows[-1][0][len(LIVE):], found, first)
            return
        fresh = {key[len(LIVE):]: (data, stamp) for key, data, stamp in found}
        gone = [(key, None, first) for key in self.copy if key not in fresh]
        self.copy = fresh
        self.revision = first
        events = gone + [(key, data, stamp) for key, (data, stamp) in fresh.items()]
        for actor in self.subscribers:
            actor.tell("changed", events, first, True)
        log.info("read %d live keys at revision %d", len(fresh), first)
        self.watch()
        if self.sync_next or self.sync_now:
            self.start_sync()

    def on_reload(self):
        self.load("", [])

    # --- following

    def watch(self):
        if self.watching or self.revision < 0:
            return
        self.watching = True
        wait = int(self.settings.lease_s * 1000 / 2)
        self.requests.take(self.now(), 1)
        self.watch_link.call("GET", wire.follow_path(LIVE, self.revision, wait), None, wait / 1000 + self.patience,
                             self.then("watched"))

    def on_watched(self, status, body):
        self.watching = False
        if self.revision < 0:
            return
        news = wire.read_news(body) if status == 200 else None
        if news is not None:
            self.apply(*news)
            self.after(0.1, "rewatch")
        elif status == 410:
            self.revision = -1
            self.load("", [])
        else:
            self.after(0.5, "rewatch")

    def on_rewatch(self):
        self.watch()

    def apply(self, events, revision):
        fresh = []
        for key, data, stamp in events:
            if stamp <= self.revision or not key.startswith(LIVE):
                continue
            key = key[len(LIVE):]
            if data is None:
                self.copy.pop(key, None)
            else:
                self.copy[key] = (data, stamp)
            fresh.append((key, data, stamp))
        if revision > self.revision:
            self.revision = revision
        if fresh:
            for actor in self.subscribers:
                actor.tell("changed", fresh, self.revision, False)

    # --- the read barrier

    def on_sync(self, reply):
        """`reply(revision)` once the copy shows all changes up to now, `reply(None)` if it can't."""
        self.sync_next.append(reply)
        if not self.syncing and self.revision >= 0:
            self.start_sync()
        elif self.revision < 0 and len(self.sync_next) > 64:
            self.sync_next.pop(0)(None)

    def start_sync(self, idle=False):
        if self.syncing or not (self.sync_next or self.sync_now or idle):
            return
        self.syncing = True
        self.sync_sent = self.now()
        self.sync_now += self.sync_next
        self.sync_next = []
        self.send(REPORTS, 0, "GET", wire.follow_path(LIVE, self.revision, 0), None, self.then("synced"))

    def on_synced(self, status, body):
        self.syncing = False
        news = wire.read_news(body) if status == 200 else None
        waiting, self.sync_now = self.sync_now, []
        if status == 410:
            self.revision = -1
            self.sync_now = waiting
            self.load("", [])
            return
        if news is not None and self.revision >= 0:
            self.apply(*news)
            # Only this shows that the copy is in step; other answers may come while syncs fail.
            self.contact = self.sync_sent
            for actor in self.subscribers:
                actor.tell("contact", self.contact)
        for reply in waiting:
            reply(self.revision if news is not None and self.revision >= 0 else None)
        if self.sync_next:
            self.start_sync()

    # --- single requests

    def on_commit(self, rank, conditions, writes, reply):
        """`reply(status, revision, failed)`; keys are full names."""
        self.send(rank, len(writes), "POST", "/txn", wire.txn(conditions, writes),
                  lambda status, body: reply(status, wire.revision(body),
                                             body.get("failed") if isinstance(body, dict) else None))

    def on_read(self, rank, key, reply):
        """`reply(status, data, stamp)`."""
        def answer(status, body):
            if status == 200 and not (isinstance(body, dict) and "data" in body):
                status = NO_ANSWER
            reply(status, body["data"] if status == 200 else None, body.get("stamp") if status == 200 else None)
        self.send(rank, 0, "GET", wire.get_path(key), None, answer)

    def on_look(self, keys, reply):
        """`reply({key: (data, stamp)})` from the copy, as it stands."""
        reply({key: self.copy.get(key) for key in keys})

    def on_grant(self, life_ms, reply):
        self.send(REPORTS, 0, "POST", "/grants", {"life_ms": life_ms},
                  lambda status, body: reply(body.get("tenure") if status == 200 and isinstance(body, dict) else None))

    def on_touch(self, lease, reply):
        self.send(REPORTS, 0, "POST", f"/grants/{lease}/touch", {}, lambda status, body: reply(status))

    def send(self, rank, writes, method, path, body, reply):
        if len(self.queue[rank]) > 200:
            reply(429, None)
            return
        self.queue[rank].append((self.now(), writes, method, path, body, reply))
        self.pump()

    def on_tick(self):
        if self.revision >= 0 and not self.syncing and self.now() - self.contact > 1.0 and self.now() - self.sync_sent > 1.0:
            self.start_sync(idle=True)
        self.pump()
        self.after(0.05, "tick")

    def pump(self):
        now = self.now()
        for rank, line in enumerate(self.queue):
            while line and self.flying < self.flight_cap:
                asked, writes, method, path, body, reply = line[0]
                if now - asked > self.patience:
                    line.pop(0)
                    reply(429, None)
                    continue
                if now < self.pause_until or not self.requests.has(now, 1) or (writes and not self.writes.has(now, writes)):
                    # What ranks lower waits as well: it would take the budget first.
                    break
                line.pop(0)
                self.requests.take(now, 1)
                self.writes.take(now, writes)
                self.flying += 1
                self.link.call(method, path, body, self.patience, self.then("answered", reply))
            if line and rank < SUBMISSIONS and now < self.pause_until:
                return

    def on_answered(self, reply, status, body):
        self.flying -= 1
        if status == 429:
            self.pause_until = self.now() + 0.1
        reply(status, body)
        self.pump()
