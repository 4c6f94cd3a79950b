"""The machines whose agents send heartbeats to this controller."""

from collections.abc import Iterable
from typing import Any

from .lease_evidence import FORGET_AFTER_LEASES, LastSeen, LeaseEvidence
from .wire.agents import AgentHeartbeat
from .wire.peers import MachineStatus, machine_values
from .wire.tasks import ReportedTasks


class AgentRecord:
    """The status of a machine in its agent's newest message to this controller.

    Attributes:
        heartbeat: The newest message.
        tasks: The tasks in it; None until they have been parsed.
        heartbeat_at: When it arrived.
        contact_at: When this controller last received a message from the machine, or last sent it
            an answer, which may have renewed its lease.
        settled: The newest heartbeat led to no task update and no command, so an identical one
            needs no action while the replica does not change.
        unreachable: This controller's answers do not seem to reach the machine.
        probe_token: The fencing token offered to an unreachable machine, to detect when it receives
            answers again; None if none has been offered.
    """

    __slots__ = (
        "heartbeat",
        "tasks",
        "heartbeat_at",
        "contact_at",
        "settled",
        "unreachable",
        "probe_token",
    )

    def __init__(self, heartbeat: AgentHeartbeat, now: float) -> None:
        self.heartbeat = heartbeat
        self.tasks: ReportedTasks | None = None
        self.heartbeat_at = now
        self.contact_at = now
        self.settled = False
        self.unreachable = False
        self.probe_token: int | None = None

    def last_seen(self) -> LastSeen:
        """This record as a LastSeen."""
        age_s = self.heartbeat_at - self.contact_at
        values = machine_values(self.heartbeat, age_s, self.unreachable)
        return LastSeen(MachineStatus._make(values), self.contact_at)


class AgentRecords:
    """All AgentRecords by machine."""

    def __init__(self, settings: Any, evidence: LeaseEvidence) -> None:
        self.settings = settings
        self.evidence = evidence
        self.by_machine: dict[str, AgentRecord] = {}

    def get(self, machine: str) -> AgentRecord | None:
        """The record of a machine, or None if it sends no heartbeats to this controller."""
        return self.by_machine.get(machine)

    def known_machines(
        self, now: float, within_s: float, machines: Iterable[str] | None = None
    ) -> dict[str, tuple]:
        """{machine: its `machine_values`} for the machines that this controller reports to peers.

        These are the machines that sent a heartbeat here within `within_s`. A machine whose last
        heartbeat here is older, but younger than FORGET_AFTER_LEASES leases, is included only if
        no controller is known to have received a newer message: agents move from controller to
        controller, and without this limit each controller would soon report all machines.
        `machines` restricts the result to these names.
        """
        records: Iterable[tuple[str, AgentRecord]] = self.by_machine.items()
        if machines is not None:
            records = [
                (name, self.by_machine[name]) for name in machines if name in self.by_machine
            ]
        last_seen = self.evidence.last_seen
        forget_after_s = FORGET_AFTER_LEASES * self.settings.lease_s
        values = {}
        for name, record in records:
            heartbeat_age_s = now - record.heartbeat_at
            if heartbeat_age_s >= within_s:
                if heartbeat_age_s >= forget_after_s:
                    continue
                seen = last_seen.get(name)
                if seen is not None and seen.version > record.heartbeat.version:
                    continue
            values[name] = machine_values(
                record.heartbeat, now - record.contact_at, record.unreachable
            )
        return values

    def forget_old(self, now: float) -> None:
        """Drops records of machines that sent no heartbeat here for FORGET_AFTER_LEASES leases."""
        forget_after_s = FORGET_AFTER_LEASES * self.settings.lease_s
        old = [
            name
            for name, record in self.by_machine.items()
            if now - record.heartbeat_at > forget_after_s
        ]
        for name in old:
            del self.by_machine[name]
