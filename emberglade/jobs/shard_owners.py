"""Which controller owns which shard and decides on the jobs of that shard."""

from typing import TYPE_CHECKING, Any

from ..membership import NO_OWNER, Owner, shard_count
from ..membership import wire as membership_wire
from ..state import LIVE_PREFIX
from .job import Job, shard_of
from .job_spec import JobSpec
from .waiting_job import WaitingJob

if TYPE_CHECKING:
    from ..config import Settings


class ShardOwners:
    """The shards' owners according to the replica.

    Attributes:
        incarnation: This process's incarnation; None until the membership actor has sent it.
        owners: shard -> Owner.
        version: Counts the changes of owners, epochs and of this process's incarnation.
    """

    def __init__(self, settings: "Settings") -> None:
        self._settings = settings
        self._shards = shard_count(settings)
        self.incarnation: int | None = None
        self.owners: dict[int, Owner] = {}
        self.version = 0

    def set_incarnation(self, incarnation: int) -> None:
        """Sets this process's incarnation."""
        self.incarnation = incarnation
        self.version += 1

    def apply(self, key: str, record: dict[str, Any] | None, mod_revision: int) -> None:
        """Applies a change of a shard's key."""
        shard = membership_wire.read_shard_key(key)
        self.version += 1
        if record is None:
            self.owners.pop(shard, None)
        else:
            self.owners[shard] = membership_wire.read_owner(record, mod_revision)

    def is_own(self, owner: Owner) -> bool:
        """Whether `owner` is this process."""
        return (
            self.incarnation is not None
            and owner.node == self._settings.node
            and owner.incarnation == self.incarnation
        )

    def shard_of(self, spec: JobSpec) -> int:
        """The shard that a job belongs to."""
        return shard_of(spec, self._settings.teams, self._shards)

    def owns(self, job: Job | WaitingJob) -> bool:
        """Whether this process owns the job's shard."""
        return self.is_own(self.owners.get(self.shard_of(job.spec), NO_OWNER))

    def own_epoch(self, spec: JobSpec) -> int | None:
        """The epoch of a job's shard if this process owns it, else None."""
        owner = self.owners.get(self.shard_of(spec), NO_OWNER)
        return owner.mod_revision if self.is_own(owner) else None

    def owns_first_shard(self) -> bool:
        """Whether this process owns the first shard; that owner removes orphaned records."""
        return self.is_own(self.owners.get(0, NO_OWNER))

    def own_record(self) -> membership_wire.Record:
        """The record that this process writes to the keys of the shards that it owns."""
        return membership_wire.owner_record(self._settings.node, self.incarnation)

    def owned_among(self, shards: set[int]) -> set[tuple[int, int]]:
        """{(shard, epoch)} of the shards in `shards` that this process owns."""
        return {
            (shard, owner.mod_revision)
            for shard, owner in self.owners.items()
            if shard in shards and self.is_own(owner)
        }

    def epoch_condition(self, spec: JobSpec) -> tuple[str, int]:
        """The condition that makes a write fail unless this process still owns a job's shard.

        It is (full key of the shard, its mod revision); the mod revision is the shard's epoch.
        """
        shard = self.shard_of(spec)
        return full_shard_key(shard), self.owners[shard].mod_revision


def full_shard_key(shard: int) -> str:
    """The key of a shard, with its prefix."""
    return LIVE_PREFIX + membership_wire.shard_key(shard)
