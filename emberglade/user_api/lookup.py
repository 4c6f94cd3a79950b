"""Looks up the state of live, waiting and finished jobs, as of the request or later.

Final states never change, so they may come from a cache.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from ..actors import Actor, ActorPart, callback, send
from ..config import Settings
from ..jobs import wire as jobs_wire
from ..jobs.wire import final_key
from ..state import FINAL_PREFIX, Store
from ..state.store import DECISIONS
from . import committed_jobs, wire
from .answers import NO_SUCH_JOB, STORE_UNAVAILABLE, Answer, Reply
from .committed_view import CommittedView, LiveJob
from .dependency_outcomes import DependencyOutcomes, DependencyReadRequest
from .job_state import JobState, JobStatus, LookupFailure, LookupResult

MAX_FINAL_STATES = 20_000  # in the cache; others are read from the store
# The limit of open look-ups is the number of requests that the store serves in this time.
OPEN_LOOKUPS_S = 2.0


class FinalStates:
    """A bounded cache of the states of finished jobs, which never change."""

    def __init__(self) -> None:
        self.states: OrderedDict[str, JobState] = OrderedDict()

    def __len__(self) -> int:
        return len(self.states)

    def get(self, job_id: str) -> JobState | None:
        """The final state of a job, or None if it is not in the cache."""
        return self.states.get(job_id)

    def keep(self, state: JobState) -> None:
        """Adds a final state to the cache; evicts the oldest entry if the cache is full."""
        self.states[state.job_id] = state
        if len(self.states) > MAX_FINAL_STATES:
            self.states.popitem(last=False)

    def clear(self) -> None:
        """Empties the cache; look-ups then read final states from the store again."""
        self.states.clear()


def live_state(job_id: str, job: LiveJob) -> JobState:
    """The state of a live job."""
    counts = committed_jobs.count_tasks(job.record, job.chunks)
    if jobs_wire.is_cancelled(job.record):
        status = JobStatus.CANCELLED
    elif counts.running:
        status = JobStatus.RUNNING
    else:
        status = JobStatus.PENDING
    return JobState(job_id, status, counts.done, counts.running)


class JobLookup(ActorPart):
    """Looks up job states and answers requests with them."""

    def __init__(
        self,
        actor: Actor,
        settings: Settings,
        store: Store,
        view: CommittedView,
        dependency_outcomes: DependencyOutcomes,
    ) -> None:
        super().__init__(actor)
        self.store = store
        self.view = view
        self.dependency_outcomes = dependency_outcomes
        self.final_states = FinalStates()
        # Look-ups that wait at the same time share a sync. If more were open than a few syncs can
        # serve, some would time out.
        self.open_lookups = 0
        self.max_open_lookups = int(OPEN_LOOKUPS_S * settings.state_rps)

    # --- requests

    def on_poll(self, job_id: str, reply: Reply) -> None:
        """Handles `poll(job_id, reply)` from the front server: a user asks for a job's state."""
        if wire.is_job_id(job_id):
            self.answer_poll(job_id, reply)
        else:
            NO_SUCH_JOB.send(reply)

    def answer_poll(self, job_id: str, reply: Reply) -> None:
        """Answers with a job's state, or with 404 if there is no such job."""
        self.answer(job_id, reply, NO_SUCH_JOB)

    def answer(
        self,
        job_id: str,
        reply: Reply,
        if_never_accepted: Answer,
        if_unavailable: Answer = STORE_UNAVAILABLE,
    ) -> None:
        """Answers a request with a job's state.

        Args:
            job_id: The job.
            reply: Answers the request.
            if_never_accepted: Sent if no job of that id was ever accepted.
            if_unavailable: Sent if the state can't be determined now.
        """
        self.look_up(job_id, callback(self.on_looked_up, reply, if_never_accepted, if_unavailable))

    def on_looked_up(
        self, reply: Reply, if_never_accepted: Answer, if_unavailable: Answer, result: LookupResult
    ) -> None:
        """Handles the result of the look-up that `answer` started: answers the request."""
        if isinstance(result, JobState):
            reply(200, wire.write_state(result))
        elif result is LookupFailure.NEVER_ACCEPTED:
            if_never_accepted.send(reply)
        else:
            if_unavailable.send(reply)

    # --- the look-up

    def look_up(self, job_id: str, then: Callable[[LookupResult], None]) -> None:
        """Calls `then(result)` with the job's state, no older than this call."""
        final = self.final_states.get(job_id)
        if final is not None:
            then(final)
            return
        if self.open_lookups >= self.max_open_lookups:
            # A flood of polls must not take processor time from the agents' heartbeats.
            then(LookupFailure.UNAVAILABLE)
            return
        self.open_lookups += 1
        send(self.store.on_sync, callback(self.on_lookup_synced, job_id, then))

    def on_lookup_synced(
        self, job_id: str, then: Callable[[LookupResult], None], revision: int | None
    ) -> None:
        """Handles the sync that `look_up` requested; `revision` is None if it failed."""
        self.open_lookups -= 1
        if revision is None:
            then(LookupFailure.UNAVAILABLE)
            return
        job = self.view.live_jobs.get(job_id)
        if job is not None:
            then(live_state(job_id, job))
        elif self.view.is_waiting(job_id):
            self.look_up_waiting(job_id, then)
        else:
            # Not live at the sync: finished, or never accepted. Final records are never removed.
            send(
                self.store.on_read,
                DECISIONS,
                FINAL_PREFIX + final_key(job_id),
                callback(self.on_final_state_read, job_id, then),
            )

    def on_final_state_read(
        self,
        job_id: str,
        then: Callable[[LookupResult], None],
        status: int,
        data: Any,
        mod_revision: int | None,
    ) -> None:
        """Handles the store's answer to the read of a job's final key."""
        final = committed_jobs.read_final_state(job_id, status, data)
        if final is not None:
            self.final_states.keep(final)
            then(final)
        elif status == 404:
            then(LookupFailure.NEVER_ACCEPTED)
        else:
            then(LookupFailure.UNAVAILABLE)

    # --- waiting jobs

    def look_up_waiting(self, job_id: str, then: Callable[[LookupResult], None]) -> None:
        """Looks up the state of a waiting job.

        Dependencies whose outcome the replica does not show are read first: if one of them was
        cancelled, another controller may have reported this job as cancelled already.
        """
        graph = self.view.graph
        if graph.waiting[job_id].cancelled:
            then(JobState(job_id, JobStatus.CANCELLED, 0, 0))
            return
        unresolved = graph.unresolved_dependencies_of(job_id)
        if unresolved:
            self.dependency_outcomes.read(
                unresolved, lambda request: self._handle_dependencies_read(job_id, then, request)
            )
        else:
            then(JobState(job_id, JobStatus.PENDING, 0, 0))

    def _handle_dependencies_read(
        self, job_id: str, then: Callable[[LookupResult], None], request: DependencyReadRequest
    ) -> None:
        if request.failed or request.never_accepted:
            then(LookupFailure.UNAVAILABLE)
            return
        # The job may have been released or have finished meanwhile, so it is looked up again.
        self.look_up(job_id, then)
