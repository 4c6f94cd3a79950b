"""Chooses the changed records that are written next, and assembles their transaction."""

from . import wire
from .job import Job
from .pending_writes import PendingWrites
from .scheduling_view import SchedulingView
from .transaction import Transaction


class DueRecords:
    """Takes due records out of the pending writes.

    Records of jobs that have to be rechunked first stay pending: the store might refuse them.
    """

    def __init__(self, view: SchedulingView, pending: PendingWrites) -> None:
        self._jobs, self._owners, self._budget = view.jobs, view.owners, view.budget
        self._chunk_limits = view.chunk_limits
        self._pending = pending

    def next_due(self) -> float | None:
        """When the next record is due that may be written, on the monotonic clock."""
        due = [at for key, at in self._pending.due.items() if not self._waits_for_rechunking(key)]
        return min(due, default=None)

    def _waits_for_rechunking(self, key: str) -> bool:
        job = self._jobs.get(wire.job_id_of(key))
        return job is not None and self._must_be_rechunked(job)

    def _must_be_rechunked(self, job: Job) -> bool:
        return not job.is_finished() and self._chunk_limits.needs_rechunking(job)

    def take(self, now: float) -> Transaction:
        """A transaction of as many due records as it may hold; these are no longer pending.

        Records that need not be written any more are dropped.
        """
        transaction = Transaction(self._budget.max_writes)
        for key in self._pending.due_keys(now):
            job = self._jobs.get(wire.job_id_of(key))
            if job is None or self._is_obsolete(key, job):
                self._pending.discard(key)
            elif self._must_be_rechunked(job):
                continue
            elif self._add(transaction, key, job):
                self._pending.discard(key)
            else:
                break
        return transaction

    def _is_obsolete(self, key: str, job: Job) -> bool:
        """Whether another controller owns the job, or its final state replaces this chunk."""
        return not self._owners.owns(job) or (job.is_finished() and wire.is_chunk_key(key))

    def _add(self, transaction: Transaction, key: str, job: Job) -> bool:
        """Adds a record, or the final state of a finished job; returns whether it fits."""
        shard, epoch = self._owners.shard_of(job.spec), self._owners.epoch_condition(job.spec)
        if job.is_finished():
            return transaction.add_final_state(job, shard, epoch)
        return transaction.add_record(key, job, shard, epoch)
