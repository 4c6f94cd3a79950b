"""The actor that maintains this controller's lease, node key, shards and leadership."""

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
    """Renews this controller's lease, writes its key, and takes shards and leadership.

    Attributes:
        listeners: Actors that receive `identity(incarnation)` when the first lease is granted.
        lease: The part that maintains this controller's lease.
        node_key: The part that writes the node key.
        ownership: The part that takes shards and leadership.
    """

    def __init__(
        self, settings: "Settings", store: Store, listeners: Sequence[ReplicaSubscriber]
    ) -> None:
        self.settings, self.store = settings, store
        self.listeners = listeners
        self.lease = NodeLease(
            self, settings, store, self.announce_incarnation, self.rewrite_node_key
        )
        self.node_key = NodeKey(self, settings, store, self.lease)
        self.ownership = Ownership(self, settings, self.lease)

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: subscribes, requests a lease, starts timers."""
        super().on_begin()
        self.lease.start()
        send_after(TICK_S, self.on_tick)

    def announce_incarnation(self, incarnation: int) -> None:
        """Sends the incarnation of this process to the listeners; called with the first lease."""
        self.incarnation = incarnation
        log.info("this process is incarnation %d of controller %s", incarnation, self.settings.node)
        for actor in self.listeners:
            send(actor.on_identity, incarnation)

    def rewrite_node_key(self) -> None:
        """Writes the node key again, under the lease that was just granted."""
        self.node_key.rewrite()

    def on_table(self, table: Any, overflow: Sequence[Any]) -> None:
        """Handles `table(table, overflow)` from the agent manager: writes the table to the store.

        A table is built every 5 s, or earlier if peers lack this controller's machines. `table`
        contains counts. It contains machines only while some live peer has not exchanged views with
        this controller recently. `overflow` contains the values that don't fit in the node key.
        """
        self.node_key.set_table(table, overflow)

    def on_tick(self) -> None:
        """Handles `tick`, sent to itself every TICK_S.

        Rewrites a missing or stale node key, and takes shards and leadership where needed.
        """
        send_after(TICK_S, self.on_tick)
        if self.settings.node not in self.ownership.nodes and self.lease.id is not None:
            self.node_key.is_stale = True
        self.node_key.write_if_stale()
        self.ownership.acquire()

    # --- ownership

    def set_planners(self, shard_planner: "ShardPlanner", leader_planner: "LeaderPlanner") -> None:
        """Sets the planners for shards and leadership.

        Once they are set, this process takes no shards and no leadership until the peer monitor has
        sent its first `liveness(view)`.
        """
        self.ownership.set_planners(shard_planner, leader_planner)

    def on_changed(self, changes: list[Change], revision: int, is_snapshot: bool) -> None:
        """Handles `changed(changes, revision, is_snapshot)` from the store.

        Applies changes of node keys, shard keys and the leader's key, and takes shards and
        leadership where needed.
        """
        self.ownership.apply_changes(changes, revision, is_snapshot)

    def on_liveness(self, view: "LivenessView") -> None:
        """Handles `liveness(view)` from the peer monitor: a new view of which peers are alive."""
        self.ownership.set_view(view)

    def on_peer_dead(self, name: str) -> None:
        """Ignores `peer_dead(name)` from the peer monitor, as the last view already shows it."""
