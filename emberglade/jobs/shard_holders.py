"""Which controller holds which shard, and so decides on which jobs."""

from typing import TYPE_CHECKING, Any

from ..membership import NOBODY, Holder, shard_count
from ..membership import wire as membership_wire
from ..state import LIVE_PREFIX
from .job import Job, shard_of
from .job_spec import JobSpec
from .waiting_job import WaitingJob

if TYPE_CHECKING:
    from ..config import Settings


class ShardHolders:
    """The shards' holders, as the replica shows them.

    Attributes:
        incarnation: This process's, once the member has told it.
        holders: shard -> Holder.
    """

    def __init__(self, settings: "Settings") -> None:
        self._settings = settings
        self._shards = shard_count(settings)
        self.incarnation: int | None = None
        self.holders: dict[int, Holder] = {}

    def apply(self, key: str, record: dict[str, Any] | None, mod_revision: int) -> None:
        """Takes in a change of a shard's key."""
        shard = membership_wire.read_shard_key(key)
        if record is None:
            self.holders.pop(shard, None)
        else:
            self.holders[shard] = membership_wire.read_holder(record, mod_revision)

    def is_own(self, holder: Holder) -> bool:
        """Whether this process is the holder."""
        return (
            self.incarnation is not None
            and holder.node == self._settings.node
            and holder.incarnation == self.incarnation
        )

    def shard_of(self, spec: JobSpec) -> int:
        """The shard that a job belongs to."""
        return shard_of(spec, self._settings.teams, self._shards)

    def holds(self, job: Job | WaitingJob) -> bool:
        """Whether this process holds the job's shard."""
        return self.is_own(self.holders.get(self.shard_of(job.spec), NOBODY))

    def holds_first_shard(self) -> bool:
        """Whether this process is the one that removes what others left behind."""
        return self.is_own(self.holders.get(0, NOBODY))

    def own_record(self) -> membership_wire.Record:
        """The record of a shard's key that this process holds."""
        return membership_wire.holder_record(self._settings.node, self.incarnation)

    def own_among(self, shards: set[int]) -> set[tuple[int, int]]:
        """{(shard, epoch)} of those of these shards that this process holds."""
        return {
            (shard, holder.mod_revision)
            for shard, holder in self.holders.items()
            if shard in shards and self.is_own(holder)
        }

    def epoch_condition(self, spec: JobSpec) -> tuple[str, int]:
        """The condition of a write that this process still holds a job's shard.

        (full key of the shard, its mod revision), which is the shard's epoch.
        """
        shard = self.shard_of(spec)
        return full_shard_key(shard), self.holders[shard].mod_revision


def full_shard_key(shard: int) -> str:
    """The key of a shard, with its prefix."""
    return LIVE_PREFIX + membership_wire.shard_key(shard)
