"""Keeps this node's lease and key alive, and follows who holds what."""

import logging

import orjson

from ..state import LIVE, Follower
from ..state import wire as state_wire
from ..state.store import DECISIONS
from .claims import Claims, claims_revision

log = logging.getLogger("emberglade.membership")

TRANSACTION_BYTES = 48 * 1024  # PROTOCOL's 64 KiB, less keys, names of fields and some room


class Member(Claims, Follower):
    """Keeps this controller's lease and key, and claims shards and the lead."""

    def __init__(self, settings, store, listeners):
        Claims.__init__(self, settings)
        self.settings, self.store = settings, store
        self.listeners = listeners  # actors told `identity(incarnation)`
        self.lease = None
        # A crashed node is taken over within a third of a worker's lease; mostly it is back sooner.
        self.life_s = max(0.1, settings.lease_s / 3)
        self.nodes = {}
        self.loaded = False
        self.table, self.further = None, []
        self.parts = []  # further values of the table that are still to be written
        self.parts_kept = 0  # so many keys of further values may be there
        self.busy_key = False
        self.key_dirty = True

    def on_begin(self):
        """Handles `begin` from the actor system: subscribes, asks for a lease, starts timers."""
        super().on_begin()
        self.on_grant()
        self.after(self.life_s / 3, "touch")
        self.after(0.5, "tick")

    # --- the lease and the node's key

    def on_grant(self):
        """Handles `grant`, sent to itself: asks the store for a lease of `life_s`."""
        self.store.tell("grant_lease", int(self.life_s * 1000), self.then("granted"))

    def on_granted(self, lease):
        """Handles the store's answer to `grant`: the lease's number, or None if none was granted.

        The first lease names this process's incarnation, told to the listeners; the node's key is
        written again under the new lease. Without a lease, asks again in 0.5 s.
        """
        if not isinstance(lease, int):
            self.after(0.5, "grant")
            return
        self.lease = lease
        if self.incarnation is None:
            # The state service never gives a lease's number twice, so neither is this.
            self.incarnation = lease
            log.info("this is incarnation %d of %s", lease, self.settings.node)
            for actor in self.listeners:
                actor.tell("identity", lease)
        self.key_dirty = True
        self.write_key()

    def on_touch(self):
        """Handles `touch`, sent to itself every third of `life_s`: keeps the lease alive."""
        self.after(self.life_s / 3, "touch")
        if self.lease is not None:
            self.store.tell("keep_alive", self.lease, self.then("touched", self.lease))

    def on_touched(self, lease, status):
        """Handles the store's answer to a keep-alive of `lease`: a 404 takes a new lease."""
        if status == 404 and lease == self.lease:
            log.info("the node's lease ran out; taking a new one")
            self.lease = None
            self.on_grant()

    def on_table(self, table, further):
        """The 5 s table of counts and machines; `further` holds what didn't fit."""
        self.table, self.further = table, further
        self.key_dirty = True
        self.write_key()

    def chunk(self):
        """Takes as many further values as one transaction holds besides what is already in it."""
        size = 0
        chunk: list[tuple[int, object]] = []
        while self.parts and len(chunk) < self.settings.txn_ops - 1:
            size += len(orjson.dumps(self.parts[0][1]))
            if chunk and size > TRANSACTION_BYTES - self.settings.value_bytes:
                break
            chunk.append(self.parts.pop(0))
        return chunk

    def write_key(self):
        """Writes the node's key with its table, and the first further values, if they changed.

        Keys of further values that are no longer needed are removed first.
        """
        if self.busy_key or self.lease is None or not self.key_dirty:
            return
        self.busy_key, self.key_dirty = True, False
        # Values and transactions are limited, so a long table takes several keys and perhaps
        # several transactions; who reads it waits until all parts of one number are there.
        spare = max(0, self.parts_kept - len(self.further))
        self.parts_kept = len(self.further)
        self.parts = list(enumerate(self.further))
        writes = [
            state_wire.put(
                LIVE + "n/" + self.settings.node,
                {"inc": self.incarnation, "table": self.table},
                self.lease,
            )
        ]
        writes += [
            state_wire.remove(f"{LIVE}r/{self.settings.node}/{n}")
            for n in range(len(self.further), len(self.further) + spare)
        ][: self.settings.txn_ops - 1]
        self.write_parts(writes if spare else writes + self.puts(self.chunk()))

    def puts(self, chunk):
        """The writes of `chunk` (`[(number, value)]`) as keys of further values."""
        return [
            state_wire.put(f"{LIVE}r/{self.settings.node}/{n}", data, self.lease)
            for n, data in chunk
        ]

    def write_parts(self, writes):
        """Sends `writes` in one transaction; the answer goes to `on_key_written`."""
        self.store.tell("commit", DECISIONS, [], writes, self.then("key_written", self.lease))

    def on_key_written(self, lease, status, revision, failed):
        """Handles the store's answer to a write of the node's key or further values.

        Writes the next chunk while there is one; a refused table is logged, other failures write
        the key again on the next tick.
        """
        if status == 200 and self.parts and lease == self.lease and not self.key_dirty:
            self.write_parts(self.puts(self.chunk()))
            return
        self.busy_key = False
        if self.lost_lease(lease, status, failed):
            return
        if status == 400 and failed != state_wire.NO_SUCH_LEASE:
            # Not the lease: asking for another would not help, and the next try would end the same
            # way.
            log.error(
                "the state service refuses this node's table (%s); "
                "its machines are told directly only",
                failed,
            )
        elif status != 200:
            self.key_dirty = True

    def lost_lease(self, lease, status, failed):
        """Takes a new lease if the transaction failed for want of one; True if it did."""
        if status != 400 or failed != state_wire.NO_SUCH_LEASE or lease != self.lease:
            return False
        self.lease = None
        self.on_grant()
        return True

    # --- what the copy says

    def on_changed(self, events, revision, whole):
        """Handles `changed(events, revision, whole)` from the store.

        Notes the nodes' keys and the claims, and claims what is due.
        """
        self.loaded = True
        if whole:
            self.nodes = {}
            self.forget_claims()
        touched = False
        for key, data, stamp in events:
            if key.startswith("n/"):
                if data is None:
                    self.nodes.pop(key[2:], None)
                else:
                    self.nodes[key[2:]] = data.get("inc")
            elif not self.note_claim(key, data, stamp):
                continue
            touched = True
        changed = claims_revision(events, revision, whole)
        if changed is not None:
            self.claims_revision = max(self.claims_revision, changed)
        if touched:
            self.claim()

    def on_tick(self):
        """Handles `tick`, sent to itself every 0.5 s: rewrites a lost node key, claims."""
        self.after(0.5, "tick")
        if self.settings.node not in self.nodes and self.lease is not None:
            self.key_dirty = True
        self.write_key()
        self.claim()
