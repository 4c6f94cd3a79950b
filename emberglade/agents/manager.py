"""The agent manager: the actor that builds this package's parts and receives their messages."""

from collections.abc import Callable
from typing import Any

from ..actors import send, send_after
from ..jobs.task_updates import TaskUpdate
from ..state import Change, ReplicaSubscriber
from .agent_records import AgentRecords
from .committed_state import CommittedState
from .direct_commands import DirectCommands
from .direct_halts import DirectHalts
from .heartbeats import HeartbeatHandler, Reply
from .inventory import MachineInventory
from .lease_evidence import LeaseEvidence
from .liveness import LivenessAnswers
from .peer_exchange import PeerExchange
from .reconciliation import Reconciler
from .routing import Routing
from .shared_state import SharedState
from .tables import Tables
from .update_forwarding import UpdateForwarding
from .wire.peers import MachineQuestion

# Delays from the start of the actor to the first run of each timer.
FIRST_QUESTION_DELAY_S = 0.3
FIRST_TICK_DELAY_S = 0.5
FIRST_TABLE_DELAY_S = 1.0
MAX_TICK_INTERVAL_S = 1.0


class AgentManager(ReplicaSubscriber):
    """Answers agents' heartbeats and sends commands to their machines, based on the replica.

    Attributes:
        committed: The committed state as the replica shows it.
        evidence: Which controller was last in contact with which machine, and when.
        records: The machines whose agents send heartbeats to this controller.
        routing: Which controller an agent should send its heartbeats to.
        updates: Forwards task status updates to the owners of jobs.
        direct_commands, direct_halts: Commands sent without waiting for a heartbeat.
        inventory: Sends the job manager the machines that this controller knows.
        peer_exchange, tables: Information about machines exchanged between controllers.
        liveness: Reports the machines' liveness to the leader.
        heartbeats: Answers agents' heartbeats.
    """

    follows_syncs = True

    def __init__(
        self,
        settings: Any,
        store: Any,
        job_manager: Any,
        member: Any,
        peers: dict[str, Any],
        agent_clients: Any,
    ) -> None:
        self.settings = settings
        self.store = store
        self.job_manager = job_manager
        self.committed = CommittedState(self, settings)
        self.evidence = LeaseEvidence(settings)
        self.records = AgentRecords(settings, self.evidence)
        shared = SharedState(settings, self.committed, self.evidence, self.records)
        self.routing = Routing(settings, self.committed, self.evidence)
        self.updates = UpdateForwarding(self, shared, store, job_manager, peers)
        self.direct_commands = DirectCommands(self, shared, agent_clients, self.updates)
        self.direct_halts = DirectHalts(self, shared, peers, agent_clients, self.direct_commands)
        self.inventory = MachineInventory(self, shared, job_manager, self.routing)
        self.peer_exchange = PeerExchange(self, shared, store, peers)
        self.tables = Tables(self, shared, job_manager, member, self.peer_exchange)
        self.liveness = LivenessAnswers(self, shared)
        reconciler = Reconciler(self.committed)
        self.heartbeats = HeartbeatHandler(
            self, shared, store, self.routing, reconciler, self.updates, self.inventory
        )

    # --- messages from the actor system, the store and the membership actor

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: subscribes to the store and starts the timers."""
        self.evidence.began_at = self.now()
        super().on_begin()
        send_after(FIRST_QUESTION_DELAY_S, self.peer_exchange.on_ask_peers)
        send_after(FIRST_TICK_DELAY_S, self.on_tick)
        send_after(FIRST_TABLE_DELAY_S, self.tables.on_write_table)
        send_after(self.settings.agent_heartbeat_s, self.direct_halts.on_repeat_halts)

    def on_tick(self) -> None:
        """Handles `tick`, a timer of one heartbeat interval, MAX_TICK_INTERVAL_S at most."""
        send_after(min(MAX_TICK_INTERVAL_S, self.settings.agent_heartbeat_s), self.on_tick)
        self.heartbeats.answer_overdue()
        self.updates.write_undelivered()
        self.tables.write_early()
        self.inventory.update_if_due()

    def on_identity(self, incarnation: int) -> None:
        """Handles `identity(incarnation)` from the membership actor; tables' numbers contain it."""
        super().on_identity(incarnation)
        self.tables.incarnation = incarnation

    def on_sync_answered(self, sent_at: float, revision: int) -> None:
        """Handles `sync_answered(sent_at, revision)` from the store."""
        self.evidence.note_sync(sent_at, revision)

    def on_changed(self, changes: list[Change], revision: int, is_snapshot: bool) -> None:
        """Handles `changed(changes, revision, is_snapshot)` from the store.

        Applies the changes, delivers task updates and reads changed tables. Sends direct commands
        for new bindings and stops, except after a snapshot.
        """
        committed = self.committed
        change = committed.apply(changes, revision, is_snapshot)
        for update in change.task_updates:
            send(self.job_manager.on_task_update, update)
        self.evidence.compare_replicas(committed.revision)
        if change.controllers or is_snapshot:
            self.evidence.note_controllers(committed.controllers, self.now())
        for node in change.controllers:
            self.tables.read(node)
        if not is_snapshot:
            self.direct_commands.send(change.bindings)

    # --- messages from agents and peers, received by the servers

    def on_heartbeat(self, data: Any, reply: Reply) -> None:
        """Handles `heartbeat(data, reply)` from the user API: an agent's message, not yet parsed.

        Answered by `reply(status, body)` or `reply(status, body, retry_after_s)`.
        """
        self.heartbeats.handle(data, reply)

    def on_machine_question(
        self, question: MachineQuestion, reply: Callable[[int, dict], Any]
    ) -> None:
        """Handles `machine_question(question, reply)`: a peer's question about machines."""
        self.peer_exchange.answer_question(question, reply)

    def on_hear_cancellation(self, job_id: str, revision: int) -> None:
        """Handles `hear_cancellation(job, revision)`: a peer has seen a job cancelled.

        The peer's notice is enough to halt the job's tasks. The cancellation is
        confirmed to users only once this controller's own replica shows it.
        """
        self.committed.note_announced(job_id, revision)

    # --- messages from other actors of this controller

    def on_confirm_cancellation(self, job_id: str) -> None:
        """Handles `confirm_cancellation(job)` from the user API.

        The user API is confirming the cancellation to a user; this controller's replica shows it.
        """
        self.direct_halts.confirm(job_id)

    def on_peer_dead(self, name: str) -> None:
        """Handles `peer_dead(name)` from the peer monitor.

        The dead peer may not have sent its halts, so every surviving controller sends all pending
        halts at once.
        """
        self.direct_halts.take_over_halts()

    def on_liveness(self, view: Any) -> None:
        """Handles `liveness(view)` from the peer monitor: the suspected peers have changed."""
        self.routing.suspected = view.suspected

    def on_ready(self, reply: Callable[[bool], Any]) -> None:
        """Handles `ready(reply)` from the user API: whether this controller can serve users.

        True if this controller has a replica, unless only a peer is in contact with the store.
        """
        connected_peer = self.routing.connected_peer(self.now())
        reply(self.committed.revision >= 0 and connected_peer is None)

    def on_ask_stop(self, update: TaskUpdate) -> None:
        """Handles `ask_stop(update)` from the job manager: forwards `update` to the job's owner."""
        self.updates.forward(update)

    def on_ask_liveness(self, reply: Callable[..., Any], tainted_only: bool = False) -> None:
        """Handles `ask_liveness(reply, tainted_only)` from the autoscaler on behalf of the leader.

        Answered by `reply({machine: MachineLiveness}, slack_s)`, see `LivenessAnswers.answer`.
        """
        self.liveness.answer(reply, tainted_only)
