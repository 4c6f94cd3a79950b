"""The actor that keeps this node's lease and key alive, and follows who holds what."""

import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from ..actors import send, send_after
from ..state import Change, ReplicaSubscriber, Store
from .lease import NodeLease
from .node_key import NodeKey
from .ownership import Ownership

if TYPE_CHECKING:
    from ..config import Settings
    from ..failure_detection import LeaderPlanner, LivenessView, ShardPlanner

log = logging.getLogger("emberglade.membership")

TICK_S = 0.5


class Member(ReplicaSubscriber):
    """Keeps this controller's lease and key alive, and takes shards and leadership.

    Attributes:
        listeners: Actors told `identity(incarnation)` once it is known which process this is.
        lease: This controller's lease.
        node_key: What writes its key.
        ownership: What takes shards and leadership.
    """

    def __init__(
        self, settings: "Settings", store: Store, listeners: Sequence[ReplicaSubscriber]
    ) -> None:
        self.settings, self.store = settings, store
        self.listeners = listeners
        self.lease = NodeLease(self, settings, store, self.identify, self.rewrite_node_key)
        self.node_key = NodeKey(self, settings, store, self.lease)
        self.ownership = Ownership(self, settings, self.lease)

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: subscribes, asks for a lease, starts timers."""
        super().on_begin()
        self.lease.start()
        send_after(TICK_S, self.on_tick)

    def identify(self, incarnation: int) -> None:
        """This process has its first lease: tells the listeners which process this is."""
        self.incarnation = incarnation
        log.info("this is incarnation %d of %s", incarnation, self.settings.node)
        for actor in self.listeners:
            send(actor.on_identity, incarnation)

    def rewrite_node_key(self) -> None:
        """There is a new lease: the node's key is written again under it."""
        self.node_key.rewrite()

    def on_table(self, table: Any, overflow: Sequence[Any]) -> None:
        """Handles `table(table, overflow)` from the agents' tables: the 5 s table.

        `table` holds counts and machines; `overflow` the values that didn't fit in the node's key.
        """
        self.node_key.set_table(table, overflow)

    def on_tick(self) -> None:
        """Handles `tick`, sent to itself every TICK_S: rewrites a lost node key, takes shards."""
        send_after(TICK_S, self.on_tick)
        if self.settings.node not in self.ownership.nodes and self.lease.number is not None:
            self.node_key.is_stale = True
        self.node_key.write_if_stale()
        self.ownership.acquire()

    # --- who holds what

    def watch_peers(self, shard_planner: "ShardPlanner", leader_planner: "LeaderPlanner") -> None:
        """Takes shards and leadership by these plans, once the first view of peers is there."""
        self.ownership.watch_peers(shard_planner, leader_planner)

    def on_changed(self, changes: list[Change], revision: int, is_snapshot: bool) -> None:
        """Handles `changed(changes, revision, is_snapshot)` from the store.

        Notes the nodes' keys and the shards' and leader's keys, and takes what is due.
        """
        self.ownership.note_changes(changes, revision, is_snapshot)

    def on_liveness(self, view: "LivenessView") -> None:
        """Handles `liveness(view)` from the peer monitor: who can be relied on has changed."""
        self.ownership.set_view(view)

    def on_peer_dead(self, name: str) -> None:
        """Handles `peer_dead(name)` from the peer monitor; the view that came before says so."""
