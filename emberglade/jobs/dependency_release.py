"""Releases waiting jobs whose dependencies are done, ends those cancelled with a dependency.

Each is one transaction, conditional on the shard's epoch and on the waiting job's own key: it
becomes a live job or gets its final state at once, and only one of the two. Applied late or twice,
it changes nothing.
"""

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from ..actors import ActorPart, callback, send, send_after
from ..state import FINAL_PREFIX, LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from . import wire
from .commits import NOT_EXECUTED
from .job import Job
from .view import View
from .waiting_job import WaitingJob, released_spec
from .wire import Outcome

if TYPE_CHECKING:
    from ..state import Store
    from .manager import JobManager

log = logging.getLogger("emberglade.jobs")

WRITES_OF_ONE = 2  # changes that a release or an end takes
MAX_READS = 16  # final keys of dependencies that are read at the same time


class DependencyRelease(ActorPart):
    """Releases and ends the waiting jobs of the shards that this controller holds."""

    def __init__(self, actor: "JobManager", store: "Store", view: View) -> None:
        super().__init__(actor)
        self._settings, self._store, self._budget = view.settings, store, view.budget
        self._graph, self._owners = view.graph, view.owners
        self._chunk_limits = view.chunk_limits
        self._busy = False  # a transaction is on its way, or its outcome not seen yet
        self._being_read: set[str] = set()  # dependencies whose final key is being read

    def advance(self) -> None:
        """Reads how dependencies ended, and releases or ends what can be, if nothing is on its way.

        Nothing before this process's incarnation is known.
        """
        if self._owners.incarnation is None:
            return
        if self._graph.unresolved:
            self._read_unresolved()
        if not self._busy and (self._graph.ready or self._graph.cancelled):
            self._commit_some()

    def _own(self, job_ids: Iterable[str]) -> list[str]:
        """Those of these waiting jobs whose shards this controller holds."""
        waiting = self._graph.waiting
        return [job_id for job_id in job_ids if self._owners.owns(waiting[job_id])]

    # --- how dependencies ended, where the replica doesn't tell

    def _read_unresolved(self) -> None:
        for needed in self._graph.unresolved - self._being_read:
            if len(self._being_read) >= MAX_READS:
                return
            if self._own(self._graph.dependents.get(needed, ())):
                self._being_read.add(needed)
                send(
                    self._store.on_read,
                    DECISIONS,
                    FINAL_PREFIX + wire.final_key(needed),
                    callback(self.on_final_read, needed),
                )

    def on_final_read(self, needed: str, status: int, record: Any, mod_revision: int) -> None:
        """Handles the store's answer to a read of a dependency's final key."""
        self._being_read.discard(needed)
        final = wire.read_final(status, record)
        if final is not None:
            self._graph.resolve(needed, final.outcome)
            self.advance()

    # --- releases and ends

    def _commit_some(self) -> None:
        """As many as one transaction takes; releases first, the most urgent of them first."""
        graph = self._graph
        ready = sorted(
            self._own(graph.ready),
            key=lambda job_id: (graph.urgency.of_waiting(job_id).priority, job_id),
        )
        limit = max(1, self._budget.max_writes // WRITES_OF_ONE)
        releases = ready[:limit]
        ends = sorted(self._own(graph.cancelled))[: limit - len(releases)]
        if not releases and not ends:
            return
        conditions, writes = set(), []
        for job_id in releases + ends:
            job = graph.waiting[job_id]
            conditions.add(self._owners.epoch_condition(job.spec))
            conditions.add((LIVE_PREFIX + wire.waiting_key(job_id), job.mod_revision))
            writes.append(self._release(job) if job_id in graph.ready else self._end(job))
            writes.append(state_wire.remove(LIVE_PREFIX + wire.waiting_key(job_id)))
        self._busy = True
        self._budget.count_writes(self.now(), len(writes))
        send(
            self._store.on_commit,
            DECISIONS,
            sorted(conditions),
            writes,
            callback(self.on_committed, releases, ends),
        )

    def _release(self, job: WaitingJob) -> dict[str, Any]:
        """The write that makes a waiting job a live one."""
        spec = released_spec(job.spec, self.system.wall_time())
        live_job = Job(spec, max(1, self._chunk_limits.chunk_size_for(spec)))
        return state_wire.put(LIVE_PREFIX + wire.job_key(spec.id), wire.job_record(live_job))

    @staticmethod
    def _end(job: WaitingJob) -> dict[str, Any]:
        """The write of the final state of a waiting job that is cancelled."""
        record = wire.final_record(Outcome.CANCELLED, job.spec.tasks, 0)
        return state_wire.put(FINAL_PREFIX + wire.final_key(job.spec.id), record)

    def on_committed(
        self,
        releases: list[str],
        ends: list[str],
        status: int,
        revision: int | None,
        failed: Any,
    ) -> None:
        """Handles the store's answer to a transaction of releases and ends (job ids)."""
        if status == 200:
            if releases:
                log.info("released, all that they need is done: %s", " ".join(releases))
            if ends:
                log.info("cancelled with a job that they need: %s", " ".join(ends))
        elif status in NOT_EXECUTED:
            send_after(self._settings.agent_heartbeat_s / 8, self.on_advance_again)
            return
        elif status == 400:
            job_ids = " ".join(releases + ends)
            log.error("the state service refuses to release %s (%s)", job_ids, failed)
            send_after(self._settings.agent_heartbeat_s, self.on_advance_again)
            return
        send(self._store.on_sync, callback(self.on_synced))

    def on_synced(self, revision: int | None) -> None:
        """Handles the sync after which the replica shows what became of a transaction."""
        if revision is None:
            send_after(self._settings.agent_heartbeat_s / 3, self.on_advance_again)
            return
        self.on_advance_again()

    def on_advance_again(self) -> None:
        """Handles `advance_again`, sent to itself: the next transaction may be tried."""
        self._busy = False
        self.advance()
