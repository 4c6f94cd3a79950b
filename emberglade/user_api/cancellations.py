"""Users' cancellations.

A cancellation is committed to the store. It is confirmed to the user once this controller's replica
shows it.
"""

import logging
from typing import TYPE_CHECKING, Any

from ..actors import Actor, ActorPart, callback, send
from ..jobs import wire as jobs_wire
from ..jobs.wire import Outcome, final_key, job_key, waiting_key
from ..state import FINAL_PREFIX, LIVE_PREFIX, Store
from ..state import wire as state_wire
from ..state.store import DECISIONS
from . import wire
from .answers import NO_SUCH_JOB, STORE_UNAVAILABLE, Reply
from .committed_view import CommittedView, LiveJob
from .job_state import JobState, JobStatus
from .lookup import JobLookup

if TYPE_CHECKING:
    from ..agents import AgentManager

log = logging.getLogger("emberglade.user_api")

MAX_RETRIES = 8  # of a cancellation whose commit conflicts with writes of the job's owner


class CancellationRequests(ActorPart):
    """Cancels jobs on behalf of their users; cancellation is idempotent."""

    def __init__(
        self,
        actor: Actor,
        store: Store,
        view: CommittedView,
        lookup: JobLookup,
        agents: "AgentManager",
    ) -> None:
        super().__init__(actor)
        self.store = store
        self.view = view
        self.lookup = lookup
        self.agents = agents

    def on_cancel(self, job_id: str, reply: Reply, retries: int = 0) -> None:
        """Handles `cancel(job_id, reply)` from the front server: a user cancels a job.

        `retries` is the number of earlier attempts for the same request.
        """
        final = self.lookup.final_states.get(job_id)
        if not wire.is_job_id(job_id):
            NO_SUCH_JOB.send(reply)
        elif final is not None:
            reply(200, wire.write_state(final))
        else:
            send(self.store.on_sync, callback(self.on_cancel_synced, job_id, reply, retries))

    def on_cancel_synced(
        self, job_id: str, reply: Reply, retries: int, revision: int | None
    ) -> None:
        """Handles a sync that was requested for a cancellation; `revision` is None if it failed.

        `on_cancel` requests a sync before the commit, and `on_cancel_committed` another one after
        the commit.
        """
        if revision is None:
            STORE_UNAVAILABLE.send(reply)
            return
        job = self.view.live_jobs.get(job_id)
        if job is None and self.view.is_waiting(job_id):
            self.cancel_waiting(job_id, reply, retries)
        elif job is None:
            self.lookup.answer_poll(job_id, reply)
        elif jobs_wire.is_cancelled(job.record):
            send(self.agents.on_confirm_cancellation, job_id)
            reply(200, wire.write_state(JobState(job_id, JobStatus.CANCELLED)))
        else:
            self.cancel_live(job_id, job, reply, retries)

    def cancel_live(self, job_id: str, job: LiveJob, reply: Reply, retries: int) -> None:
        """Commits the cancellation of a live job; its owner then stops its tasks."""
        key = LIVE_PREFIX + job_key(job_id)
        send(
            self.store.on_commit,
            DECISIONS,
            [(key, job.mod_revision)],
            [state_wire.put(key, jobs_wire.cancelled_record(job.record))],
            callback(self.on_cancel_committed, job_id, reply, retries),
        )

    def cancel_waiting(self, job_id: str, reply: Reply, retries: int) -> None:
        """Commits the cancellation of a waiting job.

        None of its tasks has been placed, so its final record is written at once.
        """
        waiting = self.view.graph.waiting[job_id]
        key = LIVE_PREFIX + waiting_key(job_id)
        final_record = jobs_wire.final_record(Outcome.CANCELLED, waiting.spec.tasks, done=0)
        send(
            self.store.on_commit,
            DECISIONS,
            [(key, waiting.mod_revision)],
            [
                state_wire.put(FINAL_PREFIX + final_key(job_id), final_record),
                state_wire.remove(key),
            ],
            callback(self.on_cancel_committed, job_id, reply, retries),
        )

    def on_cancel_committed(
        self,
        job_id: str,
        reply: Reply,
        retries: int,
        status: int,
        revision: int | None,
        failed: Any,
    ) -> None:
        """Handles the store's answer to the commit of a cancellation."""
        if status == 200:
            log.info("job %s cancelled by its user", job_id)
            # The cancellation is confirmed only once this controller's replica shows it, for two
            # reasons:
            # - A peer whose replica is at least as new as this replica assumes that it knows of all
            #   cancellations confirmed here. This replica must therefore show each of them.
            # - `on_confirm_cancellation` stops the job's tasks by commands ("halts") to their
            #   machines. It finds the cancellation and the machines in this replica.
            send(self.store.on_sync, callback(self.on_cancel_synced, job_id, reply, retries))
        elif status == 409 and retries < MAX_RETRIES:
            # The job's record changed between the sync and the commit, for example because the
            # job's owner wrote it.
            self.on_cancel(job_id, reply, retries + 1)
        else:
            STORE_UNAVAILABLE.send(reply)
