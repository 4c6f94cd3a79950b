"""Answers agents' heartbeats.

An agent may send its heartbeats to any controller. The commands in an answer are derived only from
the replica and from cancellations that peers announced. An answer contains a start only if the
replica was synced after the heartbeat arrived; docs/safety.md gives the reasons.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..actors import Actor, callback, send
from .agent_records import AgentRecord
from .inventory import MachineInventory
from .lease_evidence import LastSeen
from .outdated_heartbeats import OutdatedHeartbeats
from .reachability import Reachability
from .reconciliation import Reconciler, Reconciliation, SyncNeed
from .routing import Routing
from .shared_state import AgentPart, SharedState
from .update_forwarding import UpdateForwarding
from .wire import agents as agent_wire
from .wire.agents import AgentHeartbeat
from .wire.fields import HeartbeatError
from .wire.tasks import read_tasks

Reply = Callable[..., Any]  # reply(status, body) or reply(status, body, retry_after_s)

RETRY_AFTER_S = 1  # sent to agents with a 503


@dataclass(slots=True)
class PendingAnswer:
    """A heartbeat whose answer waits for a sync."""

    record: AgentRecord
    heartbeat: AgentHeartbeat
    reply: Reply
    received_at: float


class HeartbeatHandler(AgentPart):
    """Processes heartbeats and answers them with commands."""

    def __init__(
        self,
        actor: Actor,
        shared: SharedState,
        store: Any,
        routing: Routing,
        reconciler: Reconciler,
        updates: UpdateForwarding,
        inventory: MachineInventory,
    ) -> None:
        super().__init__(actor, shared)
        self.store = store
        self.routing = routing
        self.reconciler = reconciler
        self.updates = updates
        self.inventory = inventory
        self.outdated = OutdatedHeartbeats(self.committed, self.evidence)
        self.reachability = Reachability(self.settings, self.committed, inventory)
        # number, as passed to on_heartbeat_synced -> the heartbeat whose answer waits for that sync
        self.pending: dict[int, PendingAnswer] = {}
        self.pending_numbers = itertools.count(1)

    def handle(self, data: Any, reply: Reply) -> None:
        """Parses a heartbeat and answers it with `reply(status, body[, retry_after_s])`."""
        try:
            heartbeat = agent_wire.read_heartbeat(data)
        except HeartbeatError as error:
            reply(400, agent_wire.write_error(error))
            return
        now = self.now()
        connected_peer = self.routing.connected_peer(now)
        if self._reject_or_redirect(heartbeat, connected_peer, now, reply):
            return
        last_seen = self.evidence.last_seen.get(heartbeat.machine)
        if self._is_outdated(heartbeat, last_seen):
            reply(200, self.outdated.answer(heartbeat))
            return
        self.outdated.forget(heartbeat.machine)
        record = self._get_or_add_record(heartbeat, now)
        self.reachability.track(record, heartbeat, last_seen, now)
        previous = record.heartbeat
        record.heartbeat = heartbeat
        record.heartbeat_at = now
        record.contact_at = now
        self.evidence.last_seen[heartbeat.machine] = record.last_seen()
        if self._is_unchanged(record, previous):
            # The fast path: most heartbeats end here, and together they use most of the CPU time.
            reply(200, agent_wire.write_answer(heartbeat.fencing_token))
            return
        self._handle_change(record, previous, connected_peer, reply)

    # --- checks on a heartbeat

    def _reject_or_redirect(
        self, heartbeat: AgentHeartbeat, connected_peer: str | None, now: float, reply: Reply
    ) -> bool:
        """Rejects or redirects a heartbeat that this controller must not or should not process.

        Returns:
            Whether the heartbeat was rejected or redirected, and so is already answered.
        """
        if connected_peer is not None and not self._is_caught_up(now):
            reply(421, agent_wire.write_redirect(connected_peer))
            return True
        tainted = heartbeat.machine in self.committed.taints
        own_key_missing = self.settings.node not in self.committed.controllers
        if not self.routing.may_answer(now) or (tainted and own_key_missing):
            # If `may_answer` is false, this controller's commands could be older than a confirmed
            # cancellation. If its key is missing from the store, peers may conclude
            # that tainted machines' leases have expired; they rely on this controller not answering
            # these machines.
            reply(503, agent_wire.write_error("no contact with the state service"), RETRY_AFTER_S)
            return True
        peer = self.routing.peer_in_zone_of(heartbeat, now) if not tainted else None
        if peer is not None:
            reply(421, agent_wire.write_redirect(peer))
            return True
        return False

    def _is_caught_up(self, now: float) -> bool:
        """Whether this controller's replica was recently at least as new as those of all peers.

        The time that counts as recent includes the timeout of a sync, because a peer that loses
        contact with the state service may answer questions late by that timeout
        (combined_faults/cancel_before_outage_timeouts.txt, seed 2).
        """
        recent_s = self.settings.lease_s / 4 + self.settings.agent_heartbeat_s
        return now - self.evidence.caught_up_since() <= recent_s

    def _is_outdated(self, heartbeat: AgentHeartbeat, last_seen: LastSeen | None) -> bool:
        """Whether a heartbeat is a delayed duplicate, or its machine was returned to the cloud.

        Such a heartbeat is no evidence that the machine is alive (docs/safety.md, 11).
        """
        if last_seen is not None and last_seen.version >= heartbeat.version:
            return True
        return self.committed.taints.get(heartbeat.machine) == "gone"

    def _get_or_add_record(self, heartbeat: AgentHeartbeat, now: float) -> AgentRecord:
        """Returns the machine's record; adds one if this is its first heartbeat here."""
        record = self.records.get(heartbeat.machine)
        if record is None:
            record = self.records.by_machine[heartbeat.machine] = AgentRecord(heartbeat, now)
            self.inventory.new_machines.append(heartbeat.machine)
            self.inventory.schedule_update()
        return record

    def _is_unchanged(self, record: AgentRecord, previous: AgentHeartbeat) -> bool:
        """Whether nothing that could lead to commands or task updates changed since `previous`."""
        heartbeat = record.heartbeat
        return (
            record.settled
            and record.tasks is not None
            and heartbeat.machine not in self.committed.bindings.changed_machines
            and heartbeat.raw_tasks == previous.raw_tasks
            and heartbeat.agent_epoch == previous.agent_epoch
            and heartbeat.spot_notice_s is None
            and not record.unreachable
        )

    # --- answering a changed heartbeat

    def _handle_change(
        self,
        record: AgentRecord,
        previous: AgentHeartbeat,
        connected_peer: str | None,
        reply: Reply,
    ) -> None:
        """Compares a machine's tasks with the committed bindings and answers its agent."""
        heartbeat = record.heartbeat
        try:
            tasks = record.tasks = read_tasks(heartbeat.raw_tasks)
        except HeartbeatError as error:
            record.tasks = None
            reply(400, agent_wire.write_error(error))
            return
        if (previous.spot_notice_s is None) != (heartbeat.spot_notice_s is None):
            self.inventory.schedule_update()
        self.committed.bindings.changed_machines.discard(heartbeat.machine)
        updated = self.updates.notify_owners(heartbeat, tasks)
        result = self.reconciler.reconcile(record, synced=False)
        record.settled = not updated and self._is_settled(record, result)
        self._answer_change(record, result, connected_peer, reply)

    @staticmethod
    def _is_settled(record: AgentRecord, result: Reconciliation) -> bool:
        """Whether an identical heartbeat would need no action while the replica does not change."""
        heartbeat = record.heartbeat
        return (
            not result.commands
            and result.sync_need is None
            and result.fencing_token <= heartbeat.fencing_token
            and heartbeat.spot_notice_s is None
            and not record.unreachable
        )

    def _answer_change(
        self,
        record: AgentRecord,
        result: Reconciliation,
        connected_peer: str | None,
        reply: Reply,
    ) -> None:
        """Answers a changed heartbeat, given the result of reconciling it without a sync."""
        only_starts = result.sync_need is SyncNeed.START and not result.commands
        if only_starts and connected_peer is not None:
            # This controller's replica is as new as those of its peers, but a start needs a sync,
            # which needs contact with the state service. In all other cases this method does not
            # redirect the agent: if it can't reach the peer, its lease expires while it tries
            # (combined_faults/cancel_before_outage_timeouts.txt).
            reply(421, agent_wire.write_redirect(connected_peer))
        elif result.sync_need is not None:
            self._answer_after_sync(record, reply)
        else:
            self._answer(record, record.heartbeat, False, reply)

    def _answer_after_sync(self, record: AgentRecord, reply: Reply) -> None:
        number = next(self.pending_numbers)
        self.pending[number] = PendingAnswer(record, record.heartbeat, reply, record.heartbeat_at)
        send(self.store.on_sync, callback(self.on_heartbeat_synced, number))

    def on_heartbeat_synced(self, number: int, revision: int | None) -> None:
        """Handles the end of a sync that a heartbeat waits for; `revision` is None if it failed."""
        pending = self.pending.pop(number, None)
        if pending is not None:
            synced = revision is not None
            self._answer(pending.record, pending.heartbeat, synced, pending.reply)

    def answer_overdue(self) -> None:
        """Answers heartbeats that have waited for a sync for more than a heartbeat interval.

        The answers omit the commands that need a sync. An agent waits only a few seconds for an
        answer.
        """
        now = self.now()
        for number, pending in list(self.pending.items()):
            if now - pending.received_at > self.settings.agent_heartbeat_s:
                del self.pending[number]
                self._answer(pending.record, pending.heartbeat, False, pending.reply)

    def _answer(
        self, record: AgentRecord, heartbeat: AgentHeartbeat, synced: bool, reply: Reply
    ) -> None:
        if record.heartbeat is not heartbeat:
            # A newer heartbeat has arrived since; the answer to it contains the commands.
            reply(200, agent_wire.write_answer(heartbeat.fencing_token))
            return
        record.contact_at = self.now()
        result = self.reconciler.reconcile(record, synced)
        reply(200, agent_wire.write_answer(result.fencing_token, result.commands))
