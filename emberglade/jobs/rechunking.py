"""Rechunks jobs whose chunks may exceed the store's limit on the size of a value.

After the limit has been lowered, the records that are already stored stay readable, but the store
might refuse the next version of a record that exceeds it. The owner of the job first writes the new
chunks under keys of a new generation, which the job's record does not refer to yet. Then it
switches the record to the new chunks in one conditional transaction. Until then the owner does not
change the job in any other way. It ignores status updates of the job's tasks; none is lost, because
heartbeats repeat them.
"""

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ..actors import ActorPart, callback, send, send_after
from ..state import LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from ..state.transaction_builder import TransactionBuilder
from ..transport import status_text
from . import wire
from .chunk import Chunk
from .chunking import rechunk
from .commits import NOT_EXECUTED, Commits
from .job import Job
from .scheduling_view import SchedulingView
from .transaction import CommitInFlight

if TYPE_CHECKING:
    from ..state import Store
    from .manager import JobManager

log = logging.getLogger("emberglade.jobs")


@dataclass
class RechunkOperation:
    """The rewrite of one job's chunks.

    Attributes:
        job_id: The job that is rechunked.
        generation: The generation of the new chunks.
        epoch: The epoch of the job's shard under which the new chunks are derived; under a later
            one the job's chunks may differ.
        mod_revision: Mod revision of the job's record that the new chunks are derived from.
        record: The job's new record.
        chunks: (key, record) of the new chunks that are still to be written, without the first
            chunk, which is part of the job's record.
    """

    job_id: str
    generation: str
    epoch: int | None
    mod_revision: int = 0
    record: wire.Record = field(default_factory=dict)
    chunks: list[tuple[str, wire.Record]] = field(default_factory=list)


