"""State that the verbs of one whole-cluster scenario share while it runs."""

from dataclasses import dataclass, field
from typing import Any

from stand_ins.cluster import Cluster
from stand_ins.observer import Observer
from stand_ins.ownership import Ownership
from stand_ins.state_service import StateService


@dataclass
class ScenarioRun:
    """One run of a simulated or loopback deployment.

    Attributes:
        call_counts: Calls of each function that is counted with `count_calls`, by function name.
        answers: Answers to raw requests, as (status, body, Retry-After in seconds).
        aliases: Controller names by the alias that the scenario defined with `alias`.
    """

    cluster: Cluster
    ownership: Ownership
    call_counts: dict[str, int]
    answers: list[tuple[int, Any, Any]] = field(default_factory=list)
    aliases: dict[str, str] = field(default_factory=dict)

    @property
    def observer(self) -> Observer:
        """The observer, which records rule violations."""
        return self.cluster.observer

    @property
    def state(self) -> StateService:
        """The state service stand-in."""
        return self.cluster.state

    def resolve(self, name: str) -> str:
        """Returns the controller name for an alias; other names are returned unchanged."""
        return self.aliases.get(name, name)

    def failover_s(self, name: str, since: float) -> float:
        """Seconds after `since` until other controllers own all roles that this one owned then."""
        return self.ownership.failover_s(self.resolve(name), since)
