"""This controller's table of all live jobs, including its uncommitted decisions."""

from collections.abc import Callable

from . import wire
from .binding import Binding
from .cluster_view import ClusterView
from .job import Job
from .wire import binding_row  # saves an attribute look-up per bound task of a changed chunk


class JobTable:
    """The live jobs. All bindings are added and removed here, which keeps used capacity correct.

    Attributes:
        jobs: job id -> Job.
    """

    def __init__(self, cluster: ClusterView, clock: Callable[[], float]) -> None:
        self._cluster, self._clock = cluster, clock
        self.jobs: dict[str, Job] = {}

    def get(self, job_id: str) -> Job | None:
        """The live job with this id, or None."""
        return self.jobs.get(job_id)

    def bind(self, job: Job, task: int, binding: Binding) -> None:
        """Binds a task to a machine."""
        binding.since = job.last_bound_at = self._clock()
        job.chunk_of(task).bindings[task] = binding
        self._cluster.bind(job, task, binding)

    def unbind(self, job: Job, task: int) -> None:
        """Removes a task's binding."""
        binding = job.chunk_of(task).bindings.pop(task)
        self._cluster.unbind(job, task, binding)

    def remove(self, job_id: str) -> None:
        """Removes a job that is no longer live, with all its bindings."""
        job = self.jobs.pop(job_id, None)
        if job is not None:
            for task, _ in list(job.bindings()):
                self.unbind(job, task)

    def update_chunk(self, job: Job, number: int, record: wire.Record, mod_revision: int) -> None:
        """Updates a chunk to its committed record; only changed bindings are touched."""
        chunk = job.chunk_of(number * job.chunk_size)
        rows = wire.binding_rows(record)
        for task in [task for task in chunk.bindings if task not in rows]:
            self.unbind(job, task)
        for task, row in rows.items():
            binding = chunk.bindings.get(task)
            if binding is not None:
                if binding_row(binding) == row:
                    continue
                self.unbind(job, task)
            self.bind(job, task, wire.read_binding(row))
        wire.update_chunk(chunk, record, mod_revision)
