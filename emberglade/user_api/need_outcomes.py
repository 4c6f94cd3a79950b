"""Reads how awaited jobs ended, where the replica does not show it."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any

from ..actors import Actor, ActorPart, callback, tell
from ..jobs.dependencies import DependencyGraph
from ..jobs.record import final_key
from ..jobs.releases import read_outcome
from ..state import FINAL_PREFIX, Store
from ..state.store import DECISIONS

MAX_READS = 32  # final keys that one request may have read; a repeat of it finds them at hand


@dataclass
class NeedsRead:
    """The awaited jobs whose final keys a request has read.

    Attributes:
        unread: Those that are still being read.
        then: Called with this object once all are read.
        never_accepted: Those that were never accepted.
        failed: Whether some could not be read now.
    """

    unread: set[str]
    then: Callable[["NeedsRead"], None]
    never_accepted: list[str] = field(default_factory=list)
    failed: bool = False


class NeedOutcomes(ActorPart):
    """Reads final keys, each once at a time, and notes in the graph how the jobs ended."""

    def __init__(self, actor: Actor, store: Store, graph: DependencyGraph) -> None:
        super().__init__(actor)
        self.store = store
        self.graph = graph
        self.reads: dict[str, list[NeedsRead]] = {}  # job being read -> who waits for it

    def read(self, needs: Collection[str], then: Callable[[NeedsRead], None]) -> None:
        """Reads the final keys of jobs, or of as many as one request may read.

        `then(NeedsRead)` is called once they are read; jobs that were left out count as failed.
        """
        chosen = set(sorted(needs)[:MAX_READS])
        request = NeedsRead(set(chosen), then, failed=len(chosen) < len(needs))
        for need in chosen:
            if need in self.reads:
                self.reads[need].append(request)
                continue
            self.reads[need] = [request]
            tell(
                self.store.on_read,
                DECISIONS,
                FINAL_PREFIX + final_key(need),
                callback(self.on_need_read, need),
            )

    def on_need_read(self, need: str, status: int, data: Any, mod_revision: int | None) -> None:
        """Handles the store's answer to `read`: one final key, or that there is none."""
        outcome = read_outcome(status, data)
        if outcome is not None:
            self.graph.resolve(need, outcome)
        for request in self.reads.pop(need, ()):
            request.unread.discard(need)
            if status == 404:
                request.never_accepted.append(need)
            elif outcome is None:
                request.failed = True
            if not request.unread:
                request.then(request)
