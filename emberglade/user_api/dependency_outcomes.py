"""Reads from the state service the outcomes of dependencies that the replica does not show.

The final key of a job is the key that records its final state.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

from ..actors import Actor, ActorPart, callback, send
from ..jobs.dependencies import DependencyGraph
from ..jobs.wire import final_key, read_final
from ..state import FINAL_PREFIX, Store
from ..state.store import DECISIONS

# If more dependencies are requested, only this many are read, and the request is marked as failed.
# A retry requests only the dependencies whose outcomes are still unknown.
MAX_READS_PER_REQUEST = 32


@dataclass
class DependencyReadRequest:
    """One request to read the final keys of dependencies.

    Attributes:
        unread: The dependencies that are still being read.
        then: Called with this object once all are read.
        never_accepted: The dependencies that were never accepted.
        failed: Whether the outcome of at least one dependency could not be read now.
    """

    unread: set[str]
    then: Callable[["DependencyReadRequest"], None]
    never_accepted: list[str] = field(default_factory=list)
    failed: bool = False


class DependencyOutcomes(ActorPart):
    """Reads final keys and records the outcomes in the dependency graph.

    Requests for a key that is already being read wait for that read.
    """

    def __init__(self, actor: Actor, store: Store, graph: DependencyGraph) -> None:
        super().__init__(actor)
        self.store = store
        self.graph = graph
        self.reads: dict[str, list[DependencyReadRequest]] = {}  # job id -> requests for it

    def read(
        self, dependencies: Collection[str], then: Callable[[DependencyReadRequest], None]
    ) -> None:
        """Reads the final keys of jobs, up to MAX_READS_PER_REQUEST of them.

        `then(DependencyReadRequest)` is called once they are read; it is never called if
        `dependencies` is empty. The request is marked as failed if there are more jobs than the
        limit.
        """
        chosen = set(sorted(dependencies)[:MAX_READS_PER_REQUEST])
        request = DependencyReadRequest(set(chosen), then, failed=len(chosen) < len(dependencies))
        for dependency in chosen:
            if dependency in self.reads:
                self.reads[dependency].append(request)
                continue
            self.reads[dependency] = [request]
            send(
                self.store.on_read,
                DECISIONS,
                FINAL_PREFIX + final_key(dependency),
                callback(self.on_dependency_read, dependency),
            )

    def on_dependency_read(
        self, dependency: str, status: int, data: Any, mod_revision: int | None
    ) -> None:
        """Handles the store's answer to a read of one final key.

        `status` is 404 if the key does not exist.
        """
        final = read_final(status, data)
        if final is not None:
            self.graph.resolve(dependency, final.outcome)
        for request in self.reads.pop(dependency, ()):
            request.unread.discard(dependency)
            if status == 404:
                request.never_accepted.append(dependency)
            elif final is None:
                request.failed = True
            if not request.unread:
                request.then(request)
