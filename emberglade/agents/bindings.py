"""The committed bindings: which tasks run on which machine, and how they are to be stopped."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from ..jobs import wire as jobs_wire
from ..jobs.binding import StopMode
from ..jobs.job_spec import JobSpec
from .cancelled_jobs import CancelledJobs
from .wire.tasks import TaskKey

# Indexes into the row of a stored binding.
ROW_ATTEMPT = 0
ROW_MACHINE = 1


class DesiredTask(NamedTuple):
    """The desired state of a task on a machine.

    Attributes:
        stop: KEEP, STOP or SAVE.
        stop_revision: The mod revision of the job's record or chunk that first showed this
            controller the stop; unused with KEEP.
        agent_epoch: The machine's agent epoch for which the task was bound; the binding is void in
            later epochs.
    """

    attempt: int
    stop: StopMode
    stop_revision: int
    agent_epoch: int


# A binding that is new or has a new stop: (machine, key, its desired state after the change). A
# plain tuple, because one is created for every binding that changes.
ChangedBinding = tuple[str, TaskKey, DesiredTask]


class LiveJob:
    """The parts of a live job's record and chunks that determine commands to agents.

    The record contains the first chunk; the other chunks have keys of their own.

    Attributes:
        generation: Identifies the layout of the job's chunks; changes when the job is rechunked.
        chunks: {number of a chunk: {task: its binding's row as stored}}.
    """

    __slots__ = ("spec", "generation", "chunks")

    def __init__(self, spec: JobSpec, generation: str) -> None:
        self.spec = spec
        self.generation = generation
        self.chunks: dict[int, dict[int, list]] = {}

    def bindings(self) -> Iterator[tuple[int, list]]:
        """Yields (task, row as stored) of all bound tasks."""
        for rows in self.chunks.values():
            yield from rows.items()


class EarlyChunks:
    """Chunks received before their job's record, or before the record names their generation."""

    def __init__(self) -> None:
        # job -> {(generation, number): (chunk, mod revision)}
        self.by_job: dict[str, dict[tuple[str, int], tuple[dict, int]]] = {}

    def add(self, job_id: str, generation: str, number: int, chunk: dict, revision: int) -> None:
        """Keeps a chunk until its job's record names its generation."""
        self.by_job.setdefault(job_id, {})[(generation, number)] = (chunk, revision)

    def discard(self, job_id: str, generation: str, number: int) -> None:
        """Drops a chunk that was removed from the store."""
        chunks = self.by_job.get(job_id)
        if chunks is not None:
            chunks.pop((generation, number), None)
            self._forget_if_empty(job_id)

    def take(self, job_id: str, generation: str) -> dict[int, tuple[dict, int]]:
        """Removes and returns {number: (chunk, mod revision)} of a job's chunks of a generation."""
        chunks = self.by_job.get(job_id, {})
        taken = {
            number: chunks.pop((chunk_generation, number))
            for chunk_generation, number in list(chunks)
            if chunk_generation == generation
        }
        self._forget_if_empty(job_id)
        return taken

    def forget(self, job_id: str) -> None:
        """Drops all chunks of a job."""
        self.by_job.pop(job_id, None)

    def _forget_if_empty(self, job_id: str) -> None:
        if not self.by_job.get(job_id, True):
            del self.by_job[job_id]


class CommittedBindings:
    """The bindings of all live jobs, kept up to date with the replica.

    Attributes:
        jobs: {job: LiveJob}.
        by_machine: {machine: {(job, task): DesiredTask}}; machines without tasks are absent.
        changed_machines: Machines whose bindings or taint changed, or one of whose jobs was
            cancelled, since this controller last compared their tasks with the bindings.
        changed: The new bindings and new stops in the changes that are being applied.
        unbound_machines: Machines that lost a binding in the changes that are being applied.
    """

    def __init__(self, cancelled: CancelledJobs) -> None:
        self.cancelled = cancelled
        self.jobs: dict[str, LiveJob] = {}
        self.by_machine: dict[str, dict[TaskKey, DesiredTask]] = {}
        self.changed_machines: set[str] = set()
        self.changed: list[ChangedBinding] = []
        self.unbound_machines: set[str] = set()
        self.early_chunks = EarlyChunks()

    def of_machine(self, machine: str) -> dict[TaskKey, DesiredTask]:
        """{(job, task): DesiredTask} of a machine."""
        return self.by_machine.get(machine, {})

    def stop_of(self, key: TaskKey, desired: DesiredTask) -> tuple[StopMode, int]:
        """(how a bound task is to be stopped, the revision at which this stop was first seen).

        A task is stopped by its binding or by the cancellation of its job.
        """
        cancellation = self.cancelled.by_job.get(key[0])
        if cancellation is None:
            return desired.stop, desired.stop_revision
        if desired.stop != StopMode.KEEP:
            return StopMode.STOP, min(desired.stop_revision, cancellation.revision)
        return StopMode.STOP, cancellation.revision

    def take_changed(self) -> list[ChangedBinding]:
        """Removes and returns the new bindings and new stops since the last call."""
        changed, self.changed = self.changed, []
        return changed

    def take_unbound_machines(self) -> set[str]:
        """Removes and returns the machines that lost a binding since the last call."""
        machines, self.unbound_machines = self.unbound_machines, set()
        return machines

    # --- changes of the replica

    def keep_only(self, job_ids: Iterable[str]) -> None:
        """Drops all jobs except those with the given ids."""
        kept = set(job_ids)
        for job_id in [job_id for job_id in self.jobs if job_id not in kept]:
            self.drop(job_id)

    def apply_record(self, job_id: str, record: dict, mod_revision: int) -> None:
        """Applies a job's own record, which contains its first chunk."""
        job = self.jobs.get(job_id)
        generation = jobs_wire.read_generation(record)
        if job is None:
            job = self._add_job(job_id, record, generation)
        elif generation != job.generation:
            self._change_layout(job_id, job, generation, record, mod_revision)
        if jobs_wire.is_cancelled(record) and job_id not in self.cancelled.by_job:
            self.note_cancelled(job_id, job, mod_revision)
        self._put_chunk(job_id, job, 0, jobs_wire.first_chunk(record), mod_revision)

    def apply_chunk(self, key: str, chunk: dict | None, mod_revision: int) -> None:
        """Applies a change of a chunk other than the first; `chunk` is None if it was removed."""
        job_id, generation, number = jobs_wire.read_chunk_key(key)
        job = self.jobs.get(job_id)
        if job is not None and generation == job.generation:
            self._put_chunk(job_id, job, number, chunk or {}, mod_revision)
        elif chunk is not None:
            self.early_chunks.add(job_id, generation, number, chunk, mod_revision)
        else:
            self.early_chunks.discard(job_id, generation, number)

    def note_cancelled(self, job_id: str, job: LiveJob, revision: int) -> None:
        """Records that a job is cancelled, as seen at `revision`."""
        self.changed_machines.update(machine for _, (_, machine, *_) in job.bindings())
        self.cancelled.add(job_id, revision)

    def drop(self, job_id: str) -> None:
        """Drops a job that is finished."""
        job = self.jobs.pop(job_id, None)
        self.early_chunks.forget(job_id)
        self.cancelled.forget(job_id)
        if job is not None:
            for number in list(job.chunks):
                self._put_chunk(job_id, job, number, {}, 0)

    def _add_job(self, job_id: str, record: dict, generation: str) -> LiveJob:
        job = self.jobs[job_id] = LiveJob(jobs_wire.read_spec(job_id, record), generation)
        if job_id in self.cancelled.announced:
            self.note_cancelled(job_id, job, self.cancelled.announced[job_id])
        early = self.early_chunks.take(job_id, generation)
        for number, (chunk, mod_revision) in early.items():
            self._put_chunk(job_id, job, number, chunk, mod_revision)
        return job

    def _change_layout(
        self, job_id: str, job: LiveJob, generation: str, record: dict, mod_revision: int
    ) -> None:
        """Switches to the chunks of the generation that the job's record names.

        Tasks that are bound in both layouts stay bound.
        """
        old = dict(job.bindings())
        chunks = {
            number: jobs_wire.binding_rows(chunk)
            for number, (chunk, _) in self.early_chunks.take(job_id, generation).items()
        }
        chunks[0] = jobs_wire.binding_rows(jobs_wire.first_chunk(record))
        job.generation = generation
        job.chunks = chunks
        self._rebind(job_id, old, dict(job.bindings()), mod_revision)

    def _put_chunk(
        self, job_id: str, job: LiveJob, number: int, chunk: dict, mod_revision: int
    ) -> None:
        new = jobs_wire.binding_rows(chunk)
        self._rebind(job_id, job.chunks.get(number, {}), new, mod_revision)
        job.chunks[number] = new

    def _rebind(
        self, job_id: str, old: dict[int, list], new: dict[int, list], mod_revision: int
    ) -> None:
        """Replaces a job's bound tasks `old` by `new`; updates only the bindings that differ."""
        for task, row in old.items():
            new_row = new.get(task)
            if new_row != row:
                before = self._unbind((job_id, task), row)
                if new_row is not None and new_row[ROW_ATTEMPT] == before.attempt:
                    # The revision at which a stop was first seen is kept.
                    stop_revision = (
                        before.stop_revision if before.stop != StopMode.KEEP else mod_revision
                    )
                    self._bind((job_id, task), new_row, stop_revision)
        for task, row in new.items():
            old_row = old.get(task)
            if old_row is None or old_row[ROW_ATTEMPT] != row[ROW_ATTEMPT]:
                self._bind((job_id, task), row, mod_revision)

    def _unbind(self, key: TaskKey, row: list) -> DesiredTask:
        """Removes a task's binding and returns the desired state that the task had."""
        machine = row[ROW_MACHINE]
        bound = self.by_machine[machine]
        before = bound.pop(key)
        if not bound:
            del self.by_machine[machine]
        self.changed_machines.add(machine)
        self.unbound_machines.add(machine)
        return before

    def _bind(self, key: TaskKey, row: list, stop_revision: int) -> None:
        attempt, machine, agent_epoch = row[:3]
        stop = jobs_wire.read_stop_mode(row)
        desired = DesiredTask(attempt, stop, stop_revision, agent_epoch)
        self.by_machine.setdefault(machine, {})[key] = desired
        self.changed_machines.add(machine)
        self.changed.append((machine, key, desired))
