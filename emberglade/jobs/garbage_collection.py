"""Removes chunks of job records that nobody needs any more."""

from typing import TYPE_CHECKING, Any

from ..actors import ActorPart, callback, send
from ..state import LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from . import wire
from .job import Job
from .view import View

if TYPE_CHECKING:
    from ..state import Store
    from .manager import JobManager

ORPHANED_LEASES = 2  # agent leases after which a chunk without a job is taken for left behind


class GarbageCollection(ActorPart):
    """Removes chunks of jobs that are over, and of generations that were replaced."""

    def __init__(self, actor: "JobManager", store: "Store", view: View) -> None:
        super().__init__(actor)
        self._settings, self._store, self._budget = view.settings, store, view.budget
        self._jobs, self._owners = view.jobs, view.owners
        self._unattached = view.unattached
        self._garbage: dict[str, int] = {}  # key of a chunk to be removed -> its mod revision
        self._orphaned_since: dict[str, float] = {}  # job -> when chunks without it were seen

    def add_chunks_of(self, job: Job) -> None:
        """The further chunks of a job that has ended are to be removed."""
        self._garbage.update(
            (wire.key_of_chunk(job, number), chunk.mod_revision)
            for number, chunk in job.chunks.items()
            if number
        )

    def discard(self, key: str) -> None:
        """Forgets a chunk that has been removed."""
        self._garbage.pop(key, None)

    def collect(self) -> None:
        """Removes chunks that nobody needs any more, as many as one commit may write."""
        keys = list(self._garbage)[: self._budget.max_writes]
        taken = {key: self._garbage.pop(key) for key in keys}
        unused = {key: revision for key, revision in taken.items() if self._is_unused(key)}
        if not unused:
            return
        owners = {self._unused_condition(wire.job_id_of(key)) for key in unused}
        conditions = [(LIVE_PREFIX + key, revision) for key, revision in unused.items()]
        send(
            self._store.on_commit,
            DECISIONS,
            conditions + sorted(owners),
            [state_wire.remove(LIVE_PREFIX + key) for key in unused],
            callback(self.on_collected, unused),
        )

    def on_collected(
        self, unused: dict[str, int], status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to a removal; `unused` are the keys and mod revisions."""
        if status not in (200, 409):
            self._garbage.update(unused)

    def _is_unused(self, key: str) -> bool:
        """Whether a chunk belongs to no live job, or to another generation than an own one's."""
        chunk = wire.read_chunk_key(key)
        job = self._jobs.get(chunk.job_id)
        return job is None or (self._owners.owns(job) and chunk.generation != job.generation)

    def _unused_condition(self, job_id: str) -> tuple[str, int]:
        """What a removal of a job's chunks hangs on.

        A live job's own key is always there, so without it nobody needs its chunks. Those of
        another generation are needed by nobody but the owner, who alone may rechunk the job.
        """
        job = self._jobs.get(job_id)
        if job is None:
            return LIVE_PREFIX + wire.job_key(job_id), 0
        return self._owners.epoch_condition(job.stored_spec)

    def sweep_generations(self, rechunked_job_id: str | None) -> None:
        """Finds chunks of other generations than their job's: its owner removes them.

        Not those of `rechunked_job_id`, whose new chunks are being written just now.
        """
        for job_id in self._unattached.of_jobs:
            job = self._jobs.get(job_id)
            if job is not None and self._owners.owns(job) and job_id != rechunked_job_id:
                self._garbage.update(self._unattached.keys_of(job_id))

    def sweep_orphans(self) -> None:
        """Finds chunks that a crash left behind.

        One controller removes those that had no job for long.
        """
        if not self._owners.owns_first_shard():
            return
        now = self.now()
        self._orphaned_since = {
            job_id: self._orphaned_since.get(job_id, now)
            for job_id in self._unattached.of_jobs
            if self._jobs.get(job_id) is None
        }
        for job_id, since in self._orphaned_since.items():
            if now - since > ORPHANED_LEASES * self._settings.lease_s:
                self._garbage.update(self._unattached.keys_of(job_id))
