"""What the parts of the agent manager share."""

from dataclasses import dataclass
from typing import Any

from ..actors import Actor, ActorPart
from .agent_records import AgentRecords
from .committed_state import CommittedState
from .lease_evidence import LeaseEvidence


@dataclass(frozen=True, slots=True)
class SharedState:
    """What this controller knows of jobs, machines and controllers.

    Attributes:
        settings: Of this controller.
        committed: What the replica shows.
        evidence: Who heard which machine, and when.
        records: The machines whose agents send heartbeats here.
    """

    settings: Any
    committed: CommittedState
    evidence: LeaseEvidence
    records: AgentRecords


class AgentPart(ActorPart):
    """A part of the agent manager that reads the shared state; its fields are attributes here."""

    def __init__(self, actor: Actor, shared: SharedState) -> None:
        super().__init__(actor)
        self.settings = shared.settings
        self.committed = shared.committed
        self.evidence = shared.evidence
        self.records = shared.records
