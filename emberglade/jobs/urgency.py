"""Urgency inheritance: a job is at least as urgent as the jobs that depend on it.

Traversals use an explicit stack instead of recursion, because chains of dependencies may be long.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .waiting_job import WaitingJob


@dataclass(frozen=True)
class Urgency:
    """A priority and a due time, of a job itself or inherited from its dependents.

    Attributes:
        priority: Index into PRIORITIES; 0 is the most urgent.
        due: The wall-clock time by which the job has to be done; infinity: no due time.
    """

    priority: int
    due: float

    def combined_with(self, other: "Urgency | None") -> "Urgency":
        """The higher of both priorities and the earlier of both due times."""
        if other is None:
            return self
        return Urgency(min(self.priority, other.priority), min(self.due, other.due))


class InheritedUrgency:
    """The urgency that each job inherits from the waiting jobs that depend on it, directly or not.

    `waiting` ({job id: WaitingJob}) and `dependents` ({job id: ids of the waiting jobs that depend
    on it}) belong to the dependency graph, which updates them.
    """

    def __init__(self, waiting: dict[str, "WaitingJob"], dependents: dict[str, set[str]]) -> None:
        self._waiting = waiting
        self._dependents = dependents
        self._urgency: dict[str, Urgency] = {}  # job id -> inherited urgency
        self._changed: set[str] = set()

    def get(self, job_id: str) -> Urgency | None:
        """The urgency that a job inherits; None if it has only cancelled dependents, or none."""
        return self._urgency.get(job_id)

    def of_waiting(self, job_id: str) -> Urgency:
        """The urgency of a waiting job, from its own description and from its dependents."""
        return self._waiting[job_id].own_urgency().combined_with(self.get(job_id))

    def clear(self) -> None:
        """Clears all inherited urgencies, before a snapshot is applied."""
        self._changed.update(self._urgency)
        self._urgency.clear()

    def take_changes(self) -> set[str]:
        """The jobs whose inherited urgency changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def propagate(self, job_id: str) -> None:
        """Propagates the urgency of a new or more urgent waiting job to its dependencies."""
        stack = [job_id]
        while stack:
            dependent = stack.pop()
            passed_on = self._propagated_urgency(dependent)
            for dependency in self._waiting[dependent].dependencies:
                before = self.get(dependency)
                after = passed_on.combined_with(before)
                if after == before:
                    continue
                self._set_urgency(dependency, after)
                if dependency in self._waiting:
                    stack.append(dependency)

    def recompute(self, job_ids: Iterable[str]) -> None:
        """Recomputes what jobs inherit, after a dependent of theirs was cancelled or removed."""
        stack = list(job_ids)
        while stack:
            dependency = stack.pop()
            urgency = None
            for dependent in self._dependents.get(dependency, ()):
                if not self._waiting[dependent].cancelled:
                    urgency = self._propagated_urgency(dependent).combined_with(urgency)
            if urgency == self.get(dependency):
                continue
            self._set_urgency(dependency, urgency)
            if dependency in self._waiting:
                stack.extend(self._waiting[dependency].dependencies)

    def _propagated_urgency(self, job_id: str) -> Urgency:
        """The urgency that a waiting job's dependencies inherit.

        The dependencies are due early enough for the waiting job to run before its own due time.
        """
        urgency = self.of_waiting(job_id)
        return Urgency(urgency.priority, urgency.due - self._waiting[job_id].spec.estimated_run_s)

    def _set_urgency(self, job_id: str, urgency: Urgency | None) -> None:
        if urgency is None:
            self._urgency.pop(job_id, None)
        else:
            self._urgency[job_id] = urgency
        self._changed.add(job_id)
