"""Keeps this node's lease and key alive, and follows who holds what."""

import logging

import orjson

from ..actors import callback, tell, tell_after
from ..state import LIVE_PREFIX, ReplicaSubscriber
from ..state import wire as state_wire
from ..state.store import DECISIONS
from . import wire
from .ownership import Ownership, ownership_revision

log = logging.getLogger("emberglade.membership")

TRANSACTION_BYTES = 48 * 1024  # PROTOCOL's 64 KiB, less keys, names of fields and some room


class Member(Ownership, ReplicaSubscriber):
    """Keeps this controller's lease and key alive, and takes shards and leadership."""

    def __init__(self, settings, store, listeners):
        Ownership.__init__(self, settings)
        self.settings, self.store = settings, store
        self.listeners = listeners  # actors told `identity(incarnation)`
        self.lease = None
        # A crashed node is taken over within a third of a worker's lease; mostly it is back sooner.
        self.lease_life_s = max(0.1, settings.lease_s / 3)
        self.nodes = {}
        self.loaded = False
        self.table, self.overflow = None, []
        self.overflow_left = []  # (number, value) of overflow values still to be written
        self.overflow_keys = 0  # so many keys of overflow values may be there
        self.writing_node_key = False
        self.node_key_dirty = True

    def on_begin(self):
        """Handles `begin` from the actor system: subscribes, asks for a lease, starts timers."""
        super().on_begin()
        self.on_grant_lease()
        tell_after(self.lease_life_s / 3, self.on_keep_alive)
        tell_after(0.5, self.on_tick)

    # --- the lease and the node's key

    def on_grant_lease(self):
        """Handles `grant_lease`, sent to itself: asks the store for a lease of `lease_life_s`."""
        tell(
            self.store.on_grant_lease,
            int(self.lease_life_s * 1000),
            callback(self.on_lease_granted),
        )

    def on_lease_granted(self, lease):
        """Handles the store's answer to `grant_lease`: the lease's number, or None.

        The first lease names this process's incarnation, told to the listeners; the node's key is
        written again under the new lease. Without a lease, asks again in 0.5 s.
        """
        if not isinstance(lease, int):
            tell_after(0.5, self.on_grant_lease)
            return
        self.lease = lease
        if self.incarnation is None:
            # The state service never gives a lease's number twice, so neither is this.
            self.incarnation = lease
            log.info("this is incarnation %d of %s", lease, self.settings.node)
            for actor in self.listeners:
                tell(actor.on_identity, lease)
        self.node_key_dirty = True
        self.write_node_key()

    def on_keep_alive(self):
        """Handles `keep_alive`, sent to itself every third of `lease_life_s`: renews the lease."""
        tell_after(self.lease_life_s / 3, self.on_keep_alive)
        if self.lease is not None:
            tell(self.store.on_keep_alive, self.lease, callback(self.on_kept_alive, self.lease))

    def on_kept_alive(self, lease, status):
        """Handles the store's answer to a keep-alive of `lease`: a 404 takes a new lease."""
        if status == 404 and lease == self.lease:
            log.info("the node's lease expired; taking a new one")
            self.lease = None
            self.on_grant_lease()

    def on_table(self, table, overflow):
        """Handles `table(table, overflow)` from the agents' tables: the 5 s table.

        `table` holds counts and machines; `overflow` the values that didn't fit in the node's key.
        """
        self.table, self.overflow = table, overflow
        self.node_key_dirty = True
        self.write_node_key()

    def next_overflow_batch(self):
        """Takes as many overflow values as one transaction holds besides what is already in it."""
        size = 0
        batch: list[tuple[int, object]] = []
        while self.overflow_left and len(batch) < self.settings.txn_ops - 1:
            size += len(orjson.dumps(self.overflow_left[0][1]))
            if batch and size > TRANSACTION_BYTES - self.settings.value_bytes:
                break
            batch.append(self.overflow_left.pop(0))
        return batch

    def write_node_key(self):
        """Writes the node's key with its table, and the first overflow values, if they changed.

        Keys of overflow values that are no longer needed are removed first.
        """
        if self.writing_node_key or self.lease is None or not self.node_key_dirty:
            return
        self.writing_node_key, self.node_key_dirty = True, False
        # Values and transactions are limited, so a long table takes several keys and perhaps
        # several transactions; who reads it waits until all parts of one number are there.
        spare = max(0, self.overflow_keys - len(self.overflow))
        self.overflow_keys = len(self.overflow)
        self.overflow_left = list(enumerate(self.overflow))
        writes = [
            state_wire.put(
                LIVE_PREFIX + wire.node_key(self.settings.node),
                wire.node_record(self.incarnation, self.table),
                self.lease,
            )
        ]
        writes += [
            state_wire.remove(LIVE_PREFIX + wire.overflow_key(self.settings.node, n))
            for n in range(len(self.overflow), len(self.overflow) + spare)
        ][: self.settings.txn_ops - 1]
        self.write_batch(
            writes if spare else writes + self.overflow_writes(self.next_overflow_batch())
        )

    def overflow_writes(self, batch):
        """The writes of `batch` (`[(number, value)]`) as keys of overflow values."""
        return [
            state_wire.put(LIVE_PREFIX + wire.overflow_key(self.settings.node, n), data, self.lease)
            for n, data in batch
        ]

    def write_batch(self, writes):
        """Sends `writes` in one transaction; the answer goes to `on_key_written`."""
        tell(self.store.on_commit, DECISIONS, [], writes, callback(self.on_key_written, self.lease))

    def on_key_written(self, lease, status, revision, failed):
        """Handles the store's answer to a write of the node's key or overflow values.

        Writes the next batch while there is one; a refused table is logged, other failures write
        the key again on the next tick.
        """
        if status == 200 and self.overflow_left and lease == self.lease and not self.node_key_dirty:
            self.write_batch(self.overflow_writes(self.next_overflow_batch()))
            return
        self.writing_node_key = False
        if self.renew_lost_lease(lease, status, failed):
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
            self.node_key_dirty = True

    def renew_lost_lease(self, lease, status, failed):
        """Takes a new lease if the transaction failed for want of one; True if it did."""
        if status != 400 or failed != state_wire.NO_SUCH_LEASE or lease != self.lease:
            return False
        self.lease = None
        self.on_grant_lease()
        return True

    # --- what the replica says

    def on_changed(self, events, revision, whole):
        """Handles `changed(events, revision, whole)` from the store.

        Notes the nodes' keys and the shards' and leader's keys, and takes what is due.
        """
        self.loaded = True
        if whole:
            self.nodes = {}
            self.forget_owners()
        touched = False
        for key, data, mod_revision in events:
            if key.startswith(wire.NODE_PREFIX):
                node = key[len(wire.NODE_PREFIX) :]
                if data is None:
                    self.nodes.pop(node, None)
                else:
                    self.nodes[node] = wire.read_incarnation(data)
            elif not self.note_owner(key, data, mod_revision):
                continue
            touched = True
        changed = ownership_revision(events, revision, whole)
        if changed is not None:
            self.ownership_revision = max(self.ownership_revision, changed)
        if touched:
            self.acquire()

    def on_tick(self):
        """Handles `tick`, sent to itself every 0.5 s: rewrites a lost node key, takes shards."""
        tell_after(0.5, self.on_tick)
        if self.settings.node not in self.nodes and self.lease is not None:
            self.node_key_dirty = True
        self.write_node_key()
        self.acquire()
