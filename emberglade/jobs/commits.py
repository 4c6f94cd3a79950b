"""The job manager's writes: what changed is committed together, one commit at a time."""

import logging
from typing import TYPE_CHECKING, Any, Protocol

from ..actors import ActorPart, callback, send, send_after
from ..state import Change
from ..state.store import DECISIONS
from ..transport import status_text
from . import wire
from .commit_settlement import CommitSettlement
from .garbage_collection import GarbageCollection
from .job import Job
from .pending_writes import WRITE_DELAY_S, PendingWrites
from .transaction import CommitInFlight, JobEnd, Transaction
from .view import View

if TYPE_CHECKING:
    from ..state import Store
    from .manager import JobManager

log = logging.getLogger("emberglade.jobs")

# The store refuses for now, and has carried nothing out.
NOT_EXECUTED = (429, 503)
TOO_MANY_REQUESTS = 429
MAX_KEYS_LOGGED = 8


class CommitListener(Protocol):
    """What the commits need of the rest of the job manager."""

    def before_commit(self) -> None:
        """A commit is about to be put together: what is due to be decided goes into it."""

    def apply_event(self, key: str, record: Any, mod_revision: int) -> None:
        """Takes in a change of the replica."""

    def after_reset(self) -> None:
        """Decisions that were not committed were taken back."""

    def schedule_placement(self) -> None:
        """The next round of placing is to come soon."""


