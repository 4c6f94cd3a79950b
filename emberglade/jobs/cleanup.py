"""Removes parts of job records that nobody needs any more."""

import logging

from ..actors import callback, tell
from ..state import LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from . import wire

log = logging.getLogger("emberglade.jobs")


class Cleanup:
    """The part of the job manager that clears up behind ended jobs and old layouts."""

    def __init__(self):
        self.remains = {}  # parts that are to be removed: {key: stamp}
        self.loose_since = {}  # job -> since when parts without it were seen

    def drop_remains(self):
        """Removes parts that nobody needs any more, a few at a time."""
        some = {key: self.remains.pop(key) for key in list(self.remains)[: self.most_writes]}
        some = {
            key: mod_revision
            for key, mod_revision in some.items()
            if self.is_unused(wire.read_chunk_key(key))
        }
        if some:
            owners = {self.parts_unused_condition(wire.job_id_of(key)) for key in some}
            tell(
                self.store.on_commit,
                DECISIONS,
                [(LIVE_PREFIX + key, mod_revision) for key, mod_revision in some.items()]
                + sorted(owners),
                [state_wire.remove(LIVE_PREFIX + key) for key in some],
                callback(self.on_remains_dropped, some),
            )

    def is_unused(self, key):
        """Whether a part belongs to no live job, or to another layout than that of an own one."""
        job = self.jobs.get(key.job_id)
        return job is None or (self.mine(job) and key.generation != job.generation)

    def parts_unused_condition(self, job_id):
        """What a removal of a job's parts hangs on.

        A live job's own key is always there, so without it nobody needs its parts. Those of another
        layout are needed by nobody but the holder, who alone may change the layout.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return LIVE_PREFIX + wire.job_key(job_id), 0
        return self.epoch_of(job.stored_spec)

    def on_remains_dropped(self, some, status, revision, failed):
        if status not in (200, 409):
            self.remains.update(some)

    def sweep_layouts(self):
        """Parts of other layouts than a job's own: its holder removes them, unless it is writing
        them just now.
        """
        for job_id, loose in self.loose_parts.items():
            job = self.jobs.get(job_id)
            if job is not None and self.mine(job) and not self.is_laid_out_anew(job_id):
                self.remains.update(
                    (wire.chunk_key(job_id, number, generation), mod_revision)
                    for (generation, number), (_, mod_revision) in loose.items()
                )

    def sweep(self):
        """Parts that a crash left behind: one node removes those that had no job for long."""
        if not self.holds_first_shard():
            return
        now = self.now()
        self.loose_since = {
            job_id: self.loose_since.get(job_id, now)
            for job_id in self.loose_parts
            if job_id not in self.jobs
        }
        for job_id, since in self.loose_since.items():
            if now - since > 2 * self.settings.lease_s:
                self.remains.update(
                    (wire.chunk_key(job_id, number, generation), mod_revision)
                    for (generation, number), (_, mod_revision) in self.loose_parts[job_id].items()
                )
