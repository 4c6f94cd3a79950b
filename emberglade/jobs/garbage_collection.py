"""Removes chunks that no job uses any more.

The first chunk of a job is stored in the job's own key and removed with that key. This module
removes the job's other chunks, which have keys of their own.
"""

from typing import TYPE_CHECKING, Any

from ..actors import ActorPart, callback, send
from ..state import LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from ..state.transaction_builder import TransactionBuilder
from . import wire
from .job import Job
from .scheduling_view import SchedulingView

if TYPE_CHECKING:
    from ..state import Store
    from .manager import JobManager

# Lease durations (`lease_s`) after which a chunk without a job is removed.
ORPHAN_RETENTION_LEASES = 2


class GarbageCollection(ActorPart):
    """Removes chunks of finished jobs, of unused generations, and those that belong to no job."""

    def __init__(self, actor: "JobManager", store: "Store", view: SchedulingView) -> None:
        super().__init__(actor)
        self._settings, self._store, self._budget = view.settings, store, view.budget
        self._jobs, self._owners = view.jobs, view.owners
        self._unattached = view.unattached
        self._garbage: dict[str, int] = {}  # key of a chunk to remove -> its mod revision
        # job id -> when its chunks were first seen without a job
        self._orphaned_since: dict[str, float] = {}

    def add_chunks_of(self, job: Job) -> None:
        """Marks all chunks of a finished job but the first for removal."""
        self._garbage.update(
            (wire.key_of_chunk(job, number), chunk.mod_revision)
            for number, chunk in job.chunks.items()
            if number
        )

    def discard(self, key: str) -> None:
        """Unmarks a chunk that has been removed."""
        self._garbage.pop(key, None)

    def collect(self) -> None:
        """Removes marked chunks that are unused, as many as one commit may hold."""
        transaction = TransactionBuilder(self._budget.max_writes)
        removed: dict[str, int] = {}
        for key in list(self._garbage)[: self._budget.max_writes]:
            if not self._is_unused(key):
                del self._garbage[key]
            elif self._add_removal(transaction, key):
                removed[key] = self._garbage.pop(key)
            else:
                break
        if not removed:
            return
        send(
            self._store.on_commit,
            DECISIONS,
            transaction.conditions,
            transaction.writes,
            callback(self.on_collected, removed),
        )

    def _add_removal(self, transaction: TransactionBuilder, key: str) -> bool:
        """Adds the removal of an unused chunk to a transaction; returns whether it fits."""
        full_key = LIVE_PREFIX + key
        conditions = [
            self._removal_condition(wire.job_id_of(key)),
            (full_key, self._garbage[key]),
        ]
        return transaction.add(conditions, [state_wire.remove(full_key)])

    def on_collected(
        self, removed: dict[str, int], status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to a removal; `removed` is {key: mod revision}.

        The chunks are marked again unless they were removed (200) or a condition failed (409).
        """
        if status not in (200, 409):
            self._garbage.update(removed)

    def _is_unused(self, key: str) -> bool:
        """Whether a chunk is unused.

        A chunk is unused if its job is not live, or if this controller owns the job and the job
        uses another generation of chunks.
        """
        chunk = wire.read_chunk_key(key)
        job = self._jobs.get(chunk.job_id)
        return job is None or (self._owners.owns(job) and chunk.generation != job.generation)

    def _removal_condition(self, job_id: str) -> tuple[str, int]:
        """The condition for removing unused chunks of a job.

        If the job is not live, the condition is that the job's own key does not exist: every live
        job has that key, so the chunks are unused. If the job is live, the condition is that this
        controller still owns its shard. Only the owner may rechunk a job. So while this controller
        owns the shard, no other controller can switch the job to another generation of chunks.
        """
        job = self._jobs.get(job_id)
        if job is None:
            return LIVE_PREFIX + wire.job_key(job_id), 0
        return self._owners.epoch_condition(job.stored_spec)

    def sweep_generations(self, rechunked_job_id: str | None) -> None:
        """Marks unattached chunks of owned jobs for removal: their job uses another generation.

        The job `rechunked_job_id` is skipped: chunks of its next generation are being written.
        """
        for job_id in self._unattached.by_job:
            job = self._jobs.get(job_id)
            if job is not None and self._owners.owns(job) and job_id != rechunked_job_id:
                self._garbage.update(self._unattached.keys_of(job_id))

    def sweep_orphans(self) -> None:
        """Marks chunks without a job for removal; a crashed controller may leave such chunks.

        Only the owner of the first shard does this. It marks the chunks of a job once more than
        ORPHAN_RETENTION_LEASES lease durations have passed since it first saw them without the job.
        """
        if not self._owners.owns_first_shard():
            return
        now = self.now()
        self._orphaned_since = {
            job_id: self._orphaned_since.get(job_id, now)
            for job_id in self._unattached.by_job
            if self._jobs.get(job_id) is None
        }
        for job_id, since in self._orphaned_since.items():
            if now - since > ORPHAN_RETENTION_LEASES * self._settings.lease_s:
                self._garbage.update(self._unattached.keys_of(job_id))
