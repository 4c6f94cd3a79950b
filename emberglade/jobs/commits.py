"""Writes the job manager's decisions: changed records are committed in batches, one at a time."""

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

from ..actors import ActorPart, callback, send, send_after
from ..state import Change
from ..state.store import DECISIONS
from ..transport import status_text
from . import wire
from .commit_settlement import CommitSettlement
from .due_records import DueRecords
from .garbage_collection import GarbageCollection
from .job import Job
from .pending_writes import WRITE_DELAY_S, PendingWrites
from .scheduling_view import SchedulingView
from .transaction import CommitInFlight, FinishedJob, chunk_at

if TYPE_CHECKING:
    from ..state import Store
    from .manager import JobManager

log = logging.getLogger("emberglade.jobs")

# Statuses with which the store refuses a commit for now, without having executed any of it.
NOT_EXECUTED = (429, 503)
TOO_MANY_REQUESTS = 429
MAX_KEYS_LOGGED = 8
NEVER_CHECKED = -1  # no version of the owners
# For how many lease durations (`lease_s`) the tasks of a record that was rejected alone are not
# placed.
INVALID_RECORD_BACKOFF_LEASES = 1


class CommitListener(Protocol):
    """The calls from `Commits` to the rest of the job manager."""

    def before_commit(self) -> None:
        """Called before a commit is assembled: decisions that are due now become part of it."""

    def apply_event(self, key: str, record: Any, mod_revision: int) -> None:
        """Applies a change of the replica."""

    def after_reset(self) -> None:
        """Called after uncommitted decisions were discarded."""

    def schedule_placement(self) -> None:
        """Schedules a placement round."""


