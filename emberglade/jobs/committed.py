"""Keeps the job manager's view up to date with the replica."""

from collections.abc import Callable
from typing import Any

from ..fleet.wire import CATALOG_KEY, TAINT_PREFIX
from ..membership import FORMAT_KEY, is_raised
from ..membership import wire as membership_wire
from . import wire
from .commits import Commits
from .garbage_collection import GarbageCollection
from .job import Job
from .scheduling_view import SchedulingView
from .unattached_chunks import ChunkVersion


class CommittedState:
    """Applies the replica's changes: jobs, chunks, owners, taints, machine types, the format.

    The view to which they are applied also contains this controller's uncommitted decisions. A
    newer record of a key replaces the uncommitted decisions that were to be written to that key.
    """

    def __init__(
        self,
        view: SchedulingView,
        commits: Commits,
        garbage: GarbageCollection,
        clock: Callable[[], float],
    ) -> None:
        self._jobs, self._unattached, self._cluster = view.jobs, view.unattached, view.cluster
        self._owners, self._chunk_limits = view.owners, view.chunk_limits
        self._graph = view.graph
        self._commits, self._garbage, self._clock = commits, garbage, clock
        self._changed_taints: set[str] = set()

    def reset_for_snapshot(self, keys: set[str]) -> None:
        """Before a snapshot is applied: removes all taints, and jobs without a key in `keys`.

        `keys` are the snapshot's keys that have a record.
        """
        for job_id in [job_id for job_id in self._jobs.jobs if wire.job_key(job_id) not in keys]:
            self._jobs.remove(job_id)
        self._cluster.taints.forget()

    def take_changed_taints(self) -> set[str]:
        """The machines whose taints changed since the last call.

        A snapshot adds all machines that are tainted in it, whether their taints changed or not. It
        does not add machines whose taints it no longer contains.
        """
        machines, self._changed_taints = self._changed_taints, set()
        return machines

    def apply(self, key: str, record: Any, mod_revision: int) -> None:
        """Applies one change; `record` is None if the key was removed."""
        if wire.is_job_key(key):
            self._apply_job(key, record, mod_revision)
        elif wire.is_chunk_key(key):
            self._apply_chunk(key, record, mod_revision)
        elif key.startswith(membership_wire.SHARD_PREFIX):
            self._owners.apply(key, record, mod_revision)
        elif key.startswith(TAINT_PREFIX):
            taints = self._cluster.taints
            self._changed_taints.update(taints.apply(key, record, mod_revision, self._clock()))
        elif key == CATALOG_KEY and record is not None:
            self._cluster.update_machine_types(record)
        elif key == FORMAT_KEY:
            raised = self._chunk_limits.format_raised or is_raised(record)
            self._chunk_limits.format_raised = raised

    def _apply_job(self, key: str, record: wire.Record | None, mod_revision: int) -> None:
        job_id = wire.job_id_of(key)
        job = self._jobs.get(job_id)
        if record is None:
            self._jobs.remove(job_id)
            return
        if job is not None and job.mod_revision >= mod_revision:
            return
        if job is None:
            job = self._add_job(job_id, record)
        elif wire.read_generation(record) != job.generation:
            self._change_generation(job, record)
        job.cancelled = wire.is_cancelled(record)
        self._commits.pending.discard(key)
        self._jobs.update_chunk(job, 0, wire.first_chunk(record), mod_revision)
        self._commits.mark_if_finished(job)

    def _add_job(self, job_id: str, record: wire.Record) -> Job:
        job = self._jobs.jobs[job_id] = wire.read_job(job_id, record)
        job.inherit_urgency(self._graph.urgency.get(job_id))
        self._attach_chunks(job)
        return job

    def _attach_chunks(self, job: Job) -> None:
        """Adds the unattached chunks of the generation to which the job's record now refers."""
        for number, chunk in self._unattached.take(job.id, job.generation):
            self._jobs.update_chunk(job, number, chunk.record, chunk.mod_revision)

    def _change_generation(self, job: Job, record: wire.Record) -> None:
        """Switches a rechunked job to the chunks of its new generation."""
        since = {task: binding.since for task, binding in job.bindings()}
        for task in since:
            self._jobs.unbind(job, task)
        for number, chunk in job.chunks.items():
            self._commits.pending.discard(wire.key_of_chunk(job, number))
            if number:
                old_key = wire.ChunkKey(job.id, job.generation, number)
                self._unattached.put(old_key, ChunkVersion({}, chunk.mod_revision))
        job.chunk_size = wire.read_chunk_size(record)
        job.generation = wire.read_generation(record)
        job.chunks = {}
        self._attach_chunks(job)
        self._jobs.update_chunk(job, 0, wire.first_chunk(record), 0)
        for task, binding in job.bindings():
            binding.since = since.get(task, binding.since)

    def _apply_chunk(self, key: str, record: wire.Record | None, mod_revision: int) -> None:
        chunk_key = wire.read_chunk_key(key)
        job = self._jobs.get(chunk_key.job_id)
        number = chunk_key.number
        if job is None or chunk_key.generation != job.generation:
            self._apply_unattached(key, chunk_key, record, mod_revision)
        elif record is None:
            self._jobs.update_chunk(job, number, {}, mod_revision)
            job.chunks.pop(number, None)
        elif number not in job.chunks or job.chunks[number].mod_revision < mod_revision:
            self._commits.pending.discard(key)
            self._jobs.update_chunk(job, number, record, mod_revision)
            self._commits.mark_if_finished(job)

    def _apply_unattached(
        self, key: str, chunk_key: wire.ChunkKey, record: wire.Record | None, mod_revision: int
    ) -> None:
        if record is not None:
            self._unattached.put(chunk_key, ChunkVersion(record, mod_revision))
        else:
            self._unattached.discard(chunk_key)
            self._garbage.discard(key)
