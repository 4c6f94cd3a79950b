"""Shard ownership and leader election: takes this node's shards, and the leader's key if free.

Taking a shard writes its key, and every write to a job is a compare-and-swap on that key's stamp
(its fencing token): a former holder can't write any more, however late it learns of it. So
nothing here has to be exact about who is alive; wrong guesses cost time, never safety.
"""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from ..actors import callback, tell
from ..state import LIVE_PREFIX, ReplicaSubscriber
from ..state import wire as state_wire
from ..state.store import DECISIONS
from . import wire

log = logging.getLogger("emberglade.membership")

SHARDS_PER_NODE = 4


def shard_count(settings):
    """How many shards the jobs are spread over."""
    return SHARDS_PER_NODE * settings.size


class Holder(NamedTuple):
    """Who holds a shard or the leader's key: the key's content and its stamp."""

    node: str | None
    incarnation: int | None
    mod_revision: int


NOBODY = Holder(None, None, 0)


def ownership_revision(events, revision, whole):
    """The revision of the last change of a node's, a shard's or the leader's key; None: none."""
    if whole:
        return revision
    return max(
        (
            mod_revision
            for key, _, mod_revision in events
            if key == wire.LEADER_KEY or key.startswith((wire.NODE_PREFIX, wire.SHARD_PREFIX))
        ),
        default=None,
    )


class Ownership(ReplicaSubscriber):
    """The part of the member that takes shards and leadership.

    Without a view of peers (failure detection off), the nodes' keys alone say who is alive.
    """

    # Set by the member.
    settings: Any
    lease: int | None
    nodes: dict[str, int | None]  # node -> incarnation of its live process
    loaded: bool
    renew_lost_lease: Callable[[int | None, int, object], bool]

    def __init__(self, settings):
        self.shards, self.leader = {}, None  # Holder by shard, Holder of the leader's key
        self.watches_peers = False  # whether failure detection is on, so that a view will come
        self.view = None  # the LivenessView
        # The failure detection's planners, once peers are watched.
        self.shard_planner: Any = None
        self.leader_planner: Any = None
        self.ownership_revision = -1  # of the last change of a node's, shard's or leader's key
        self.taking_shards = False
        self.taking_leadership = False

    def watch_peers(self, shard_planner, leader_planner):
        """Takes shards and leadership by these plans, once the first view of peers is there."""
        self.watches_peers = True
        self.shard_planner, self.leader_planner = shard_planner, leader_planner

    def forget_owners(self):
        """Forgets all holders, before the whole replica is told anew."""
        self.shards, self.leader = {}, None

    def note_owner(self, key, data, mod_revision):
        """Notes a change of a shard's or the leader's key; False if the key is neither."""
        if key != wire.LEADER_KEY and not key.startswith(wire.SHARD_PREFIX):
            return False
        holder = None if data is None else Holder(*wire.read_holder(data), mod_revision)
        if key == wire.LEADER_KEY:
            self.leader = holder
        elif holder is None:
            self.shards.pop(int(key[len(wire.SHARD_PREFIX) :]), None)
        else:
            self.shards[int(key[len(wire.SHARD_PREFIX) :])] = holder
        return True

    def on_liveness(self, view):
        """Handles `liveness(view)` from the peer monitor: who can be relied on has changed."""
        self.view = view
        self.acquire()

    def on_peer_dead(self, name):
        """Handles `peer_dead(name)` from the peer monitor; the view that came before says so."""

    def wanted_holder(self, shard):
        """Who should hold the shard: its home node, or if that is not alive the next live one."""
        names = self.settings.names
        home = names[shard % len(names)]
        if home in self.nodes:
            return home
        live = [name for name in names if name in self.nodes]
        return live[(shard // len(names)) % len(live)] if live else None

    def shards_to_take(self):
        """The shards that this process should take now and does not hold.

        From the shard planner once a view of peers is there, else from the nodes' keys alone.
        """
        if self.view is not None:
            return self.shard_planner.shards_to_take(
                self.incarnation, self.shards, self.view, self.now()
            )
        mine = (self.settings.node, self.incarnation)
        return [
            shard
            for shard in range(shard_count(self.settings))
            if self.wanted_holder(shard) == self.settings.node
            and self.shards.get(shard, NOBODY)[:2] != mine
        ]

    def should_take_leadership(self):
        """Whether this process should take the leader's key now."""
        if self.view is not None:
            return self.leader_planner.should_take(
                self.incarnation, self.leader, self.view, self.now()
            )
        # A node that is back at once finds its former process as leader, which is no more.
        return self.leader is None or (
            self.leader.node == self.settings.node and self.leader.incarnation != self.incarnation
        )

    def acquire(self):
        """Takes the shards and the leader's key that are due, unless a take is on its way.

        Nothing is taken before the replica is read, without a lease, or while the view of peers
        lags behind the last change of a shard's or the leader's key.
        """
        me = self.settings.node
        if not self.loaded or self.lease is None or self.nodes.get(me) != self.incarnation:
            return
        if self.watches_peers and (
            self.view is None or self.view.revision < self.ownership_revision
        ):
            # Once broken: a controller that was in contact again after long took all shards in the
            # moment in which its replica showed their holders and its view did not
            # (failure_detection/late_first_contact.txt).
            return
        if not self.taking_shards:
            take = self.shards_to_take()[: self.settings.txn_ops]
            if take:
                self.take_shards(take)
        if not self.taking_leadership and self.should_take_leadership():
            self.taking_leadership = True
            mod_revision = 0 if self.leader is None else self.leader.mod_revision
            tell(
                self.store.on_commit,
                DECISIONS,
                [(LIVE_PREFIX + wire.LEADER_KEY, mod_revision)],
                [
                    state_wire.put(
                        LIVE_PREFIX + wire.LEADER_KEY,
                        wire.holder_record(me, self.incarnation),
                        self.lease,
                    )
                ],
                callback(self.on_leader_written, self.lease),
            )

    def take_shards(self, take):
        """Takes `take` (shard numbers) in one compare-and-swap on their keys' stamps."""
        self.taking_shards = True
        conditions = [
            (LIVE_PREFIX + wire.shard_key(shard), self.shards.get(shard, NOBODY).mod_revision)
            for shard in take
        ]
        writes = [
            state_wire.put(
                LIVE_PREFIX + wire.shard_key(shard),
                wire.holder_record(self.settings.node, self.incarnation),
            )
            for shard in take
        ]
        log.info("taking shards %s", take)
        tell(
            self.store.on_commit,
            DECISIONS,
            conditions,
            writes,
            callback(self.on_sync_after_commit, self.on_shards_seen),
        )

    def on_shards_seen(self, revision):
        """Handles the sync after a take of shards (`sync_after_commit`): takes more if it came."""
        self.taking_shards = False
        if revision is not None:
            self.acquire()

    def on_leader_written(self, lease, status, revision, failed):
        """Handles the store's answer to a take of the leader's key made with `lease`.

        A refused lease takes a new one; either way, a sync shows what became of it.
        """
        if status == 200:
            log.info("leader from revision %s", revision)
        else:
            self.renew_lost_lease(lease, status, failed)
        tell(self.store.on_sync, callback(self.on_leader_seen))

    def on_leader_seen(self, revision):
        """Handles the sync after a take of the leader's key: another may be tried."""
        self.taking_leadership = False
