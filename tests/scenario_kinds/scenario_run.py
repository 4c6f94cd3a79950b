"""A deployment that is played, with what its scenario's lines share."""

from dataclasses import dataclass, field
from typing import Any

from stand_ins.cluster import Cluster
from stand_ins.observer import Observer
from stand_ins.ownership import Ownership
from stand_ins.state_service import StateService


@dataclass
class ScenarioRun:
    """One deployment.

    Attributes:
        call_counts: How often the functions were called whose calls are counted.
        answers: The answers to raw requests, as (status, body, seconds to wait).
        aliases: Words that stand for controllers.
    """

    cluster: Cluster
    ownership: Ownership
    call_counts: dict[str, int]
    answers: list[tuple[int, Any, Any]] = field(default_factory=list)
    aliases: dict[str, str] = field(default_factory=dict)

    @property
    def observer(self) -> Observer:
        """What has been seen."""
        return self.cluster.observer

    @property
    def state(self) -> StateService:
        """The state service."""
        return self.cluster.state

    def resolve(self, word: str) -> str:
        """A controller by its name or by an alias."""
        return self.aliases.get(word, word)

    def failover_s(self, word: str, since: float) -> float:
        """How long it took until all that the controller held then was others'."""
        return self.ownership.failover_s(self.resolve(word), since)