class Commits(ActorPart):
    """Commits decisions on live jobs.

    While the outcome of such a commit is unknown, no other decision on a live job is committed.

    Attributes:
        pending: The changed records that are not written yet.
        in_flight: The commit whose outcome is unknown, or None.
    """

    def __init__(
        self,
        actor: "JobManager",
        store: "Store",
        view: SchedulingView,
        garbage: GarbageCollection,
        listener: CommitListener,
    ) -> None:
        super().__init__(actor)
        self._settings, self._store, self._budget = view.settings, store, view.budget
        self._jobs, self._owners = view.jobs, view.owners
        self._garbage, self._listener = garbage, listener
        self._flush_at = float("inf")  # when the next flush is due
        self.pending = PendingWrites(view)
        self._due_records = DueRecords(view, self.pending)
        self.in_flight: CommitInFlight | None = None
        self._owners_checked = NEVER_CHECKED  # the version of the owners in the last check
        self._settlement = CommitSettlement(actor, store, view, self.on_settled)

    # --- marking records for writing

    def mark_changed(self, job: Job, task: int, immediate: bool = True) -> None:
        """Marks a task's chunk as changed.

        With `immediate` the chunk is due at the next flush, else it waits to be batched with
        others.
        """
        self._mark(job, wire.key_of_chunk(job, task // job.chunk_size), immediate)

    def mark_if_finished(self, job: Job) -> None:
        """If a job is finished and owned, marks its key: a flush then writes its final state."""
        if job.is_finished() and self._owners.owns(job):
            self._mark(job, wire.job_key(job.id), immediate=True)

    def _mark(self, job: Job, key: str, immediate: bool) -> None:
        self._schedule_flush(self.pending.add(job, key, self.now(), immediate))

    def _schedule_flush(self, delay_s: float) -> None:
        at = self.now() + delay_s
        if self.in_flight is None and at < self._flush_at:
            self._flush_at = at
            send_after(delay_s, self.on_flush)

    def _schedule_next_flush(self) -> None:
        """Schedules a flush of the pending records, except for jobs to be rechunked first."""
        due = self._due_records.next_due()
        if due is not None:
            self._schedule_flush(max(WRITE_DELAY_S, due - self.now()))

    # --- one commit

    def on_flush(self) -> None:
        """Handles `flush`, sent to itself: commits due records, unless a commit is in flight."""
        self._flush_at = float("inf")
        self.discard_outlived()
        if self.in_flight is not None or not self.pending:
            return
        self._listener.before_commit()
        now = self.now()
        transaction = self._due_records.take(now)
        if not transaction.writes:
            self._schedule_next_flush()
            return
        self._budget.count_writes(now, len(transaction.writes))
        self.in_flight = transaction.in_flight()
        send(
            self._store.on_commit,
            DECISIONS,
            transaction.conditions,
            transaction.writes,
            callback(self.on_flushed, transaction.finished_jobs),
        )

    def on_flushed(
        self, finished_jobs: list[FinishedJob], status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to a commit, which writes final states of `finished_jobs`."""
        if status == 200 and revision is not None:
            self._apply_success(finished_jobs, revision)
        elif status in NOT_EXECUTED:
            self._retry_refused(status)
        else:
            self._log_failure(status, failed)
            if status == HTTPStatus.BAD_REQUEST:
                self._separate_invalid_record()
            self.settle(outcome_final=status in (400, 409))

    def _apply_success(self, finished_jobs: list[FinishedJob], revision: int) -> None:
        in_flight = self._take_in_flight()
        self._budget.grow()
        for chunk in in_flight.chunks.values():
            chunk.mod_revision = revision
        for finished in finished_jobs:
            self._remove_finished_job(finished)
        # The replica is updated at once, because tasks are started when it shows their bindings.
        send(self._store.on_sync, lambda revision: None)
        self._apply_deferred(in_flight, revision)
        self.discard_outlived()
        self._garbage.collect()
        self._schedule_next_flush()
        self._listener.schedule_placement()

    def _remove_finished_job(self, finished: FinishedJob) -> None:
        job = self._jobs.get(finished.job_id)
        log.info(
            "job %s is %s, %.1f s after its submission",
            finished.job_id,
            finished.outcome.name.lower(),
            self.system.wall_time() - job.spec.submitted_at if job else 0,
        )
        if job is not None:
            self._jobs.remove(finished.job_id)
            self._garbage.add_chunks_of(job)

    def _retry_refused(self, status: int) -> None:
        """Queues the records of a refused commit for a retry.

        The retry uses smaller commits if the store refused because of its write rate.
        """
        if status == TOO_MANY_REQUESTS:
            self._budget.shrink()
        in_flight = self._take_in_flight()
        self.pending.requeue(in_flight.epochs, self.now())
        self._apply_deferred(in_flight, -1)
        self._owners_checked = NEVER_CHECKED  # the requeued records may be of a former epoch
        self.discard_outlived()
        self._schedule_flush(self._settings.agent_heartbeat_s / 8)

    def _separate_invalid_record(self) -> None:
        """Makes the next commit smaller; backs off the tasks of a record that is invalid alone.

        Otherwise the records of the rejected commit are decided on at the same moment again, and
        are rejected together again and again.
        """
        self._budget.shrink()
        chunks = self._require_in_flight().chunks
        if len(chunks) > 1:
            return
        until = self.now() + INVALID_RECORD_BACKOFF_LEASES * self._settings.lease_s
        for key, chunk in chunks.items():
            job = self._jobs.get(wire.job_id_of(key))
            if job is not None:
                job.retry_at.update(dict.fromkeys(chunk.bindings, until))

    def _log_failure(self, status: int, failed: Any) -> None:
        keys = self._require_in_flight().chunks
        log.info(
            "commit of %d keys was not confirmed: %s (%s); resetting them to their committed state",
            len(keys),
            status_text(status),
            failed,
        )
        if status == 400:
            log.error(
                "the state service rejected a commit as invalid (%s); its decisions are discarded "
                "and made again; keys: %s",
                failed,
                " ".join(sorted(keys)[:MAX_KEYS_LOGGED]),
            )

    # --- commits of other parts, which write a job's own key

    def set_in_flight(self, in_flight: CommitInFlight) -> None:
        """Registers a commit of another part; decisions wait until its outcome is known."""
        self.in_flight = in_flight

    def discard_in_flight(self) -> None:
        """Drops the commit in flight, which was not executed."""
        self._apply_deferred(self._take_in_flight(), -1)
        self.discard_outlived()

    def _require_in_flight(self) -> CommitInFlight:
        assert self.in_flight is not None, "no commit is in flight"
        return self.in_flight

    def _take_in_flight(self) -> CommitInFlight:
        in_flight = self._require_in_flight()
        self.in_flight = None
        return in_flight

    def _apply_deferred(self, in_flight: CommitInFlight, revision: int) -> None:
        """Applies the changes newer than `revision` that were received during the commit."""
        for event in in_flight.events_after(revision):
            self._listener.apply_event(*event)

    def defer(self, event: Change) -> bool:
        """Defers a change of a key that the commit in flight writes; returns False for others."""
        return self.in_flight is not None and self.in_flight.defer(event)

    # --- commits that failed or whose outcome is unknown

    def settle(self, outcome_final: bool) -> None:
        """Determines the outcome of the commit in flight; resets its keys to their committed state.

        `outcome_final`: whether it is certain already that the commit either has been executed or
        never will be.
        """
        self._settlement.settle(self._require_in_flight(), outcome_final)

    def on_settled(self, found: dict[str, Any]) -> None:
        """Handles the replica's state of the commit's keys, after its outcome became final."""
        for chunk in self._take_in_flight().chunks.values():
            chunk.mod_revision = -1
        self.reset_to_committed(found)
        self.discard_outlived()
        self._listener.after_reset()
        self._schedule_next_flush()

    def discard_outlived(self) -> None:
        """Discards the decisions that were made under an epoch that is not the current one.

        Another owner may have given the same capacity and quota to other jobs. Until the records
        are reset, no decision is made, as during a commit; during one, the records are reset after
        it (docs/safety.md, 1).
        """
        if self.in_flight is not None or self._owners_checked == self._owners.version:
            return
        self._owners_checked = self._owners.version
        keys = self.pending.outlived()
        if not keys:
            return
        log.info(
            "discarding the uncommitted decisions on %d keys, which were made before their shards "
            "changed owner: %s",
            len(keys),
            " ".join(sorted(keys)[:MAX_KEYS_LOGGED]),
        )
        chunks = {key: chunk_at(self._jobs.jobs[wire.job_id_of(key)], key) for key in keys}
        self.in_flight = CommitInFlight(chunks, set())
        send(self._store.on_read_replica, keys, callback(self.on_settled))

    def reset_to_committed(self, found: dict[str, Any]) -> None:
        """Discards all uncommitted decisions on the keys in `found`.

        `found` is {key: (record, mod revision), or None if absent}, as read from the replica.
        """
        for key in found:
            self.pending.discard(key)
            if found[key] is None and wire.is_chunk_key(key):
                job_id, generation, number = wire.read_chunk_key(key)
                job = self._jobs.get(job_id)
                if job is not None and job.generation == generation:
                    self._jobs.update_chunk(job, number, {}, 0)
            else:
                self._listener.apply_event(key, *(found[key] or (None, 0)))
