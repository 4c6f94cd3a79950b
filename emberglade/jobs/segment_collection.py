"""Removes segments of dependency lists that no waiting job refers to."""

from typing import TYPE_CHECKING

from ..actors import ActorPart, send
from ..state import LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from ..state.transaction_builder import TransactionBuilder
from . import wire
from .scheduling_view import SchedulingView

if TYPE_CHECKING:
    from ..state import Store
    from .manager import JobManager

# Lease durations (`lease_s`) after which an unused list is removed.
UNUSED_LIST_RETENTION_LEASES = 2


class SegmentCollection(ActorPart):
    """Removes the dependency lists of failed submissions and of jobs that are no longer waiting."""

    def __init__(self, actor: "JobManager", store: "Store", view: SchedulingView) -> None:
        super().__init__(actor)
        self._settings, self._store, self._budget = view.settings, store, view.budget
        self._graph, self._owners = view.graph, view.owners
        # (job id, list id) -> when the list was first seen unused
        self._unused_since: dict[tuple[str, str], float] = {}

    def sweep(self) -> None:
        """Removes the segments of one list that was unused for UNUSED_LIST_RETENTION_LEASES.

        Only the owner of the first shard does this. The first segment is removed first: the write
        that creates a waiting job is conditional on that segment, so no job can refer to a list
        that is being removed. Later sweeps retry failed removals and remove the remaining segments.
        """
        if not self._owners.owns_first_shard():
            self._unused_since = {}
            return
        now = self.now()
        self._unused_since = {
            unused: self._unused_since.get(unused, now) for unused in self._unused_lists()
        }
        for (job_id, list_id), since in self._unused_since.items():
            if now - since > UNUSED_LIST_RETENTION_LEASES * self._settings.lease_s:
                self._remove(job_id, list_id)
                return

    def _unused_lists(self) -> list[tuple[str, str]]:
        waiting = self._graph.waiting
        return [
            (job_id, list_id)
            for job_id, list_id in self._graph.segments
            if job_id not in waiting or waiting[job_id].list_id != list_id
        ]

    def _remove(self, job_id: str, list_id: str) -> None:
        """Removes as many segments of a list as one commit may hold, lowest numbers first."""
        waiting = self._graph.waiting.get(job_id)
        waiting_revision = waiting.mod_revision if waiting is not None else 0
        waiting_condition = (LIVE_PREFIX + wire.waiting_key(job_id), waiting_revision)
        transaction = TransactionBuilder(self._budget.max_writes)
        for number, (_, mod_revision) in sorted(self._graph.segments[(job_id, list_id)].items()):
            key = LIVE_PREFIX + wire.segment_key(job_id, list_id, number)
            if not transaction.add(
                [waiting_condition, (key, mod_revision)], [state_wire.remove(key)]
            ):
                break
        send(
            self._store.on_commit,
            DECISIONS,
            transaction.conditions,
            transaction.writes,
            lambda *_: None,
        )