class Rechunking(ActorPart):
    """Rechunks the jobs that this controller owns, one at a time."""

    def __init__(
        self, actor: "JobManager", store: "Store", view: SchedulingView, commits: Commits
    ) -> None:
        super().__init__(actor)
        self._settings, self._store, self._budget = view.settings, store, view.budget
        self._jobs, self._owners = view.jobs, view.owners
        self._chunk_limits = view.chunk_limits
        self._commits = commits
        self._current: RechunkOperation | None = None
        self._operations_started = 0  # by this process

    @property
    def job_id(self) -> str | None:
        """The job that is being rechunked, or None."""
        return self._current.job_id if self._current is not None else None

    def start_next(self) -> None:
        """Starts rechunking the next job that needs it, unless one is being rechunked.

        Jobs with changes that wait to be written go first.
        """
        if (
            self._current is not None
            or not self._chunk_limits.format_raised
            or self._owners.incarnation is None
        ):
            return
        job = self._next_job()
        if job is None:
            return
        self._operations_started += 1
        self._current = RechunkOperation(
            job.id,
            f"{self._owners.incarnation}-{self._operations_started}",
            self._owners.own_epoch(job.stored_spec),
        )
        keys = [wire.key_of_chunk(job, number) for number in {0, *job.chunks}]
        send(self._store.on_read_replica, keys, callback(self.on_chunks_read, self._current))

    def _next_job(self) -> Job | None:
        jobs_with_pending_writes = self._commits.pending.job_ids()
        in_flight = self._commits.in_flight
        busy = {wire.job_id_of(key) for key in in_flight.chunks} if in_flight is not None else ()
        candidates = [
            job
            for job in self._jobs.jobs.values()
            if job.id not in busy
            and self._chunk_limits.needs_rechunking(job)
            and self._owners.owns(job)
        ]
        return max(
            candidates,
            key=lambda job: (job.id in jobs_with_pending_writes, job.binding_count(), job.id),
            default=None,
        )

    def on_chunks_read(self, operation: RechunkOperation, found: dict[str, Any]) -> None:
        """Handles the replica's state of the job's chunks: derives the new chunks from it."""
        job = self._jobs.get(operation.job_id)
        if job is None or not self._owners.owns(job) or found.get(wire.job_key(job.id)) is None:
            self._current = None
            return
        for chunk in job.chunks.values():
            chunk.mod_revision = -1
        self._commits.reset_to_committed(found)
        self._split(job, self._chunk_limits.chunk_size_for(job.stored_spec), operation)
        self._write(operation)

    @staticmethod
    def _split(job: Job, size: int, operation: RechunkOperation) -> None:
        """Computes the job's new record and chunks, of `size` tasks each."""
        chunks = rechunk(job, size)
        rechunked = Job(job.stored_spec, size, job.cancelled, operation.generation)
        rechunked.chunks = {0: chunks.pop(0, Chunk())}
        operation.mod_revision, operation.record = job.mod_revision, wire.job_record(rechunked)
        operation.chunks = [
            (wire.chunk_key(job.id, number, operation.generation), wire.chunk_record(chunk))
            for number, chunk in sorted(chunks.items())
        ]

    def _write(self, operation: RechunkOperation) -> None:
        """Writes the next batch of new chunks, or switches to them if all are written."""
        job = self._jobs.get(operation.job_id)
        if (
            job is None
            or operation.epoch is None
            or self._owners.own_epoch(job.stored_spec) != operation.epoch
            or job.mod_revision != operation.mod_revision
        ):
            self._current = None
            return
        if not operation.chunks:
            self._switch(job, operation)
            return
        epoch = self._owners.epoch_condition(job.stored_spec)
        transaction = TransactionBuilder(self._budget.max_writes)
        for key, record in operation.chunks:
            full_key = LIVE_PREFIX + key
            if not transaction.add([epoch, (full_key, 0)], [state_wire.put(full_key, record)]):
                break
        send(
            self._store.on_commit,
            DECISIONS,
            transaction.conditions,
            transaction.writes,
            callback(self.on_chunks_written, operation, len(transaction.writes)),
        )

    def on_chunks_written(
        self,
        operation: RechunkOperation,
        count: int,
        status: int,
        revision: int | None,
        failed: Any,
    ) -> None:
        """Handles the store's answer to the write of the first `count` chunks of `operation`."""
        if status == 200:
            del operation.chunks[:count]
            self._write(operation)
        elif status in NOT_EXECUTED:
            send_after(self._settings.agent_heartbeat_s / 8, self.on_write_again, operation)
        else:
            # The commit may still be executed later. The next attempt uses keys of a new
            # generation, and the garbage collection removes unused chunks.
            self._log_failure(operation, status, failed)
            self._current = None

    def on_write_again(self, operation: RechunkOperation) -> None:
        """Handles `write_again`, sent to itself: retries a refused or postponed write."""
        self._write(operation)

    def _switch(self, job: Job, operation: RechunkOperation) -> None:
        """Switches the job's record to the new chunks.

        As with any other commit on live jobs, no decision is committed until the outcome of this
        commit is known.
        """
        if self._commits.in_flight is not None:
            send_after(self._settings.agent_heartbeat_s / 40, self.on_write_again, operation)
            return
        key, epoch = wire.job_key(job.id), self._owners.epoch_condition(job.stored_spec)
        shard = self._owners.shard_of(job.stored_spec)
        self._commits.set_in_flight(CommitInFlight({key: job.chunk_of(0)}, {shard}))
        send(
            self._store.on_commit,
            DECISIONS,
            [epoch, (LIVE_PREFIX + key, operation.mod_revision)],
            [state_wire.put(LIVE_PREFIX + key, operation.record)],
            callback(self.on_switched, operation),
        )

    def on_switched(
        self, operation: RechunkOperation, status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to the switch."""
        if status in NOT_EXECUTED:
            self._commits.discard_in_flight()
            send_after(self._settings.agent_heartbeat_s / 8, self.on_write_again, operation)
            return
        if status == 200:
            size = wire.read_chunk_size(operation.record)
            log.info("rechunked job %s into chunks of %d tasks", operation.job_id, size)
        else:
            self._log_failure(operation, status, failed)
        self._current = None
        self._commits.settle(outcome_final=status in (200, 400, 409))

    @staticmethod
    def _log_failure(operation: RechunkOperation, status: int, failed: Any) -> None:
        level = logging.ERROR if status == 400 else logging.INFO
        log.log(
            level,
            "rechunking of job %s was not confirmed: %s (%s); retrying",
            operation.job_id,
            status_text(status),
            failed,
        )
