"""Lays a job's parts out anew when they may outgrow the values that the state service takes.

Records written under larger limits stay readable, but their next version might be refused. The
holder writes the new parts first, under keys of a generation of their own that nobody reads, and
then switches the job's record to them in one conditional transaction. Until then nothing is decided
about the job: facts about its tasks are repeated by reports, so none is lost.
"""

import logging
from dataclasses import dataclass

from ..actors import callback, tell, tell_after
from ..state import LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from ..transport import status_text
from . import wire
from .chunk import Chunk
from .chunking import chunk_size_for, rechunk
from .job import Job, shard_of

log = logging.getLogger("emberglade.jobs")

NOT_EXECUTED = (429, 503)


@dataclass
class LayoutChange:
    """A job whose parts are being written anew."""

    job_id: str
    generation: str
    mod_revision: int = 0  # of the record that the new parts were made from
    record: dict | None = None
    chunks: list = None  # (key, value) of those that are still to be written


class Relayout:
    """The part of the job manager that changes layouts, one job at a time."""

    def __init__(self):
        self.layout_change = None
        self.layout_changes = 0

    def needs_relayout(self, job):
        """Whether a part of the job may be too large to be written."""
        if not self.format_raised:
            return False
        if job.fitting_chunk_size is None:
            job.fitting_chunk_size = chunk_size_for(job.stored_spec, self.settings.value_bytes)
        return 0 < job.fitting_chunk_size < min(job.chunk_size, job.stored_spec.tasks)

    def waits_for_relayout(self, key):
        job = self.jobs.get(wire.job_id_of(key))
        return job is not None and not job.is_over() and self.needs_relayout(job)

    def is_laid_out_anew(self, job_id):
        return self.layout_change is not None and self.layout_change.job_id == job_id

    def soon_relayout(self):
        """Begins with the next job if none is on its way; those whose changes wait to be written go
        first.
        """
        if self.layout_change is not None or not self.format_raised or self.incarnation is None:
            return
        urgent = {wire.job_id_of(key) for key in self.dirty}
        busy = {wire.job_id_of(key) for key in self.flight or ()}
        own = [
            job
            for job in self.jobs.values()
            if job.id not in busy and self.needs_relayout(job) and self.mine(job)
        ]
        if not own:
            return
        job = max(own, key=lambda job: (job.id in urgent, job.binding_count(), job.id))
        self.layout_changes += 1
        self.layout_change = LayoutChange(job.id, f"{self.incarnation}-{self.layout_changes}")
        keys = [wire.key_of_chunk(job, number) for number in {0, *job.chunks}]
        tell(self.store.on_read_replica, keys, callback(self.on_layout_looked, self.layout_change))

    def on_layout_looked(self, change, found):
        """Falls back to what is committed and works out the new parts."""
        job = self.jobs.get(change.job_id)
        if job is None or not self.mine(job) or found.get(wire.job_key(job.id)) is None:
            self.end_layout_change()
            return
        for part in job.chunks.values():
            part.mod_revision = -1
        self.forget_wishes(found)
        size = job.fitting_chunk_size
        parts = rechunk(job, size)
        laid_out = Job(job.stored_spec, size, job.cancelled, change.generation)
        laid_out.chunks = {0: parts.pop(0, Chunk())}
        change.mod_revision, change.record = job.mod_revision, wire.job_record(laid_out)
        change.chunks = [
            (wire.chunk_key(job.id, number, change.generation), wire.chunk_record(part))
            for number, part in sorted(parts.items())
        ]
        self.write_layout(change)

    def write_layout(self, change):
        """Writes the next of the new parts, or switches to them when all are there."""
        job = self.jobs.get(change.job_id)
        if job is None or not self.mine(job) or job.mod_revision != change.mod_revision:
            self.end_layout_change()
            return
        if not change.chunks:
            self.switch_layout(job, change)
            return
        some = change.chunks[: self.most_writes]
        conditions = [self.epoch_of(job.stored_spec), *((LIVE_PREFIX + key, 0) for key, _ in some)]
        writes = [state_wire.put(LIVE_PREFIX + key, value) for key, value in some]
        tell(
            self.store.on_commit,
            DECISIONS,
            conditions,
            writes,
            callback(self.on_layout_written, change, len(some)),
        )

    def on_layout_written(self, change, count, status, revision, failed):
        if status == 200:
            del change.chunks[:count]
            self.write_layout(change)
        elif status in NOT_EXECUTED:
            tell_after(self.settings.agent_heartbeat_s / 8, self.on_write_layout_again, change)
        else:
            # Perhaps carried out later; the next try uses keys of its own, and what is left over is
            # removed.
            self.refused_layout(change, status, failed)
            self.end_layout_change()

    def on_write_layout_again(self, change):
        self.write_layout(change)

    def switch_layout(self, job, change):
        """The switch is a commit like any other: nothing else is written until its outcome is
        known.
        """
        if self.flight is not None:
            tell_after(self.settings.agent_heartbeat_s / 40, self.on_write_layout_again, change)
            return
        key, (epoch, mod_revision) = wire.job_key(job.id), self.epoch_of(job.stored_spec)
        self.flight = {key: job.chunk_of(0)}
        self.flight_shards = {shard_of(job.stored_spec, self.settings.teams, self.shards)}
        self.deferred = {key: []}
        tell(
            self.store.on_commit,
            DECISIONS,
            [(epoch, mod_revision), (LIVE_PREFIX + key, change.mod_revision)],
            [state_wire.put(LIVE_PREFIX + key, change.record)],
            callback(self.on_layout_switched, change),
        )

    def on_layout_switched(self, change, status, revision, failed):
        if status in NOT_EXECUTED:
            self.flight = None
            self.absorb_deferred(-1)
            tell_after(self.settings.agent_heartbeat_s / 8, self.on_write_layout_again, change)
            return
        if status == 200:
            log.info(
                "%s is laid out anew, in parts of %d tasks",
                change.job_id,
                wire.read_chunk_size(change.record),
            )
        else:
            self.refused_layout(change, status, failed)
        self.layout_change = None
        if status in (200, 400, 409):
            tell(self.store.on_sync, callback(self.on_resync))
        else:
            self.on_fence_flight()

    @staticmethod
    def refused_layout(change, status, failed):
        level = logging.ERROR if status == 400 else logging.INFO
        log.log(
            level,
            "laying %s out anew got %s (%s); it is tried again",
            change.job_id,
            status_text(status),
            failed,
        )

    def end_layout_change(self):
        self.layout_change = None
