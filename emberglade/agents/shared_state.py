"""State shared by the parts of the agent manager."""

from dataclasses import dataclass
from typing import Any

from ..actors import Actor, ActorPart
from .agent_records import AgentRecords
from .committed_state import CommittedState
from .lease_evidence import LeaseEvidence


@dataclass(frozen=True, slots=True)
class SharedState:
    """This controller's knowledge of jobs, machines and controllers.

    Attributes:
        settings: This controller's settings.
        committed: The committed state as the replica shows it.
        evidence: Which controller was last in contact with which machine, and when.
        records: The machines whose agents send heartbeats to this controller.
    """

    settings: Any
    committed: CommittedState
    evidence: LeaseEvidence
    records: AgentRecords


class AgentPart(ActorPart):
    """A part of the agent manager; the fields of the shared state are its attributes."""

    def __init__(self, actor: Actor, shared: SharedState) -> None:
        super().__init__(actor)
        self.settings = shared.settings
        self.committed = shared.committed
        self.evidence = shared.evidence
        self.records = shared.records
