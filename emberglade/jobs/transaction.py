"""A transaction of changed job records: how it is assembled, and its state while in flight."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..state import FINAL_PREFIX, LIVE_PREFIX, Change
from ..state import wire as state_wire
from . import wire
from .chunk import Chunk
from .job import Job
from .wire import Outcome

Condition = tuple[str, int]  # (full key, its mod revision)

# PROTOCOL allows 64 KiB per transaction. Sizes of records are estimated, because measuring them
# would take an additional encoding.
MAX_TRANSACTION_BYTES = 40_000
RECORD_ESTIMATE_BYTES = 400
BINDING_ESTIMATE_BYTES = 48

WRITES_PER_RECORD = 1
WRITES_PER_FINISHED_JOB = 2  # the final key is written, the job's own key is removed


class FinishedJob(NamedTuple):
    """A job whose final state a transaction writes."""

    job_id: str
    outcome: Outcome


@dataclass
class CommitInFlight:
    """A commit whose outcome is not known yet.

    Attributes:
        chunks: key -> the Chunk that is written to it.
        shards: The shards whose epochs the commit is conditional on.
        deferred: key -> the key's changes received from the replica while the commit is in flight.
    """

    chunks: dict[str, Chunk]
    shards: set[int]
    deferred: dict[str, list[Change]] = field(init=False)

    def __post_init__(self) -> None:
        self.deferred = {key: [] for key in self.chunks}

    def defer(self, event: Change) -> bool:
        """Keeps a change of one of the commit's keys for later; returns False for other keys."""
        events = self.deferred.get(event[0])
        if events is None:
            return False
        events.append(event)
        return True

    def events_after(self, revision: int) -> list[Change]:
        """The deferred changes that are newer than `revision`."""
        return [
            event for events in self.deferred.values() for event in events if event[2] > revision
        ]


class Transaction:
    """Writes of several jobs' records, conditional on their shards' epochs.

    Attributes:
        conditions: full key -> the mod revision that it must have.
        writes: The changes, in the format of the store's commits.
        chunks: key -> the Chunk that is written to it.
        shards: The shards whose epochs the transaction is conditional on.
        finished_jobs: The jobs whose final states are written.
    """

    def __init__(self, max_writes: int) -> None:
        self._max_writes = max_writes
        self._bytes = 0
        self.conditions: dict[str, int] = {}
        self.writes: list[dict[str, Any]] = []
        self.chunks: dict[str, Chunk] = {}
        self.shards: set[int] = set()
        self.finished_jobs: list[FinishedJob] = []

    def has_space(self, finishes_job: bool) -> bool:
        """Whether one more record or final state fits; the first one always does."""
        more = WRITES_PER_FINISHED_JOB if finishes_job else WRITES_PER_RECORD
        return not self.writes or (
            len(self.writes) + more <= self._max_writes and self._bytes <= MAX_TRANSACTION_BYTES
        )

    def add_record(self, key: str, job: Job, shard: int, epoch: Condition) -> None:
        """Adds the write of a job's own key, or of the key of a chunk other than the first."""
        chunk = chunk_at(job, key)
        self._add_conditions(key, chunk, shard, epoch)
        own_key = wire.is_job_key(key)
        record = wire.job_record(job) if own_key else wire.chunk_record(chunk)
        self.writes.append(state_wire.put(LIVE_PREFIX + key, record))
        self._bytes += RECORD_ESTIMATE_BYTES + BINDING_ESTIMATE_BYTES * len(chunk.bindings)

    def add_final_state(self, job: Job, shard: int, epoch: Condition) -> None:
        """Adds the end of a job: its final state is written, and its own key is removed.

        The final state is kept because users may poll or retry at any later time.
        """
        key = wire.job_key(job.id)
        self._add_conditions(key, job.chunk_of(0), shard, epoch)
        outcome = Outcome.CANCELLED if job.cancelled else Outcome.DONE
        final = wire.final_record(outcome, job.spec.tasks, job.done_count())
        self.writes.append(state_wire.put(FINAL_PREFIX + wire.final_key(job.id), final))
        self.writes.append(state_wire.remove(LIVE_PREFIX + key))
        self.finished_jobs.append(FinishedJob(job.id, outcome))

    def _add_conditions(self, key: str, chunk: Chunk, shard: int, epoch: Condition) -> None:
        epoch_key, epoch_revision = epoch
        self.conditions[epoch_key] = epoch_revision
        self.conditions[LIVE_PREFIX + key] = chunk.mod_revision
        self.chunks[key] = chunk
        self.shards.add(shard)

    def in_flight(self) -> CommitInFlight:
        """The state to keep until the outcome of this transaction is known."""
        return CommitInFlight(self.chunks, self.shards)


def chunk_at(job: Job, key: str) -> Chunk:
    """The chunk of a job that is stored under a key."""
    if wire.is_job_key(key):
        return job.chunk_of(0)
    return job.chunks[wire.read_chunk_key(key).number]
