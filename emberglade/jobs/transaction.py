"""One transaction of changed job records, as it is put together, and while it is on its way."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..state import FINAL_PREFIX, LIVE_PREFIX, Change
from ..state import wire as state_wire
from . import wire
from .chunk import Chunk
from .job import Job
from .wire import Outcome

Condition = tuple[str, int]  # (full key, its mod revision)

# PROTOCOL allows 64 KiB a transaction; what a record adds is estimated, so that it need not be
# encoded to be counted.
MAX_TRANSACTION_BYTES = 40_000
RECORD_ESTIMATE_BYTES = 400
BINDING_ESTIMATE_BYTES = 48

WRITES_OF_RECORD = 1
WRITES_OF_END = 2  # the final key, and the job's own, which is removed


class JobEnd(NamedTuple):
    """A job that a transaction ends."""

    job_id: str
    outcome: Outcome


@dataclass
class CommitInFlight:
    """A commit whose outcome is not known yet.

    Attributes:
        chunks: key -> the Chunk that it writes.
        shards: The shards whose epochs it hangs on.
        deferred: Changes of its keys in the replica that came meanwhile, by key.
    """

    chunks: dict[str, Chunk]
    shards: set[int]
    deferred: dict[str, list[Change]] = field(init=False)

    def __post_init__(self) -> None:
        self.deferred = {key: [] for key in self.chunks}

    def defer(self, event: Change) -> bool:
        """Keeps a change of one of its keys for later; False if the key is not its own."""
        events = self.deferred.get(event[0])
        if events is None:
            return False
        events.append(event)
        return True

    def later_events(self, revision: int) -> list[Change]:
        """The deferred changes that are newer than this revision."""
        return [
            event for events in self.deferred.values() for event in events if event[2] > revision
        ]


class Transaction:
    """Writes of several jobs' records, conditional on their shards' epochs.

    Attributes:
        conditions: full key -> the mod revision that it must have.
        writes: The changes, as the store takes them.
        chunks: key -> the Chunk that it writes.
        shards: The shards whose epochs it hangs on.
        ends: The jobs that it ends.
    """

    def __init__(self, max_writes: int) -> None:
        self._max_writes = max_writes
        self._bytes = 0
        self.conditions: dict[str, int] = {}
        self.writes: list[dict[str, Any]] = []
        self.chunks: dict[str, Chunk] = {}
        self.shards: set[int] = set()
        self.ends: list[JobEnd] = []

    def has_space(self, ends_job: bool) -> bool:
        """Whether one more record, or one more end, may be written; the first one always may."""
        more = WRITES_OF_END if ends_job else WRITES_OF_RECORD
        return not self.writes or (
            len(self.writes) + more <= self._max_writes and self._bytes <= MAX_TRANSACTION_BYTES
        )

    def add_record(self, key: str, job: Job, shard: int, epoch: Condition) -> None:
        """Writes the record of a job's own key or of a further chunk of it."""
        chunk = chunk_at(job, key)
        self._add_conditions(key, chunk, shard, epoch)
        own_key = wire.is_job_key(key)
        record = wire.job_record(job) if own_key else wire.chunk_record(chunk)
        self.writes.append(state_wire.put(LIVE_PREFIX + key, record))
        self._bytes += RECORD_ESTIMATE_BYTES + BINDING_ESTIMATE_BYTES * len(chunk.bindings)

    def add_end(self, job: Job, shard: int, epoch: Condition) -> None:
        """Ends a job: its final state is written, and its own key is removed.

        The final state outlives the job: polls and retries may come at any time.
        """
        key = wire.job_key(job.id)
        self._add_conditions(key, job.chunk_of(0), shard, epoch)
        outcome = Outcome.CANCELLED if job.cancelled else Outcome.DONE
        final = wire.final_record(outcome, job.spec.tasks, job.done_count())
        self.writes.append(state_wire.put(FINAL_PREFIX + wire.final_key(job.id), final))
        self.writes.append(state_wire.remove(LIVE_PREFIX + key))
        self.ends.append(JobEnd(job.id, outcome))

    def _add_conditions(self, key: str, chunk: Chunk, shard: int, epoch: Condition) -> None:
        epoch_key, epoch_revision = epoch
        self.conditions[epoch_key] = epoch_revision
        self.conditions[LIVE_PREFIX + key] = chunk.mod_revision
        self.chunks[key] = chunk
        self.shards.add(shard)

    def in_flight(self) -> CommitInFlight:
        """What is to be known of it while its outcome is not."""
        return CommitInFlight(self.chunks, self.shards)


def chunk_at(job: Job, key: str) -> Chunk:
    """The chunk of a job that a key holds."""
    if wire.is_job_key(key):
        return job.chunk_of(0)
    return job.chunks[wire.read_chunk_key(key).number]
