"""Detects machines whose heartbeats arrive here while the answers do not reach them."""

from typing import Any

from .agent_records import AgentRecord
from .committed_state import CommittedState
from .inventory import MachineInventory
from .lease_evidence import LastSeen
from .wire.agents import AgentHeartbeat


class Reachability:
    """Detects unreachable machines, and when they receive answers again (docs/safety.md, 12).

    The lease of such a machine expires although its heartbeats are answered. No new tasks are
    started on it. The answers offer it a fencing token that it has not seen; once its heartbeats
    show that token, it is known to receive answers again.
    """

    def __init__(
        self, settings: Any, committed: CommittedState, inventory: MachineInventory
    ) -> None:
        self.settings = settings
        self.committed = committed
        self.inventory = inventory

    def track(
        self,
        record: AgentRecord,
        heartbeat: AgentHeartbeat,
        last_seen: LastSeen | None,
        now: float,
    ) -> None:
        """Evaluates a new heartbeat; `last_seen` is what was known of the machine before it."""
        if last_seen is not None and not record.unreachable:
            self._mark_if_unreachable(record, heartbeat, last_seen, now)
        if record.unreachable:
            self._probe(record, heartbeat)

    def _mark_if_unreachable(
        self, record: AgentRecord, heartbeat: AgentHeartbeat, last_seen: LastSeen, now: float
    ) -> None:
        """Marks a machine whose lease ended too early, or that was already known as unreachable.

        A lease has ended if the agent epoch rose. It ended too early if the last contact is so
        recent that a machine that received the answers would still have its lease.
        """
        lease_ended_early = (
            heartbeat.agent_epoch > last_seen.status.agent_epoch
            and now - last_seen.contact_at
            < self.settings.lease_s - 2 * self.settings.agent_heartbeat_s
        )
        if lease_ended_early or last_seen.status.unreachable:
            record.unreachable = True
            record.probe_token = None
            if lease_ended_early:
                self.inventory.newly_unreachable.append(heartbeat.machine)
            self.inventory.schedule_update()

    def _probe(self, record: AgentRecord, heartbeat: AgentHeartbeat) -> None:
        """Offers an unreachable machine a fencing token, or detects that the token arrived."""
        if record.probe_token is None:
            if self.committed.revision > heartbeat.fencing_token:
                record.probe_token = self.committed.revision
        elif heartbeat.fencing_token >= record.probe_token:
            record.unreachable = False
            record.probe_token = None
            self.inventory.newly_reachable.append(heartbeat.machine)
            self.inventory.schedule_update()
