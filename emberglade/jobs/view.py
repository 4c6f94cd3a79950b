"""What the job manager's parts share: the settings, and what is known of jobs and machines."""

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


class View:
    """The view of the live and waiting jobs, own decisions included, and of the machines.

    Attributes:
        settings: The platform's settings.
        budget: How much is written to the store.
        cluster: The machines, and what is free on them.
        jobs: The live jobs.
        unattached: Chunks that no job's record names.
        graph: The waiting jobs and what they wait for.
        owners: Who decides on which jobs.
        chunk_limits: Which jobs have to be rechunked before anything is decided on them.
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
