"""Reads how awaited jobs ended, where the replica does not show it."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

from ..actors import Actor, ActorPart, callback, send
from ..jobs.dependencies import DependencyGraph
from ..jobs.wire import final_key, read_final
from ..state import FINAL_PREFIX, Store
from ..state.store import DECISIONS

MAX_READS = 32  # final keys that one request may have read; a repeat of it finds them at hand


@dataclass
class DependenciesRead:
    """The awaited jobs whose final keys a request has read.

    Attributes:
        unread: Those that are still being read.
        then: Called with this object once all are read.
        never_accepted: Those that were never accepted.
        failed: Whether some could not be read now.
    """

    unread: set[str]
    then: Callable[["DependenciesRead"], None]
    never_accepted: list[str] = field(default_factory=list)
    failed: bool = False


class DependencyOutcomes(ActorPart):
    """Reads final keys, each once at a time, and notes in the graph how the jobs ended."""

    def __init__(self, actor: Actor, store: Store, graph: DependencyGraph) -> None:
        super().__init__(actor)
        self.store = store
        self.graph = graph
        self.reads: dict[str, list[DependenciesRead]] = {}  # job being read -> who waits for it

    def read(self, dependencies: Collection[str], then: Callable[[DependenciesRead], None]) -> None:
        """Reads the final keys of jobs, or of as many as one request may read.

        `then(DependenciesRead)` is called once they are read; jobs that were left out count as
        failed.
        """
        chosen = set(sorted(dependencies)[:MAX_READS])
        request = DependenciesRead(set(chosen), then, failed=len(chosen) < len(dependencies))
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
        """Handles the store's answer to `read`: one final key, or that there is none."""
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
