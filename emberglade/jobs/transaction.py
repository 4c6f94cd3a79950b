"""A transaction of changed job records: how it is assembled, and its state while in flight."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..state import FINAL_PREFIX, LIVE_PREFIX, Change
from ..state import wire as state_wire
from ..state.transaction_builder import TransactionBuilder
from . import wire
from .chunk import Chunk
from .job import Job
from .wire import Outcome


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
        epochs: key -> the epoch under which its record was decided.
        deferred: key -> the key's changes received from the replica while the commit is in flight.
    """

    chunks: dict[str, Chunk]
    shards: set[int]
    epochs: dict[str, int | None] = field(default_factory=dict)
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
        chunks: key -> the Chunk that is written to it.
        shards: The shards whose epochs the transaction is conditional on.
        finished_jobs: The jobs whose final states are written.
        epochs: key -> the epoch of its shard that the transaction is conditional on.
    """

    def __init__(self, max_writes: int) -> None:
        self._builder = TransactionBuilder(max_writes)
        self.chunks: dict[str, Chunk] = {}
        self.shards: set[int] = set()
        self.finished_jobs: list[FinishedJob] = []
        self.epochs: dict[str, int | None] = {}

    @property
    def conditions(self) -> list[state_wire.Condition]:
        """The conditions of the transaction."""
        return self._builder.conditions

    @property
    def writes(self) -> list[dict[str, Any]]:
        """The changes, in the format of the store's commits."""
        return self._builder.writes

    def add_record(self, key: str, job: Job, shard: int, epoch: state_wire.Condition) -> bool:
        """Adds the write of a job's own key, or of the key of a chunk other than the first.

        Returns whether it fits; the first record always does.
        """
        chunk = chunk_at(job, key)
        own_key = wire.is_job_key(key)
        record = wire.job_record(job) if own_key else wire.chunk_record(chunk)
        writes = [state_wire.put(LIVE_PREFIX + key, record)]
        return self._add(key, chunk, shard, epoch, writes)

    def add_final_state(self, job: Job, shard: int, epoch: state_wire.Condition) -> bool:
        """Adds the end of a job: its final state is written, and its own key is removed.

        The final state is kept because users may poll or retry at any later time. Returns whether
        it fits; the first one always does.
        """
        key = wire.job_key(job.id)
        outcome = Outcome.CANCELLED if job.cancelled else Outcome.DONE
        final = wire.final_record(outcome, job.spec.tasks, job.done_count())
        writes = [
            state_wire.put(FINAL_PREFIX + wire.final_key(job.id), final),
            state_wire.remove(LIVE_PREFIX + key),
        ]
        if not self._add(key, job.chunk_of(0), shard, epoch, writes):
            return False
        self.finished_jobs.append(FinishedJob(job.id, outcome))
        return True

    def _add(
        self,
        key: str,
        chunk: Chunk,
        shard: int,
        epoch: state_wire.Condition,
        writes: list[dict[str, Any]],
    ) -> bool:
        conditions = [epoch, (LIVE_PREFIX + key, chunk.mod_revision)]
        if not self._builder.add(conditions, writes):
            return False
        self.chunks[key] = chunk
        self.shards.add(shard)
        self.epochs[key] = epoch[1]
        return True

    def in_flight(self) -> CommitInFlight:
        """The state to keep until the outcome of this transaction is known."""
        return CommitInFlight(self.chunks, self.shards, self.epochs)


def chunk_at(job: Job, key: str) -> Chunk:
    """The chunk of a job that is stored under a key."""
    if wire.is_job_key(key):
        return job.chunk_of(0)
    return job.chunks[wire.read_chunk_key(key).number]
