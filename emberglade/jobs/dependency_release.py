"""Releases waiting jobs whose dependencies are done; cancels those with a cancelled dependency.

In one transaction a waiting job either becomes a live job or gets its final state. The transaction
is conditional on the shard's epoch and on the waiting job's own key, so that it changes nothing if
it is executed late or twice.
"""

import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

from ..actors import ActorPart, callback, send, send_after
from ..state import FINAL_PREFIX, LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from ..state.transaction_builder import TransactionBuilder
from . import wire
from .commits import NOT_EXECUTED
from .job import Job
from .scheduling_view import SchedulingView
from .waiting_job import WaitingJob, released_spec
from .wire import Outcome

if TYPE_CHECKING:
    from ..state import Store
    from .manager import JobManager

log = logging.getLogger("emberglade.jobs")

MAX_CONCURRENT_READS = 16  # final keys of dependencies that are read at the same time


class DependencyRelease(ActorPart):
    """Releases ready and ends cancelled waiting jobs of the shards that this controller owns."""

    def __init__(self, actor: "JobManager", store: "Store", view: SchedulingView) -> None:
        super().__init__(actor)
        self._settings, self._store, self._budget = view.settings, store, view.budget
        self._graph, self._owners = view.graph, view.owners
        self._chunk_limits = view.chunk_limits
        # Whether a transaction was sent whose outcome the replica does not show yet.
        self._transaction_in_flight = False
        self._being_read: set[str] = set()  # dependencies whose final key is being read

    def advance(self) -> None:
        """Reads unknown outcomes of dependencies; releases ready jobs and finishes cancelled ones.

        At most one transaction is in flight. Does nothing until the incarnation of this process is
        known.
        """
        if self._owners.incarnation is None:
            return
        if self._graph.unresolved:
            self._read_unresolved()
        if not self._transaction_in_flight and (self._graph.ready or self._graph.cancelled):
            self._commit_batch()

    def _owned(self, job_ids: Iterable[str]) -> list[str]:
        """The waiting jobs among `job_ids` whose shards this controller owns."""
        waiting = self._graph.waiting
        return [job_id for job_id in job_ids if self._owners.owns(waiting[job_id])]

    # --- reading outcomes that the replica does not show

    def _read_unresolved(self) -> None:
        for dependency in self._graph.unresolved - self._being_read:
            if len(self._being_read) >= MAX_CONCURRENT_READS:
                return
            if self._owned(self._graph.dependents.get(dependency, ())):
                self._being_read.add(dependency)
                send(
                    self._store.on_read,
                    DECISIONS,
                    FINAL_PREFIX + wire.final_key(dependency),
                    callback(self.on_final_read, dependency),
                )

    def on_final_read(self, dependency: str, status: int, record: Any, mod_revision: int) -> None:
        """Handles the store's answer to a read of a dependency's final key."""
        self._being_read.discard(dependency)
        final = wire.read_final(status, record)
        if final is not None:
            self._graph.resolve(dependency, final.outcome)
            self.advance()

    # --- releases and cancellations

    def _commit_batch(self) -> None:
        """Commits releases by priority, then cancellations, as many as one transaction may hold."""
        graph = self._graph
        ready = sorted(
            self._owned(graph.ready),
            key=lambda job_id: (graph.urgency.of_waiting(job_id).priority, job_id),
        )
        transaction = TransactionBuilder(self._budget.max_writes)
        releases = self._add_while_fitting(transaction, ready, self._live_job_write)
        cancelled: list[str] = []
        if len(releases) == len(ready):
            cancelled = self._add_while_fitting(
                transaction, sorted(self._owned(graph.cancelled)), self._final_state_write
            )
        if not transaction.writes:
            return
        self._transaction_in_flight = True
        self._budget.count_writes(self.now(), len(transaction.writes))
        send(
            self._store.on_commit,
            DECISIONS,
            transaction.conditions,
            transaction.writes,
            callback(self.on_committed, releases, cancelled),
        )

    def _add_while_fitting(
        self,
        transaction: TransactionBuilder,
        job_ids: list[str],
        write: Callable[[WaitingJob], dict[str, Any]],
    ) -> list[str]:
        """Replaces the records of waiting jobs by `write`; returns the jobs that fitted."""
        added = []
        for job_id in job_ids:
            job = self._graph.waiting[job_id]
            key = LIVE_PREFIX + wire.waiting_key(job_id)
            conditions = [self._owners.epoch_condition(job.spec), (key, job.mod_revision)]
            if not transaction.add(conditions, [write(job), state_wire.remove(key)]):
                break
            added.append(job_id)
        return added

    def _live_job_write(self, job: WaitingJob) -> dict[str, Any]:
        """The write that makes a waiting job live."""
        spec = released_spec(job.spec, self.system.wall_time())
        live_job = Job(spec, max(1, self._chunk_limits.chunk_size_for(spec)))
        return state_wire.put(LIVE_PREFIX + wire.job_key(spec.id), wire.job_record(live_job))

    @staticmethod
    def _final_state_write(job: WaitingJob) -> dict[str, Any]:
        """The write of a cancelled waiting job's final state."""
        record = wire.final_record(Outcome.CANCELLED, job.spec.tasks, 0)
        return state_wire.put(FINAL_PREFIX + wire.final_key(job.spec.id), record)

    def on_committed(
        self,
        releases: list[str],
        cancelled: list[str],
        status: int,
        revision: int | None,
        failed: Any,
    ) -> None:
        """Handles the store's answer to a transaction that released and cancelled these job ids."""
        if status == 200:
            if releases:
                log.info("released jobs whose dependencies are all done: %s", " ".join(releases))
            if cancelled:
                log.info(
                    "cancelled waiting jobs because a dependency was cancelled: %s",
                    " ".join(cancelled),
                )
        elif status in NOT_EXECUTED:
            send_after(self._settings.agent_heartbeat_s / 8, self.on_advance_again)
            return
        elif status == 400:
            job_ids = " ".join(releases + cancelled)
            log.error(
                "the state service rejected the release or cancellation of waiting jobs %s as "
                "invalid (%s); retrying",
                job_ids,
                failed,
            )
            send_after(self._settings.agent_heartbeat_s, self.on_advance_again)
            return
        send(self._store.on_sync, callback(self.on_synced))

    def on_synced(self, revision: int | None) -> None:
        """Handles the sync's answer; after a success, the replica shows the outcome."""
        if revision is None:
            send_after(self._settings.agent_heartbeat_s / 3, self.on_advance_again)
            return
        self.on_advance_again()

    def on_advance_again(self) -> None:
        """Handles `advance_again`, sent to itself: the next transaction may be sent."""
        self._transaction_in_flight = False
        self.advance()
