"""Shard ownership and leader election: takes this node's shards, and the leader's key if free.

Taking a shard writes its key, and every write to a job is conditional on that key's mod revision,
the shard's epoch: a former owner can't write any more, however late it learns of it. So nothing
here has to be exact about who is alive; wrong guesses cost time, never safety.
"""

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from ..actors import ActorPart, callback, send
from ..state import LIVE_PREFIX, Change, Priority, ReplicaSubscriber
from ..state import wire as state_wire
from . import wire
from .lease import NodeLease
from .owner import NO_OWNER, Owner

if TYPE_CHECKING:
    from ..config import Settings
    from ..failure_detection import LeaderPlanner, LivenessView, ShardPlanner

log = logging.getLogger("emberglade.membership")

SHARDS_PER_NODE = 4


def shard_count(settings: "Settings") -> int:
    """How many shards the jobs are spread over."""
    return SHARDS_PER_NODE * settings.cluster_size


def ownership_revision(changes: Iterable[Change], revision: int, is_snapshot: bool) -> int | None:
    """The revision of the last change of a node's, a shard's or the leader's key; None: none."""
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
    """The part of the member that follows who holds what, and takes shards and leadership.

    Without a view of peers (failure detection off), the nodes' keys alone say who is alive.

    Attributes:
        nodes: The incarnation of the live process of each controller whose key is there.
        shards: The owner of each shard that has one.
        leader: The owner of the leader's key, None if it is missing.
    """

    def __init__(self, member: ReplicaSubscriber, settings: "Settings", lease: NodeLease) -> None:
        super().__init__(member)
        self.member, self.settings, self.lease = member, settings, lease
        self.nodes: dict[str, int | None] = {}
        self.shards: dict[int, Owner] = {}
        self.leader: Owner | None = None
        # The failure detection's plans, once peers are watched, and its view once that is there.
        self._shard_planner: ShardPlanner | None = None
        self._leader_planner: LeaderPlanner | None = None
        self._view: LivenessView | None = None
        self._revision = -1  # of the last change of a node's, shard's or leader's key
        self._is_loaded = False  # whether the replica was read
        self._is_taking_shards = False
        self._is_taking_leadership = False

    def watch_peers(self, shard_planner: "ShardPlanner", leader_planner: "LeaderPlanner") -> None:
        """Takes shards and leadership by these plans, once the first view of peers is there."""
        self._shard_planner, self._leader_planner = shard_planner, leader_planner

    def set_view(self, view: "LivenessView") -> None:
        """Takes in who can be relied on."""
        self._view = view
        self.acquire()

    # --- who holds what

    def note_changes(self, changes: Iterable[Change], revision: int, is_snapshot: bool) -> None:
        """Takes in what the replica shows, and takes what is due if that concerns ownership."""
        self._is_loaded = True
        if is_snapshot:
            self.nodes, self.shards, self.leader = {}, {}, None
        # Each of them is noted, also after the first that concerns ownership.
        touched = [change for change in changes if self._note_change(change)]
        changed = ownership_revision(changes, revision, is_snapshot)
        if changed is not None:
            self._revision = max(self._revision, changed)
        if touched:
            self.acquire()

    def _note_change(self, change: Change) -> bool:
        """Notes a change of a node's, a shard's or the leader's key; False if it is none."""
        key, record, mod_revision = change
        if key.startswith(wire.NODE_PREFIX):
            self._note_node(key[len(wire.NODE_PREFIX) :], record)
        elif key.startswith(wire.SHARD_PREFIX):
            self._note_shard(wire.read_shard_key(key), record, mod_revision)
        elif key == wire.LEADER_KEY:
            self.leader = None if record is None else wire.read_owner(record, mod_revision)
        else:
            return False
        return True

    def _note_node(self, node: str, record: Any) -> None:
        if record is None:
            self.nodes.pop(node, None)
        else:
            self.nodes[node] = wire.read_incarnation(record)

    def _note_shard(self, shard: int, record: Any, mod_revision: int) -> None:
        if record is None:
            self.shards.pop(shard, None)
        else:
            self.shards[shard] = wire.read_owner(record, mod_revision)

    # --- what to take

    def desired_owner(self, shard: int) -> str | None:
        """Who should hold the shard: its home node, or if that is not alive the next live one."""
        names = self.settings.names
        home = names[shard % len(names)]
        if home in self.nodes:
            return home
        live = [name for name in names if name in self.nodes]
        return live[(shard // len(names)) % len(live)] if live else None

    def shards_to_take(self) -> list[int]:
        """The shards that this process should take now and does not hold.

        From the shard planner once a view of peers is there, else from the nodes' keys alone.
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
        # A node that is back at once finds its former process as leader, which is no more.
        return self.leader is None or (
            self.leader.node == node and self.leader.incarnation != incarnation
        )

    def acquire(self) -> None:
        """Takes the shards and the leader's key that are due, unless a take is on its way."""
        if not self._may_take():
            return
        if not self._is_taking_shards:
            shards = self.shards_to_take()[: self.settings.txn_ops]
            if shards:
                self._take_shards(shards)
        if not self._is_taking_leadership and self.should_take_leadership():
            self._take_leadership()

    def _may_take(self) -> bool:
        """Whether this process may take anything.

        Not before the replica is read, not without a lease, nor while the view of peers lags behind
        the last change of a node's, a shard's or the leader's key.
        """
        if not self._is_loaded or self.lease.number is None:
            return False
        if self.nodes.get(self.settings.node) != self.lease.incarnation:
            return False
        if self._shard_planner is None:
            return True
        # Once broken: a controller that was in contact again after long took all shards in the
        # moment in which its replica showed their owners and its view did not
        # (failure_detection/late_first_contact.txt).
        return self._view is not None and self._view.revision >= self._revision

    # --- taking it

    def _take_shards(self, shards: list[int]) -> None:
        """Takes shards in one compare-and-swap on their keys' mod revisions."""
        self._is_taking_shards = True
        conditions = [
            (LIVE_PREFIX + wire.shard_key(shard), self.shards.get(shard, NO_OWNER).mod_revision)
            for shard in shards
        ]
        record = wire.owner_record(self.settings.node, self.lease.incarnation)
        writes = [state_wire.put(LIVE_PREFIX + wire.shard_key(shard), record) for shard in shards]
        log.info("taking shards %s", shards)
        send(
            self.member.store.on_commit,
            Priority.DECISIONS,
            conditions,
            writes,
            callback(self.member.on_sync_after_commit, self.on_shards_seen),
        )

    def on_shards_seen(self, revision: int | None) -> None:
        """Handles the sync after a take of shards (`sync_after_commit`): takes more if it came."""
        self._is_taking_shards = False
        if revision is not None:
            self.acquire()

    def _take_leadership(self) -> None:
        """Takes the leader's key in a compare-and-swap, under this controller's lease."""
        self._is_taking_leadership = True
        key = LIVE_PREFIX + wire.LEADER_KEY
        record = wire.owner_record(self.settings.node, self.lease.incarnation)
        send(
            self.member.store.on_commit,
            Priority.DECISIONS,
            [(key, NO_OWNER.mod_revision if self.leader is None else self.leader.mod_revision)],
            [state_wire.put(key, record, self.lease.number)],
            callback(self.on_leader_written, self.lease.number),
        )

    def on_leader_written(
        self, lease: int | None, status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to a take of the leader's key made with `lease`.

        A refused lease takes a new one; either way, a sync shows what became of it.
        """
        if status == 200:
            log.info("leader from revision %s", revision)
        else:
            self.lease.replace_if_lost(lease, status, failed)
        send(self.member.store.on_sync, callback(self.on_leader_seen))

    def on_leader_seen(self, revision: int | None) -> None:
        """Handles the sync after a take of the leader's key: another may be tried."""
        self._is_taking_leadership = False
