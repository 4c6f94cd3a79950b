"""How urgent a job is for those that need it: what it inherits from them.

Walks along the dependencies use a stack of their own: chains may be long.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .waiting_job import WaitingJob


@dataclass(frozen=True)
class Urgency:
    """What the jobs that need a job pass on to it.

    Attributes:
        priority: The highest of theirs, an index into PRIORITIES.
        due: The earliest time of day by which it has to be done; infinity: none.
    """

    priority: int
    due: float

    def or_more_urgent(self, other: "Urgency | None") -> "Urgency":
        """The more urgent of both, each by its own measure."""
        if other is None:
            return self
        return Urgency(min(self.priority, other.priority), min(self.due, other.due))


class InheritedUrgency:
    """What each job inherits from the waiting jobs that need it, directly or not.

    `waiting` ({job: WaitingJob}) and `dependents` ({job: the waiting jobs that need it}) are the
    dependency graph's own, which changes them.
    """

    def __init__(self, waiting: dict[str, "WaitingJob"], dependents: dict[str, set[str]]) -> None:
        self._waiting = waiting
        self._dependents = dependents
        self._urgency: dict[str, Urgency] = {}  # needed job -> what it inherits
        self._changed: set[str] = set()

    def get(self, job_id: str) -> Urgency | None:
        """What a job inherits; None if no job needs it."""
        return self._urgency.get(job_id)

    def of_waiting(self, job_id: str) -> Urgency:
        """How urgent a waiting job is, by itself or for those that need it."""
        return self._waiting[job_id].own_urgency().or_more_urgent(self.get(job_id))

    def forget(self) -> None:
        """Forgets all, before the graph is read anew."""
        self._changed.update(self._urgency)
        self._urgency.clear()

    def take_changes(self) -> set[str]:
        """The jobs whose inherited urgency changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def propagate(self, job_id: str) -> None:
        """Passes the urgency of a waiting job that grew more urgent on to all that it needs."""
        stack = [job_id]
        while stack:
            dependent = stack.pop()
            passed_on = self._passed_on_by(dependent)
            for needed in self._waiting[dependent].dependencies:
                before = self.get(needed)
                after = passed_on.or_more_urgent(before)
                if after == before:
                    continue
                self._set(needed, after)
                if needed in self._waiting:
                    stack.append(needed)

    def recompute(self, job_ids: Iterable[str]) -> None:
        """Works out anew what jobs inherit, after one that needs them was cancelled or removed."""
        stack = list(job_ids)
        while stack:
            needed = stack.pop()
            urgency = None
            for dependent in self._dependents.get(needed, ()):
                if not self._waiting[dependent].cancelled:
                    urgency = self._passed_on_by(dependent).or_more_urgent(urgency)
            if urgency == self.get(needed):
                continue
            self._set(needed, urgency)
            if needed in self._waiting:
                stack.extend(self._waiting[needed].dependencies)

    def _passed_on_by(self, job_id: str) -> Urgency:
        """What a waiting job passes on: time for its own tasks is to be left."""
        urgency = self.of_waiting(job_id)
        return Urgency(urgency.priority, urgency.due - self._waiting[job_id].spec.estimated_run_s)

    def _set(self, job_id: str, urgency: Urgency | None) -> None:
        if urgency is None:
            self._urgency.pop(job_id, None)
        else:
            self._urgency[job_id] = urgency
        self._changed.add(job_id)
