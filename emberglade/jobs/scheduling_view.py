"""The state shared by the job manager's parts: settings, jobs and machines."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from .chunking import ChunkLimits
from .cluster_view import ClusterView
from .dependencies import DependencyGraph
from .job_table import JobTable
from .shard_owners import ShardOwners
from .unattached_chunks import UnattachedChunks
from .write_budget import WriteBudget

if TYPE_CHECKING:
    from ..config import Settings


class SchedulingView:
    """A view of the live and waiting jobs, including uncommitted decisions, and of the machines.

    Attributes:
        settings: The platform's settings.
        budget: The recent rate of writes, and the size limit of commits.
        cluster: The machines and their free capacity.
        jobs: The live jobs.
        unattached: Chunks that no job's record refers to.
        graph: The waiting jobs and their dependencies.
        owners: Which controller owns which shard.
        chunk_limits: Which jobs have to be rechunked before they may be changed.
    """

    def __init__(self, settings: "Settings", clock: Callable[[], float]) -> None:
        self.settings = settings
        self.budget = WriteBudget(settings)
        self.cluster = ClusterView(settings)
        self.jobs = JobTable(self.cluster, clock)
        self.unattached = UnattachedChunks()
        self.graph = DependencyGraph()
        self.owners = ShardOwners(settings)
        self.chunk_limits = ChunkLimits(settings.value_bytes)
