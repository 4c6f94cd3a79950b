"""The graph of waiting jobs and their dependencies, derived from the replica alone.

From the same replica every controller derives the same result: which jobs may be released, which
are cancelled because a dependency was cancelled, and which urgency a job inherits from its
dependents. These results are not stored.

Traversals use an explicit stack instead of recursion, because chains of dependencies may be long.
"""

from collections import OrderedDict
from collections.abc import Iterable

from ..state import Change
from . import wire
from .urgency import InheritedUrgency
from .waiting_job import WaitingJob, WaitingJobRecord
from .wire import Outcome

# Finished jobs whose outcome is kept in memory. The outcome of any other finished job is read from
# the store if a waiting job depends on that job.
MAX_OUTCOMES = 20_000


class DependencyGraph:
    """The waiting jobs in the replica and their dependencies.

    Attributes:
        waiting: job id -> WaitingJob.
        dependents: job id -> ids of the waiting jobs that depend on it.
        live: live job's id -> whether it is cancelled.
        outcomes: finished job's id -> Outcome.
        segments: (job id, list id) -> {number: (job ids, mod revision)}.
        ready: Waiting jobs all of whose dependencies are done.
        cancelled: Waiting jobs that are cancelled because a dependency was cancelled.
        unresolved: Finished dependencies whose outcome is not known from the replica.
        urgency: The urgency that each job inherits from its dependents.
    """

    def __init__(self) -> None:
        self.waiting: dict[str, WaitingJob] = {}
        self.dependents: dict[str, set[str]] = {}
        self.live: dict[str, bool] = {}
        self.outcomes: OrderedDict[str, Outcome] = OrderedDict()
        self.segments: dict[tuple[str, str], dict[int, tuple[list[str], int]]] = {}
        self.ready: set[str] = set()
        self.cancelled: set[str] = set()
        self.unresolved: set[str] = set()
        self.urgency = InheritedUrgency(self.waiting, self.dependents)

    # --- applying changes of the replica

    def apply(self, events: Iterable[Change], is_snapshot: bool) -> None:
        """Applies changes of the replica in order; `is_snapshot`: they are the complete replica."""
        if is_snapshot:
            self._clear()
        # Segments are applied first: adding a waiting job reads its segments, whose keys follow the
        # job's own key in the order of keys.
        for key, record, mod_revision in events:
            if key.startswith(wire.SEGMENT_PREFIX):
                self._apply_segment(key, record, mod_revision)
        touched: set[str] = set()
        for key, record, mod_revision in events:
            if key.startswith(wire.JOB_PREFIX):
                self._apply_live(wire.job_id_of(key), record, is_snapshot, touched)
            elif key.startswith(wire.WAITING_PREFIX):
                self._apply_waiting(wire.job_id_of(key), record, mod_revision, touched)
        for job_id in touched:
            self._update_unresolved(job_id)

    def _clear(self) -> None:
        """Clears all but the outcomes, which never change, before a snapshot is applied."""
        self.urgency.clear()
        self.waiting.clear()
        self.dependents.clear()
        self.live, self.segments = {}, {}
        self.ready, self.cancelled, self.unresolved = set(), set(), set()

    def _apply_segment(self, key: str, ids: list[str] | None, mod_revision: int) -> None:
        job_id, list_id, number = wire.read_segment_key(key)
        segments = self.segments.setdefault((job_id, list_id), {})
        if ids is not None:
            segments[number] = (ids, mod_revision)
            return
        segments.pop(number, None)
        if not segments:
            del self.segments[(job_id, list_id)]

    def _apply_live(
        self, job_id: str, record: wire.Record | None, is_snapshot: bool, touched: set[str]
    ) -> None:
        if record is not None:
            cancelled = wire.is_cancelled(record)
            cancelled_before = self.live.get(job_id)
            self.live[job_id] = cancelled
            self.unresolved.discard(job_id)
            if cancelled and not cancelled_before:
                self._cancel_dependents(job_id)
            return
        cancelled_before = self.live.pop(job_id, None)
        if cancelled_before is None or is_snapshot:
            touched.add(job_id)
            return
        # The transaction that ends a job is conditional on its record, so the last record seen
        # determines the outcome.
        self.resolve(job_id, Outcome.CANCELLED if cancelled_before else Outcome.DONE)

    def _apply_waiting(
        self, job_id: str, record: wire.Record | None, mod_revision: int, touched: set[str]
    ) -> None:
        if record is None:
            removed = self._remove(job_id)
            if removed is not None and removed.cancelled:
                self.resolve(job_id, Outcome.CANCELLED)
            touched.add(job_id)  # unless resolved, it was released, or cancelled by its user
        elif job_id not in self.waiting:
            self._add(job_id, wire.read_waiting_record(job_id, record), mod_revision)
            touched.add(job_id)
            touched.update(self.waiting[job_id].dependencies)

    def _add(self, job_id: str, record: WaitingJobRecord, mod_revision: int) -> None:
        dependencies = self._dependencies_of(job_id, record)
        job = WaitingJob(record.spec, dependencies, mod_revision, record.list_id)
        self.waiting[job_id] = job
        cancelled = False
        for dependency in dependencies:
            self.dependents.setdefault(dependency, set()).add(job_id)
            if self.outcomes.get(dependency) is not Outcome.DONE:
                job.open_dependencies.add(dependency)
            cancelled = cancelled or self.is_cancelled(dependency)
        self.urgency.propagate(job_id)
        if cancelled:
            self._cancel([job_id])
        elif not job.open_dependencies:
            self.ready.add(job_id)

    def _dependencies_of(self, job_id: str, record: WaitingJobRecord) -> tuple[str, ...]:
        if not record.segments:
            return record.dependencies
        segments = self.segments.get((job_id, record.list_id), {})
        return tuple(
            dependency for number in sorted(segments) for dependency in segments[number][0]
        )

    def _remove(self, job_id: str) -> WaitingJob | None:
        job = self.waiting.pop(job_id, None)
        if job is None:
            return None
        self.ready.discard(job_id)
        self.cancelled.discard(job_id)
        for dependency in job.dependencies:
            others = self.dependents.get(dependency)
            if others is None:
                continue
            others.discard(job_id)
            if not others:
                del self.dependents[dependency]
                self.unresolved.discard(dependency)
        self.urgency.recompute(job.dependencies)
        return job

    def _update_unresolved(self, job_id: str) -> None:
        """Adds a job to `unresolved` or removes it.

        It belongs there if it is a finished dependency whose outcome is not known.
        """
        if (
            job_id in self.live
            or job_id in self.waiting
            or job_id in self.outcomes
            or job_id not in self.dependents
        ):
            self.unresolved.discard(job_id)
        else:
            self.unresolved.add(job_id)

    # --- outcomes and cancellation

    def resolve(self, job_id: str, outcome: Outcome) -> None:
        """Records the outcome of a job, known from its final key or from its last record."""
        if job_id in self.outcomes:
            return
        self.outcomes[job_id] = outcome
        if len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)
        self.unresolved.discard(job_id)
        if outcome is Outcome.CANCELLED:
            self._cancel_dependents(job_id)
            return
        for dependent in self.dependents.get(job_id, ()):
            job = self.waiting[dependent]
            job.open_dependencies.discard(job_id)
            if not job.open_dependencies and not job.cancelled:
                self.ready.add(dependent)

    def is_cancelled(self, job_id: str) -> bool:
        """Whether a job is known to be cancelled.

        Its user cancelled it, or a dependency was cancelled.
        """
        waiting = self.waiting.get(job_id)
        return bool(
            self.live.get(job_id)
            or (waiting is not None and waiting.cancelled)
            or self.outcomes.get(job_id) is Outcome.CANCELLED
        )

    def unresolved_dependencies_of(self, job_id: str) -> set[str]:
        """The unresolved dependencies of a waiting job, direct or through other waiting jobs."""
        if not self.unresolved:
            return set()
        unresolved: set[str] = set()
        seen, stack = {job_id}, [job_id]
        while stack:
            job = self.waiting.get(stack.pop())
            for dependency in job.dependencies if job is not None else ():
                if dependency in self.unresolved:
                    unresolved.add(dependency)
                if dependency not in seen:
                    seen.add(dependency)
                    stack.append(dependency)
        return unresolved

    def _cancel_dependents(self, job_id: str) -> None:
        self._cancel(list(self.dependents.get(job_id, ())))

    def _cancel(self, stack: list[str]) -> None:
        """Marks waiting jobs and all that depend on them, directly or not, as cancelled."""
        while stack:
            job_id = stack.pop()
            job = self.waiting[job_id]
            if job.cancelled:
                continue
            job.cancelled = True
            self.ready.discard(job_id)
            self.cancelled.add(job_id)
            self.urgency.recompute(job.dependencies)
            stack.extend(self.dependents.get(job_id, ()))
