"""Keeps this node's key alive, takes the shards it should hold, and the lead when it is free.

Taking a shard writes its key, and every write to a job is conditional on that key's stamp: a
former holder can't write any more, however late it learns of it. So nothing here has to be
exact about who is alive; wrong guesses cost time, never safety.
"""

import logging

import orjson

from ..state import LIVE, Follower
from ..state import wire as state_wire
from ..state.store import DECISIONS

log = logging.getLogger("emberglade.membership")

SHARDS_PER_NODE = 4
TRANSACTION_BYTES = 48 * 1024  # PROTOCOL's 64 KiB, less keys, names of fields and some room


def shard_count(settings):
    """How many shards the jobs are spread over."""
    return SHARDS_PER_NODE * settings.size


class Member(Follower):
    """Keeps this controller's lease and key, and claims shards and the lead."""

    def __init__(self, settings, store, listeners):
        self.settings, self.store = settings, store
        self.listeners = listeners  # actors told `identity(incarnation)`
        self.lease = None
        # A crashed node is taken over within a third of a worker's lease; mostly it is back sooner.
        self.life_s = max(0.1, settings.lease_s / 3)
        self.nodes, self.shards, self.lead = {}, {}, None
        self.loaded = False
        self.table, self.further = None, []
        self.parts = []  # further values of the table that are still to be written
        self.parts_kept = 0  # so many keys of further values may be there
        self.busy_shards = False
        self.busy_lead = False
        self.busy_key = False
        self.key_dirty = True

    def on_begin(self):
        super().on_begin()
        self.on_grant()
        self.after(self.life_s / 3, "touch")
        self.after(0.5, "tick")

    # --- the lease and the node's key

    def on_grant(self):
        self.store.tell("grant", int(self.life_s * 1000), self.then("granted"))

    def on_granted(self, lease):
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
        self.after(self.life_s / 3, "touch")
        if self.lease is not None:
            self.store.tell("touch", self.lease, self.then("touched", self.lease))

    def on_touched(self, lease, status):
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
        size, chunk = 0, []
        while self.parts and len(chunk) < self.settings.txn_ops - 1:
            size += len(orjson.dumps(self.parts[0][1]))
            if chunk and size > TRANSACTION_BYTES - self.settings.value_bytes:
                break
            chunk.append(self.parts.pop(0))
        return chunk

    def write_key(self):
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
        return [
            state_wire.put(f"{LIVE}r/{self.settings.node}/{n}", data, self.lease)
            for n, data in chunk
        ]

    def write_parts(self, writes):
        self.store.tell("commit", DECISIONS, [], writes, self.then("key_written", self.lease))

    def on_key_written(self, lease, status, revision, failed):
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
        self.loaded = True
        if whole:
            self.nodes, self.shards, self.lead = {}, {}, None
        touched = False
        for key, data, stamp in events:
            if key.startswith("n/"):
                if data is None:
                    self.nodes.pop(key[2:], None)
                else:
                    self.nodes[key[2:]] = data.get("inc")
            elif key.startswith("s/"):
                if data is None:
                    self.shards.pop(int(key[2:]), None)
                else:
                    self.shards[int(key[2:])] = (data.get("node"), data.get("inc"), stamp)
            elif key == "lead":
                self.lead = None if data is None else (data.get("node"), data.get("inc"), stamp)
            else:
                continue
            touched = True
        if touched:
            self.claim()

    def on_tick(self):
        self.after(0.5, "tick")
        if self.settings.node not in self.nodes and self.lease is not None:
            self.key_dirty = True
        self.write_key()
        self.claim()

    def wanted(self, shard):
        """Who should hold the shard: its home node, or if that is not alive the next live one."""
        names = self.settings.names
        home = names[shard % len(names)]
        if home in self.nodes:
            return home
        live = [name for name in names if name in self.nodes]
        return live[(shard // len(names)) % len(live)] if live else None

    def claim(self):
        me = self.settings.node
        if not self.loaded or self.lease is None or self.nodes.get(me) != self.incarnation:
            return
        if not self.busy_shards:
            take = [
                k
                for k in range(shard_count(self.settings))
                if self.wanted(k) == me
                and self.shards.get(k, (None, None, 0))[:2] != (me, self.incarnation)
            ]
            take = take[: self.settings.txn_ops]
            if take:
                self.busy_shards = True
                conditions = [
                    (f"{LIVE}s/{k}", self.shards.get(k, (None, None, 0))[2]) for k in take
                ]
                writes = [
                    state_wire.put(f"{LIVE}s/{k}", {"node": me, "inc": self.incarnation})
                    for k in take
                ]
                log.info("taking shards %s", take)
                self.store.tell("commit", DECISIONS, conditions, writes, self.then("claimed"))
        # A node that is back at once finds the lead of its own former process, which is no more.
        stale = self.lead is not None and self.lead[0] == me and self.lead[1] != self.incarnation
        if (self.lead is None or stale) and not self.busy_lead:
            self.busy_lead = True
            self.store.tell(
                "commit",
                DECISIONS,
                [(LIVE + "lead", self.lead[2] if stale else 0)],
                [state_wire.put(LIVE + "lead", {"node": me, "inc": self.incarnation}, self.lease)],
                self.then("led", self.lease),
            )

    def on_claimed(self, status, revision, failed):
        self.store.tell("sync", self.then("claim_seen"))

    def on_claim_seen(self, revision):
        self.busy_shards = False
        if revision is not None:
            self.claim()

    def on_led(self, lease, status, revision, failed):
        if status == 200:
            log.info("leading from revision %s", revision)
        else:
            self.lost_lease(lease, status, failed)
        self.store.tell("sync", self.then("lead_seen"))

    def on_lead_seen(self, revision):
        self.busy_lead = False
