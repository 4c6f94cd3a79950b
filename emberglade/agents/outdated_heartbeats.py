"""Answers to heartbeats that are older than what is known of their machine.

Such a heartbeat is normally a late copy, and nobody receives the answer. It may also come from an
agent that was restarted and counts anew from its first agent epoch, without its tasks and with a
fencing token of 0. That agent would accept late copies of commands to its former process. So the
first answer raises its fencing token; later answers have none, so that they do not renew its lease,
and the agent begins an agent epoch that is newer than what is known (docs/late-copies.md).
"""

from typing import Any

from .committed_state import CommittedState
from .lease_evidence import LeaseEvidence
from .wire import agents as agent_wire
from .wire.agents import AgentHeartbeat


class OutdatedHeartbeats:
    """Answers outdated heartbeats.

    Attributes:
        offered: {machine: the fencing token that the first answer contained}.
    """

    def __init__(self, committed: CommittedState, evidence: LeaseEvidence) -> None:
        self.committed = committed
        self.evidence = evidence
        self.offered: dict[str, int] = {}

    def answer(self, heartbeat: AgentHeartbeat) -> dict[str, Any]:
        """The body of the answer; it contains no commands."""
        self._forget_unknown()
        offered = self.offered.get(heartbeat.machine)
        if offered is not None and heartbeat.fencing_token >= offered:
            return agent_wire.write_answer(None)
        token = max(heartbeat.fencing_token, self.committed.revision)
        self.offered.setdefault(heartbeat.machine, token)
        return agent_wire.write_answer(token)

    def _forget_unknown(self) -> None:
        """Drops machines that no controller has been in contact with for long."""
        unknown = self.offered.keys() - self.evidence.last_seen.keys()
        for machine in unknown:
            del self.offered[machine]

    def forget(self, machine: str) -> None:
        """Forgets a machine, because a newer heartbeat of it has arrived."""
        self.offered.pop(machine, None)
