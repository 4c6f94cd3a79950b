"""The user API's view of the store's live keys: committed jobs and their dependencies.

It is built from the replica and not from the job manager, whose view is ahead of the committed
state while a write is in flight.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ..fleet.wire import CATALOG_KEY
from ..jobs import wire as jobs_wire
from ..jobs.dependencies import DependencyGraph
from ..membership import FORMAT_KEY, is_raised
from ..placement import MachineType, read_machine_types
from ..state import Change


@dataclass(slots=True)
class LiveJob:
    """A live job as committed.

    Attributes:
        record: The value of the job's own key.
        mod_revision: The revision at which that key last changed.
        chunks: The job's chunks other than the first, which is part of `record`:
            (generation, number) -> value. Chunks of all generations are included.
    """

    record: dict[str, Any]
    mod_revision: int
    chunks: dict[tuple[str, int], dict[str, Any]]


class CommittedView:
    """The committed jobs, kept up to date by the store's changes.

    Attributes:
        live_jobs: job id -> LiveJob.
        graph: The waiting jobs, their dependencies, and the known outcomes of finished jobs.
        machine_types: name -> MachineType; empty until the catalog has been read.
        format_raised: Whether every controller can read the records of waiting jobs.
    """

    def __init__(self) -> None:
        self.live_jobs: dict[str, LiveJob] = {}
        self.graph = DependencyGraph()
        self.machine_types: dict[str, MachineType] = {}
        self.format_raised = False

    def apply(self, changes: Iterable[Change], is_snapshot: bool) -> None:
        """Applies changes of the replica; if `is_snapshot`, they are the complete replica."""
        if is_snapshot:
            self.live_jobs = {}
        for key, data, mod_revision in changes:
            if jobs_wire.is_job_key(key):
                self._apply_job(jobs_wire.job_id_of(key), data, mod_revision)
            elif jobs_wire.is_chunk_key(key):
                self._apply_chunk(key, data)
            elif key == CATALOG_KEY and data is not None:
                self.machine_types = read_machine_types(data)
            elif key == FORMAT_KEY:
                self.format_raised = self.format_raised or is_raised(data)
        self.graph.apply(changes, is_snapshot)

    def _apply_job(self, job_id: str, record: dict[str, Any] | None, mod_revision: int) -> None:
        if record is None:
            self.live_jobs.pop(job_id, None)
            return
        job = self.live_jobs.get(job_id)
        if job is None:
            self.live_jobs[job_id] = LiveJob(record, mod_revision, {})
        else:
            job.record = record
            job.mod_revision = mod_revision

    def _apply_chunk(self, key: str, data: dict[str, Any] | None) -> None:
        """Stores a chunk other than a job's first, for the task counts in answers to users."""
        job_id, generation, number = jobs_wire.read_chunk_key(key)
        job = self.live_jobs.get(job_id)
        if job is not None:
            job.chunks[(generation, number)] = data or {}

    def is_waiting(self, job_id: str) -> bool:
        """Whether a job waits for its dependencies."""
        return job_id in self.graph.waiting

    def is_unfinished(self, job_id: str) -> bool:
        """Whether a job is live or waiting."""
        return job_id in self.live_jobs or job_id in self.graph.waiting

    def is_known(self, job_id: str) -> bool:
        """Whether the replica or an earlier read shows that a job was accepted."""
        return self.is_unfinished(job_id) or job_id in self.graph.outcomes

    def is_service(self, job_id: str) -> bool:
        """Whether a live or waiting job is a service."""
        job = self.live_jobs.get(job_id)
        if job is not None:
            return jobs_wire.read_spec(job_id, job.record).service
        waiting = self.graph.waiting.get(job_id)
        return waiting is not None and waiting.spec.service
