"""Which jobs wait for which, and what follows from it; derived from the replica alone.

Every controller works out the same from the same replica: who may be released, who is cancelled
with a job that it needs, and how urgent a job is for those that need it. Nothing of it is stored.
Walks along the graph use a stack of their own: chains may be long.
"""

from collections import OrderedDict
from collections.abc import Iterable

from ..state import Change
from . import wire
from .urgency import InheritedUrgency
from .waiting_job import WaitingJob, WaitingJobRecord
from .wire import Outcome

# Jobs that are over whose outcome is kept in memory; others are read when needed.
MAX_OUTCOMES = 20_000


class DependencyGraph:
    """The waiting jobs of the replica and what they wait for.

    Attributes:
        waiting: job -> WaitingJob.
        dependents: job -> the waiting jobs that need it.
        live: live job -> whether it is cancelled.
        outcomes: Jobs that are over -> Outcome.
        segments: (job, list id) -> {number: (job ids, mod revision)}.
        ready: Waiting jobs all of whose dependencies are done.
        cancelled: Waiting jobs that are cancelled with a dependency.
        unresolved: Dependencies of which the replica does not tell how they ended.
        urgency: What each job inherits from those that need it.
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

    # --- following the replica

    def apply(self, events: Iterable[Change], is_snapshot: bool) -> None:
        """Takes in changes of the replica, in their order; `is_snapshot`: they are all of it."""
        if is_snapshot:
            self._forget()
        # The order of keys puts a job before the segments of its list.
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
            self._note_if_unresolved(job_id)

    def _forget(self) -> None:
        """Before everything is read anew. Outcomes never change."""
        self.urgency.forget()
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
        # The end of a job is written on condition of its record, so the last record seen tells how
        # it ended.
        self.resolve(job_id, Outcome.CANCELLED if cancelled_before else Outcome.DONE)

    def _apply_waiting(
        self, job_id: str, record: wire.Record | None, mod_revision: int, touched: set[str]
    ) -> None:
        if record is None:
            removed = self._remove(job_id)
            if removed is not None and removed.cancelled:
                self.resolve(job_id, Outcome.CANCELLED)
            touched.add(job_id)  # released, or cancelled by its own user
        elif job_id not in self.waiting:
            self._add(job_id, wire.read_waiting_record(job_id, record), mod_revision)
            touched.add(job_id)
            touched.update(self.waiting[job_id].dependencies)

    def _add(self, job_id: str, record: WaitingJobRecord, mod_revision: int) -> None:
        dependencies = self._dependencies_of(job_id, record)
        job = WaitingJob(record.spec, dependencies, mod_revision, record.list_id)
        self.waiting[job_id] = job
        cancelled = False
        for needed in dependencies:
            self.dependents.setdefault(needed, set()).add(job_id)
            job.open_dependencies += self.outcomes.get(needed) is not Outcome.DONE
            cancelled = cancelled or self.is_cancelled(needed)
        self.urgency.propagate(job_id)
        if cancelled:
            self._cancel([job_id])
        elif not job.open_dependencies:
            self.ready.add(job_id)

    def _dependencies_of(self, job_id: str, record: WaitingJobRecord) -> tuple[str, ...]:
        if not record.segments:
            return record.dependencies
        segments = self.segments.get((job_id, record.list_id), {})
        return tuple(needed for number in sorted(segments) for needed in segments[number][0])

    def _remove(self, job_id: str) -> WaitingJob | None:
        job = self.waiting.pop(job_id, None)
        if job is None:
            return None
        self.ready.discard(job_id)
        self.cancelled.discard(job_id)
        for needed in job.dependencies:
            others = self.dependents.get(needed)
            if others is None:
                continue
            others.discard(job_id)
            if not others:
                del self.dependents[needed]
                self.unresolved.discard(needed)
        self.urgency.recompute(job.dependencies)
        return job

    def _note_if_unresolved(self, job_id: str) -> None:
        """A dependency that is neither live nor waiting is over; its final key tells how."""
        if (
            job_id in self.live
            or job_id in self.waiting
            or job_id in self.outcomes
            or job_id not in self.dependents
        ):
            self.unresolved.discard(job_id)
        else:
            self.unresolved.add(job_id)

    # --- what follows

    def resolve(self, job_id: str, outcome: Outcome) -> None:
        """A job has ended; its final key says so, or its last record did."""
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
            job.open_dependencies -= 1
            if not job.open_dependencies and not job.cancelled:
                self.ready.add(dependent)

    def is_cancelled(self, job_id: str) -> bool:
        """Whether the replica shows a job cancelled, by its user or with a job that it needs."""
        waiting = self.waiting.get(job_id)
        return bool(
            self.live.get(job_id)
            or (waiting is not None and waiting.cancelled)
            or self.outcomes.get(job_id) is Outcome.CANCELLED
        )

    def unresolved_dependencies_of(self, job_id: str) -> set[str]:
        """The unresolved dependencies of a waiting job and of the waiting jobs that it needs."""
        if not self.unresolved:
            return set()
        unresolved: set[str] = set()
        seen, stack = {job_id}, [job_id]
        while stack:
            job = self.waiting.get(stack.pop())
            for needed in job.dependencies if job is not None else ():
                if needed in self.unresolved:
                    unresolved.add(needed)
                if needed not in seen:
                    seen.add(needed)
                    stack.append(needed)
        return unresolved

    def _cancel_dependents(self, job_id: str) -> None:
        self._cancel(list(self.dependents.get(job_id, ())))

    def _cancel(self, stack: list[str]) -> None:
        """These waiting jobs are cancelled, and so are all that need them."""
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
