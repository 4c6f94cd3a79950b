"""Shard ownership and leader election: takes this controller's shards and a free leader's key.

Taking a shard writes its key, and every write to a job is conditional on that key's mod revision,
the shard's epoch. A previous owner can therefore no longer write, however late it learns of the
change. Wrong assumptions about which controllers are alive cost time, but never safety.
"""

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from ..actors import ActorPart, callback, send
from ..state import LIVE_PREFIX, Change, Priority, ReplicaSubscriber
from ..state import wire as state_wire
from ..state.transaction_builder import TransactionBuilder
from . import wire
from .lease import NodeLease
from .owner import NO_OWNER, Owner

if TYPE_CHECKING:
    from ..config import Settings
    from ..failure_detection import LeaderPlanner, LivenessView, ShardPlanner

log = logging.getLogger("emberglade.membership")

SHARDS_PER_NODE = 4


def shard_count(settings: "Settings") -> int:
    """The number of shards that jobs are distributed over."""
    return SHARDS_PER_NODE * settings.cluster_size


def ownership_revision(changes: Iterable[Change], revision: int, is_snapshot: bool) -> int | None:
    """The revision of the last of `changes` to a node, shard or leader key; None if there is none.

    A snapshot counts as a change of all keys at its own revision.
    """
    if is_snapshot:
        return revision
    return max(
        (
            mod_revision
            for key, _, mod_revision in changes
            if key == wire.LEADER_KEY or key.startswith((wire.NODE_PREFIX, wire.SHARD_PREFIX))
        ),
        default=None,
    )


