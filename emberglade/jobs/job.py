"""A live job (one that no longer waits for dependencies and is not finished) and its tasks."""

import zlib
from collections.abc import Iterator, Mapping
from dataclasses import replace
from typing import Any

from .binding import Binding
from .chunk import Chunk
from .job_spec import JobSpec
from .urgency import Urgency


class Job:
    """A live job.

    Its tasks are kept in chunks: chunk number N holds the tasks
    [N * chunk_size, (N + 1) * chunk_size). The first chunk is stored in the job's own key.

    Attributes:
        stored_spec: The description as accepted and stored.
        spec: `stored_spec`, with a higher priority or an earlier deadline if the job inherits one
            from the jobs that depend on it.
        chunk_size: Tasks per chunk.
        generation: Part of the keys of all chunks but the first; changes when the job is rechunked.
        fitting_chunk_size: Maximum number of tasks per chunk with which the records fit the store's
            limit on the size of a value; 0 if not even the description fits; None until computed.
        cancelled: Whether its user has cancelled it.
        chunks: number -> Chunk; all tasks of a missing chunk are pending and were never attempted.
        last_bound_at: When a binding of the job was last added to this controller's view, on the
            monotonic clock; not stored.
        retry_at: task -> when it may be placed again, on the monotonic clock; not stored.
        failed_machines: Machines on which a task of the job ended in error; not stored.
    """

    def __init__(
        self, spec: JobSpec, chunk_size: int, cancelled: bool = False, generation: str = ""
    ) -> None:
        self.stored_spec = spec
        self.spec = spec
        self.chunk_size = chunk_size
        self.generation = generation
        self.fitting_chunk_size: int | None = None
        self.cancelled = cancelled
        self.chunks: dict[int, Chunk] = {}
        self.last_bound_at = float("-inf")
        self.retry_at: dict[int, float] = {}
        self.failed_machines: set[str] = set()

    @property
    def id(self) -> str:
        """The job's id."""
        return self.spec.id

    def inherit_urgency(self, urgency: Urgency | None) -> None:
        """Updates `spec` with the urgency inherited from dependents; without one, resets it.

        Of the job's own and the inherited urgency, the higher priority and the earlier due time
        apply.
        """
        own = self.stored_spec
        if urgency is None:
            self.spec = own
            return
        deadline_s = urgency.due - own.submitted_at
        if own.deadline_s is not None:
            deadline_s = min(deadline_s, own.deadline_s)
        self.spec = replace(
            own,
            priority=min(own.priority, urgency.priority),
            deadline_s=deadline_s if deadline_s < float("inf") else None,
        )

    def chunk_of(self, task: int) -> Chunk:
        """The chunk of a task; it is created if missing."""
        number = task // self.chunk_size
        chunk = self.chunks.get(number)
        if chunk is None:
            chunk = self.chunks[number] = Chunk()
        return chunk

    @property
    def mod_revision(self) -> int:
        """The mod revision of the job's own key; 0 if the key was not seen yet."""
        return self.chunks[0].mod_revision if 0 in self.chunks else 0

    def bindings(self) -> Iterator[tuple[int, Binding]]:
        """(task, Binding) of all bound tasks."""
        for chunk in self.chunks.values():
            yield from chunk.bindings.items()

    def binding_count(self) -> int:
        """The number of bound tasks."""
        count = 0
        for chunk in self.chunks.values():
            count += len(chunk.bindings)
        return count

    def done_count(self) -> int:
        """The number of tasks that are done."""
        count = 0
        for chunk in self.chunks.values():
            count += len(chunk.done)
        return count

    def pending_count(self) -> int:
        """The number of tasks that are neither bound nor done."""
        count = self.spec.tasks
        for chunk in self.chunks.values():
            count -= len(chunk.done) + len(chunk.bindings)
        return count

    def has_progress(self) -> bool:
        """Whether any task is bound or done."""
        return bool(self.binding_count() or self.done_count())

    def is_done(self) -> bool:
        """Whether all tasks are done.

        A cancelled job stays cancelled even if its last tasks complete before they are stopped.
        """
        return not self.spec.service and not self.cancelled and self.done_count() == self.spec.tasks

    def is_finished(self) -> bool:
        """Whether the job is done, or cancelled with no task bound any more."""
        return self.is_done() or (self.cancelled and not self.binding_count())

    def pending_tasks(self, now: float, limit: int) -> list[int]:
        """Up to `limit` tasks that are not bound, done or backed off, in ascending order."""
        pending: list[int] = []
        for first in range(0, self.spec.tasks, self.chunk_size):
            chunk = self.chunks.get(first // self.chunk_size)
            end = min(first + self.chunk_size, self.spec.tasks)
            if chunk is not None and len(chunk.done) + len(chunk.bindings) >= end - first:
                continue
            for task in range(first, end):
                if chunk is not None and (task in chunk.bindings or task in chunk.done):
                    continue
                if self.retry_at and self.retry_at.get(task, 0) > now:
                    continue
                pending.append(task)
                if len(pending) >= limit:
                    return pending
        return pending


def shard_of(spec: JobSpec, teams: Mapping[str, Any], shards: int) -> int:
    """The shard of a job, out of `shards` shards.

    All jobs of a team with a quota belong to one shard, so that a single owner enforces the quota.
    """
    team = teams.get(spec.team)
    name = "team " + spec.team if team is not None and team.has_quota else spec.id
    return zlib.crc32(name.encode()) % shards


def task_name(job_id: str, task: int) -> str:
    """The name of a task in messages to agents and in logs."""
    return f"{job_id}/{task}"
