"""Reports to the leader when machines were last in contact and which leases have expired."""

from collections.abc import Callable
from typing import Any, NamedTuple

from .shared_state import AgentPart
from .tables import TABLE_INTERVAL_S


class MachineLiveness(NamedTuple):
    """The liveness of one machine, from the information of all controllers.

    Attributes:
        contact_at: When a controller was last in contact with it; when this process began, if no
            controller is known to have received a heartbeat.
        leases_expired: Whether every lease that it may have is proven to have expired.
        unreachable: Its heartbeats arrive, but answers do not reach it.
        heartbeat_received: Whether any controller has received a heartbeat from it.
    """

    contact_at: float
    leases_expired: bool
    unreachable: bool
    heartbeat_received: bool


class LivenessAnswers(AgentPart):
    """Answers the leader's questions about the liveness of machines."""

    def answer(
        self, reply: Callable[[dict[str, MachineLiveness], float], Any], tainted_only: bool
    ) -> None:
        """Calls `reply({machine: MachineLiveness}, slack_s)`; `tainted_only` omits other machines.

        Heartbeats of the last `slack_s` seconds may not be known here, because tables are older
        than peers' answers would be. So the leader must count that time neither as a lack of
        heartbeats nor as evidence that the machine is alive.
        """
        now = self.now()
        slack_s = TABLE_INTERVAL_S if self.evidence.lacks_recent_answers(now) else 0.0
        names = set(self.committed.taints)
        if not tainted_only:
            names.update(self.evidence.last_seen, self.committed.bindings.by_machine)
        reply({name: self._liveness(name, now) for name in sorted(names)}, slack_s)

    def _liveness(self, machine: str, now: float) -> MachineLiveness:
        last_seen = self.evidence.last_seen.get(machine)
        leases_expired = machine in self.committed.taints.by_machine and self._leases_expired(
            machine, now
        )
        if last_seen is None:
            return MachineLiveness(self.evidence.began_at, leases_expired, False, False)
        return MachineLiveness(
            last_seen.contact_at, leases_expired, last_seen.status.unreachable, True
        )

    def _leases_expired(self, machine: str, now: float) -> bool:
        """Whether every lease that a tainted machine may have is proven to have expired."""
        _, taint_revision, taint_seen_at = self.committed.taints.by_machine[machine]
        record = self.records.get(machine)
        own_contact = record.contact_at if record is not None else self.evidence.began_at
        return self.evidence.proves_leases_expired(
            machine, own_contact, taint_revision, taint_seen_at, now
        )
