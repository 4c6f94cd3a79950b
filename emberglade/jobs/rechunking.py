"""Rechunks jobs whose chunks may outgrow the values that the store takes.

Records written under larger limits stay readable, but their next version might be refused. The
owner writes the new chunks first, under keys of a generation of their own that nobody reads, and
then switches the job's record to them in one conditional transaction. Until then nothing is decided
about the job: status updates of its tasks are repeated by heartbeats, so none is lost.
"""

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ..actors import ActorPart, callback, send, send_after
from ..state import LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from ..transport import status_text
from . import wire
from .chunk import Chunk
from .chunking import rechunk
from .commits import NOT_EXECUTED, Commits
from .job import Job
from .transaction import CommitInFlight
from .view import View

if TYPE_CHECKING:
    from ..state import Store
    from .manager import JobManager

log = logging.getLogger("emberglade.jobs")


@dataclass
class Rechunk:
    """A job whose chunks are being written anew.

    Attributes:
        generation: Of the new chunks.
        mod_revision: Of the record that the new chunks were made from.
        record: The job's new record.
        chunks: (key, record) of the further chunks that are still to be written.
    """

    job_id: str
    generation: str
    mod_revision: int = 0
    record: wire.Record = field(default_factory=dict)
    chunks: list[tuple[str, wire.Record]] = field(default_factory=list)


class Rechunking(ActorPart):
    """Rechunks own jobs, one at a time."""

    def __init__(self, actor: "JobManager", store: "Store", view: View, commits: Commits) -> None:
        super().__init__(actor)
        self._settings, self._store, self._budget = view.settings, store, view.budget
        self._jobs, self._owners = view.jobs, view.owners
        self._chunk_limits = view.chunk_limits
        self._commits = commits
        self._current: Rechunk | None = None
        self._count = 0  # of those begun by this process

    @property
    def job_id(self) -> str | None:
        """The job that is being rechunked, or None."""
        return self._current.job_id if self._current is not None else None

    def start_next(self) -> None:
        """Begins with the next job that needs it, if none is being rechunked.

        Those whose changes wait to be written go first.
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
        self._count += 1
        self._current = Rechunk(job.id, f"{self._owners.incarnation}-{self._count}")
        keys = [wire.key_of_chunk(job, number) for number in {0, *job.chunks}]
        send(self._store.on_read_replica, keys, callback(self.on_chunks_read, self._current))

    def _next_job(self) -> Job | None:
        urgent = self._commits.pending.job_ids()
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
            key=lambda job: (job.id in urgent, job.binding_count(), job.id),
            default=None,
        )

    def on_chunks_read(self, change: Rechunk, found: dict[str, Any]) -> None:
        """Handles what the replica shows of the job's chunks: they are split anew from that."""
        job = self._jobs.get(change.job_id)
        if job is None or not self._owners.owns(job) or found.get(wire.job_key(job.id)) is None:
            self._current = None
            return
        for chunk in job.chunks.values():
            chunk.mod_revision = -1
        self._commits.reset_to_committed(found)
        self._split(job, self._chunk_limits.chunk_size_for(job.stored_spec), change)
        self._write(change)

    @staticmethod
    def _split(job: Job, size: int, change: Rechunk) -> None:
        """Works out the job's new record and chunks, of `size` tasks each."""
        chunks = rechunk(job, size)
        rechunked = Job(job.stored_spec, size, job.cancelled, change.generation)
        rechunked.chunks = {0: chunks.pop(0, Chunk())}
        change.mod_revision, change.record = job.mod_revision, wire.job_record(rechunked)
        change.chunks = [
            (wire.chunk_key(job.id, number, change.generation), wire.chunk_record(chunk))
            for number, chunk in sorted(chunks.items())
        ]

    def _write(self, change: Rechunk) -> None:
        """Writes the next of the new chunks, or switches to them when all are there."""
        job = self._jobs.get(change.job_id)
        if job is None or not self._owners.owns(job) or job.mod_revision != change.mod_revision:
            self._current = None
            return
        if not change.chunks:
            self._switch(job, change)
            return
        batch = change.chunks[: self._budget.max_writes]
        epoch = self._owners.epoch_condition(job.stored_spec)
        send(
            self._store.on_commit,
            DECISIONS,
            [epoch, *((LIVE_PREFIX + key, 0) for key, _ in batch)],
            [state_wire.put(LIVE_PREFIX + key, record) for key, record in batch],
            callback(self.on_chunks_written, change, len(batch)),
        )

    def on_chunks_written(
        self, change: Rechunk, count: int, status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to the first `count` of the new chunks."""
        if status == 200:
            del change.chunks[:count]
            self._write(change)
        elif status in NOT_EXECUTED:
            send_after(self._settings.agent_heartbeat_s / 8, self.on_write_again, change)
        else:
            # Perhaps carried out later; the next try uses keys of its own, and what is left over is
            # removed.
            self._log_refusal(change, status, failed)
            self._current = None

    def on_write_again(self, change: Rechunk) -> None:
        """Handles `write_again`, sent to itself: the store refused, or a commit was in flight."""
        self._write(change)

    def _switch(self, job: Job, change: Rechunk) -> None:
        """Switches the job's record to the new chunks.

        That is a commit like any other: nothing else is written until its outcome is known.
        """
        if self._commits.in_flight is not None:
            send_after(self._settings.agent_heartbeat_s / 40, self.on_write_again, change)
            return
        key, epoch = wire.job_key(job.id), self._owners.epoch_condition(job.stored_spec)
        shard = self._owners.shard_of(job.stored_spec)
        self._commits.begin_flight(CommitInFlight({key: job.chunk_of(0)}, {shard}))
        send(
            self._store.on_commit,
            DECISIONS,
            [epoch, (LIVE_PREFIX + key, change.mod_revision)],
            [state_wire.put(LIVE_PREFIX + key, change.record)],
            callback(self.on_switched, change),
        )

    def on_switched(self, change: Rechunk, status: int, revision: int | None, failed: Any) -> None:
        """Handles the store's answer to the switch."""
        if status in NOT_EXECUTED:
            self._commits.abandon_flight()
            send_after(self._settings.agent_heartbeat_s / 8, self.on_write_again, change)
            return
        if status == 200:
            size = wire.read_chunk_size(change.record)
            log.info("%s is rechunked, in chunks of %d tasks", change.job_id, size)
        else:
            self._log_refusal(change, status, failed)
        self._current = None
        self._commits.settle(decided=status in (200, 400, 409))

    @staticmethod
    def _log_refusal(change: Rechunk, status: int, failed: Any) -> None:
        level = logging.ERROR if status == 400 else logging.INFO
        log.log(
            level,
            "rechunking %s got %s (%s); it is tried again",
            change.job_id,
            status_text(status),
            failed,
        )