class Ownership(ActorPart):
    """The part of the membership actor that tracks owners, and takes shards and leadership.

    If failure detection is off, there is no view of peers: a controller counts as alive while its
    node key exists.

    Attributes:
        nodes: {controller with a node key: incarnation of its live process}.
        shards: {shard: its owner} for shards with an owner.
        leader: The owner of the leader's key; None if the key does not exist.
    """

    def __init__(self, member: ReplicaSubscriber, settings: "Settings", lease: NodeLease) -> None:
        super().__init__(member)
        self.member, self.settings, self.lease = member, settings, lease
        self.nodes: dict[str, int | None] = {}
        self.shards: dict[int, Owner] = {}
        self.leader: Owner | None = None
        # Without failure detection, planners and view stay None. With it, the planners are set
        # before the start, and the view when the peer monitor sends its first one.
        self._shard_planner: ShardPlanner | None = None
        self._leader_planner: LeaderPlanner | None = None
        self._view: LivenessView | None = None
        self._revision = -1  # of the last change of a node, shard or leader key
        self._is_loaded = False  # whether the replica has been read
        self._is_taking_shards = False
        self._is_taking_leadership = False

    def set_planners(self, shard_planner: "ShardPlanner", leader_planner: "LeaderPlanner") -> None:
        """Sets the planners for shards and leadership, used once there is a view of peers."""
        self._shard_planner, self._leader_planner = shard_planner, leader_planner

    def set_view(self, view: "LivenessView") -> None:
        """Applies a new view of which controllers are alive."""
        self._view = view
        self.acquire()

    # --- current owners

    def apply_changes(self, changes: Iterable[Change], revision: int, is_snapshot: bool) -> None:
        """Applies changes of the replica, and takes shards and leadership if they affect these."""
        self._is_loaded = True
        if is_snapshot:
            self.nodes, self.shards, self.leader = {}, {}, None
        # A list instead of `any()`, which would stop at the first relevant change and not apply
        # the changes after it.
        relevant = [change for change in changes if self._apply_change(change)]
        changed = ownership_revision(changes, revision, is_snapshot)
        if changed is not None:
            self._revision = max(self._revision, changed)
        if relevant:
            self.acquire()

    def _apply_change(self, change: Change) -> bool:
        """Applies a change of a node, shard or leader key; returns False for other keys."""
        key, record, mod_revision = change
        if key.startswith(wire.NODE_PREFIX):
            self._apply_node(key[len(wire.NODE_PREFIX) :], record)
        elif key.startswith(wire.SHARD_PREFIX):
            self._apply_shard(wire.read_shard_key(key), record, mod_revision)
        elif key == wire.LEADER_KEY:
            self.leader = None if record is None else wire.read_owner(record, mod_revision)
        else:
            return False
        return True

    def _apply_node(self, node: str, record: Any) -> None:
        if record is None:
            self.nodes.pop(node, None)
        else:
            self.nodes[node] = wire.read_incarnation(record)

    def _apply_shard(self, shard: int, record: Any, mod_revision: int) -> None:
        if record is None:
            self.shards.pop(shard, None)
        else:
            self.shards[shard] = wire.read_owner(record, mod_revision)

    # --- what to take

    def desired_owner(self, shard: int) -> str | None:
        """The controller that should own a shard, judged by the node keys alone.

        That is the shard's home controller if it has a node key, else another controller that has
        one; None if no controller has one.
        """
        names = self.settings.names
        home = names[shard % len(names)]
        if home in self.nodes:
            return home
        live = [name for name in names if name in self.nodes]
        return live[(shard // len(names)) % len(live)] if live else None

    def shards_to_take(self) -> list[int]:
        """The shards that this process should take now and does not own.

        Decided by the shard planner once there is a view of peers, else by the node keys alone.
        """
        node, incarnation = self.settings.node, self.lease.incarnation
        if self._view is not None and self._shard_planner is not None:
            return self._shard_planner.shards_to_take(
                incarnation, self.shards, self._view, self.now()
            )
        return [
            shard
            for shard in range(shard_count(self.settings))
            if self.desired_owner(shard) == node
            and not self.shards.get(shard, NO_OWNER).is_process(node, incarnation)
        ]

    def should_take_leadership(self) -> bool:
        """Whether this process should take the leader's key now."""
        node, incarnation = self.settings.node, self.lease.incarnation
        if self._view is not None and self._leader_planner is not None:
            return self._leader_planner.should_take(
                incarnation, self.leader, self._view, self.now()
            )
        # After a quick restart the leader's key still names this controller's previous process.
        return self.leader is None or (
            self.leader.node == node and self.leader.incarnation != incarnation
        )

    def acquire(self) -> None:
        """Takes shards and leadership where needed, unless such a transaction is in progress."""
        if not self._may_take():
            return
        if not self._is_taking_shards:
            shards = self.shards_to_take()
            if shards:
                self._take_shards(shards)
        if not self._is_taking_leadership and self.should_take_leadership():
            self._take_leadership()

    def _may_take(self) -> bool:
        """Whether this process may take shards or leadership.

        The replica must be loaded and contain the node key of this process, and there must be a
        lease. With failure detection, the view of peers must also reflect the last change of a
        node, shard or leader key.
        """
        if not self._is_loaded or self.lease.id is None:
            return False
        if self.nodes.get(self.settings.node) != self.lease.incarnation:
            return False
        if self._shard_planner is None:
            return True
        # Without this check, a controller that is cut off while it starts takes the shards of all
        # others once its replica is loaded, because its view does not reflect any heartbeat of
        # their owners yet (failure_detection/late_first_contact.txt).
        return self._view is not None and self._view.revision >= self._revision

    # --- transactions

    def _take_shards(self, shards: list[int]) -> None:
        """Takes as many of these shards as fit in one transaction.

        The transaction compares the mod revisions of the shards' keys.
        """
        self._is_taking_shards = True
        record = wire.owner_record(self.settings.node, self.lease.incarnation)
        transaction = TransactionBuilder(self.settings.txn_ops)
        taken = []
        for shard in shards:
            key = LIVE_PREFIX + wire.shard_key(shard)
            condition = (key, self.shards.get(shard, NO_OWNER).mod_revision)
            if not transaction.add([condition], [state_wire.put(key, record)]):
                break
            taken.append(shard)
        log.info("taking ownership of shards %s", taken)
        send(
            self.member.store.on_commit,
            Priority.DECISIONS,
            transaction.conditions,
            transaction.writes,
            callback(self.member.on_sync_after_commit, self.on_shards_seen),
        )

    def on_shards_seen(self, revision: int | None) -> None:
        """Handles the sync after taking shards (`sync_after_commit`).

        After a successful sync the replica shows the outcome, and further shards are taken where
        needed. After a failed one, that is left to the next tick or change.
        """
        self._is_taking_shards = False
        if revision is not None:
            self.acquire()

    def _take_leadership(self) -> None:
        """Takes the leader's key under this controller's lease, comparing its mod revision."""
        self._is_taking_leadership = True
        key = LIVE_PREFIX + wire.LEADER_KEY
        record = wire.owner_record(self.settings.node, self.lease.incarnation)
        send(
            self.member.store.on_commit,
            Priority.DECISIONS,
            [(key, NO_OWNER.mod_revision if self.leader is None else self.leader.mod_revision)],
            [state_wire.put(key, record, self.lease.id)],
            callback(self.on_leader_written, self.lease.id),
        )

    def on_leader_written(
        self, lease: int | None, status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to a write of the leader's key under `lease`.

        Requests a new lease if `lease` has expired. In every case requests a sync, after which the
        replica shows the outcome of the write.
        """
        if status == 200:
            log.info("wrote the leader's key at revision %s; this controller is leader", revision)
        else:
            self.lease.replace_if_expired(lease, status, failed)
        send(self.member.store.on_sync, callback(self.on_leader_seen))

    def on_leader_seen(self, revision: int | None) -> None:
        """Handles the sync after a write of the leader's key: allows the next such write."""
        self._is_taking_leadership = False