class Commits(ActorPart):
    """Commits decisions. Nothing is written while the outcome of a commit is unknown.

    Attributes:
        pending: The records that changed and are not written yet.
        in_flight: The commit whose outcome is not known yet, or None.
    """

    def __init__(
        self,
        actor: "JobManager",
        store: "Store",
        view: View,
        garbage: GarbageCollection,
        listener: CommitListener,
    ) -> None:
        super().__init__(actor)
        self._settings, self._store, self._budget = view.settings, store, view.budget
        self._jobs, self._owners = view.jobs, view.owners
        self._chunk_limits = view.chunk_limits
        self._garbage, self._listener = garbage, listener
        self._flush_at = float("inf")  # when the next flush is due
        self.pending = PendingWrites(view)
        self.in_flight: CommitInFlight | None = None
        self._settlement = CommitSettlement(actor, store, view, self.on_settled)

    # --- what is to be written

    def mark_changed(self, job: Job, task: int, soon: bool = True) -> None:
        """Notes that a task's chunk has changed; `soon`: it does not wait for other changes."""
        self._mark(wire.key_of_chunk(job, task // job.chunk_size), soon)

    def mark_if_over(self, job: Job) -> None:
        """Notes an own job for its end when nothing more is to come of it."""
        if job.is_over() and self._owners.owns(job):
            self._mark(wire.job_key(job.id), soon=True)

    def _mark(self, key: str, soon: bool) -> None:
        self._flush_in(self.pending.add(key, self.now(), soon))

    def _flush_in(self, delay_s: float) -> None:
        at = self.now() + delay_s
        if self.in_flight is None and at < self._flush_at:
            self._flush_at = at
            send_after(delay_s, self.on_flush)

    def _flush_rest(self) -> None:
        """Sees to what is pending still, but for jobs that have to be rechunked first."""
        due = [due for key, due in self.pending.due.items() if not self._waits_for_rechunking(key)]
        if due:
            self._flush_in(max(WRITE_DELAY_S, min(due) - self.now()))

    def _waits_for_rechunking(self, key: str) -> bool:
        job = self._jobs.get(wire.job_id_of(key))
        return job is not None and not job.is_over() and self._chunk_limits.needs_rechunking(job)

    # --- one commit

    def on_flush(self) -> None:
        """Handles `flush`, sent to itself: commits what is due, unless a commit is in flight."""
        self._flush_at = float("inf")
        if self.in_flight is not None or not self.pending:
            return
        self._listener.before_commit()
        now = self.now()
        transaction = self._transaction_of_due(now)
        if not transaction.writes:
            self._flush_rest()
            return
        self._budget.count_writes(now, len(transaction.writes))
        self.in_flight = transaction.in_flight()
        send(
            self._store.on_commit,
            DECISIONS,
            list(transaction.conditions.items()),
            transaction.writes,
            callback(self.on_flushed, transaction.ends),
        )

    def _transaction_of_due(self, now: float) -> Transaction:
        """As many of the records that are due as one transaction takes."""
        transaction = Transaction(self._budget.max_writes)
        for key in self.pending.in_turn(now):
            job = self._jobs.get(wire.job_id_of(key))
            if job is None or not self._owners.owns(job):
                self.pending.discard(key)
                continue
            over = job.is_over()
            if not over and self._chunk_limits.needs_rechunking(job):
                continue  # its chunks may be too large to be written; it is rechunked first
            if over and wire.is_chunk_key(key):
                self.pending.discard(key)  # the end says all that is still of use
                continue
            if not transaction.has_space(over):
                break
            shard, epoch = self._owners.shard_of(job.spec), self._owners.epoch_condition(job.spec)
            if over:
                transaction.add_end(job, shard, epoch)
            else:
                transaction.add_record(key, job, shard, epoch)
            self.pending.discard(key)
        return transaction

    def on_flushed(
        self, ends: list[JobEnd], status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to a commit; `ends` are the jobs that it ends."""
        if status == 200 and revision is not None:
            self._carried_out(ends, revision)
        elif status in NOT_EXECUTED:
            self._not_executed(status)
        else:
            self._log_failure(status, failed)
            self.settle(decided=status in (400, 409))

    def _carried_out(self, ends: list[JobEnd], revision: int) -> None:
        in_flight = self._end_flight()
        self._budget.grow()
        for chunk in in_flight.chunks.values():
            chunk.mod_revision = revision
        for end in ends:
            self._end_job(end)
        # Others' starts follow from the replica; it is asked for at once.
        send(self._store.on_sync, lambda revision: None)
        self._apply_deferred(in_flight, revision)
        self._garbage.collect()
        self._flush_rest()
        self._listener.schedule_placement()

    def _end_job(self, end: JobEnd) -> None:
        job = self._jobs.get(end.job_id)
        log.info(
            "%s is %s after %.1f s",
            end.job_id,
            end.outcome.name.lower(),
            self.system.wall_time() - job.spec.submitted_at if job else 0,
        )
        if job is not None:
            self._jobs.remove(end.job_id)
            self._garbage.add_chunks_of(job)

    def _not_executed(self, status: int) -> None:
        """The same is written again a little later.

        In smaller commits if there were too many writes for the moment.
        """
        if status == TOO_MANY_REQUESTS:
            self._budget.shrink()
        in_flight = self._end_flight()
        self.pending.add_again(list(in_flight.chunks), self.now())
        self._apply_deferred(in_flight, -1)
        self._flush_in(self._settings.agent_heartbeat_s / 8)

    def _log_failure(self, status: int, failed: Any) -> None:
        keys = self._flight().chunks
        log.info(
            "a commit of %d keys got %s (%s); they are read again",
            len(keys),
            status_text(status),
            failed,
        )
        if status == 400:
            log.error(
                "the state service refuses a commit (%s); "
                "what it was to write is worked out anew: %s",
                failed,
                " ".join(sorted(keys)[:MAX_KEYS_LOGGED]),
            )

    # --- commits of others that write a job's own key: nothing else is written meanwhile

    def begin_flight(self, in_flight: CommitInFlight) -> None:
        """A commit has been sent, whose outcome is to be known before anything else is written."""
        self.in_flight = in_flight

    def abandon_flight(self) -> None:
        """The commit was not executed."""
        self._apply_deferred(self._end_flight(), -1)

    def _flight(self) -> CommitInFlight:
        assert self.in_flight is not None, "no commit is in flight"
        return self.in_flight

    def _end_flight(self) -> CommitInFlight:
        in_flight = self._flight()
        self.in_flight = None
        return in_flight

    def _apply_deferred(self, in_flight: CommitInFlight, revision: int) -> None:
        """Takes in the changes that came while the commit was in flight, if they are newer."""
        for event in in_flight.later_events(revision):
            self._listener.apply_event(*event)

    def defer(self, event: Change) -> bool:
        """Keeps a change of a key that a commit in flight writes; False if none does."""
        return self.in_flight is not None and self.in_flight.defer(event)

    # --- commits that were not carried out, or of which it is unknown

    def settle(self, decided: bool) -> None:
        """Has the view fall back to what became of the commit in flight.

        `decided`: it is known that the commit has been carried out, or never will be.
        """
        self._settlement.settle(self._flight(), decided)

    def on_settled(self, found: dict[str, Any]) -> None:
        """Handles what the replica shows of the commit's keys: that is the state from now on."""
        for chunk in self._end_flight().chunks.values():
            chunk.mod_revision = -1
        self.reset_to_committed(found)
        self._listener.after_reset()
        self._flush_rest()

    def reset_to_committed(self, found: dict[str, Any]) -> None:
        """Takes back all decisions on these keys that are not committed.

        `found` is {key: (record, mod revision), or None if it is absent}, as the replica shows it.
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
