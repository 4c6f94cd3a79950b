"""Commits accepted jobs, and limits the number of submissions that are open at the same time."""

import logging
from typing import Any

from ..actors import Actor, ActorPart, callback, send
from ..config import Settings
from ..jobs import wire as jobs_wire
from ..jobs.chunking import chunk_size_for
from ..jobs.job import Job
from ..jobs.job_spec import JobSpec
from ..jobs.wire import final_key, job_key, waiting_key
from ..state import FINAL_PREFIX, LIVE_PREFIX, Store
from ..state import wire as state_wire
from ..state.store import SUBMISSIONS
from . import wire
from .answers import STORE_UNAVAILABLE, Reply, too_many_requests
from .job_state import JobState, JobStatus
from .lookup import JobLookup

log = logging.getLogger("emberglade.user_api")

# A controller has at most as many open submissions as its share of the store's write rate can
# commit in OPEN_SUBMISSIONS_S, because submissions beyond that would time out. The limit is at
# least MIN_OPEN_SUBMISSIONS.
MIN_OPEN_SUBMISSIONS = 8
OPEN_SUBMISSIONS_S = 2.0
STORE_BUSY = too_many_requests("too many requests at once")


def never_accepted_conditions(job_id: str) -> list[tuple[str, int]]:
    """Transaction conditions that hold if a job was never accepted.

    Each is (key with its prefix, 0); the mod revision 0 means that the key does not exist.
    """
    return [
        (LIVE_PREFIX + job_key(job_id), 0),
        (LIVE_PREFIX + waiting_key(job_id), 0),
        (FINAL_PREFIX + final_key(job_id), 0),
    ]


class Acceptance(ActorPart):
    """Commits accepted jobs to the store and answers their users."""

    def __init__(self, actor: Actor, settings: Settings, store: Store, lookup: JobLookup) -> None:
        super().__init__(actor)
        self.settings = settings
        self.store = store
        self.lookup = lookup
        self.open_submissions = 0
        self.max_open_submissions = max(
            MIN_OPEN_SUBMISSIONS,
            int(OPEN_SUBMISSIONS_S * settings.state_write_rps / settings.cluster_size),
        )

    @property
    def is_full(self) -> bool:
        """Whether the limit of open submissions is reached."""
        return self.open_submissions >= self.max_open_submissions

    def open(self) -> None:
        """Counts a submission as open until `close`, or until its `commit` is answered."""
        self.open_submissions += 1

    def close(self) -> None:
        """Counts a submission as no longer open."""
        self.open_submissions -= 1

    def commit(self, spec: JobSpec, reply: Reply) -> None:
        """Commits a job unless it was accepted before.

        The job has no dependencies, or all of them are done.
        """
        job = Job(spec, chunk_size_for(spec, self.settings.value_bytes))
        send(
            self.store.on_commit,
            SUBMISSIONS,
            never_accepted_conditions(spec.id),
            [state_wire.put(LIVE_PREFIX + job_key(spec.id), jobs_wire.job_record(job))],
            callback(self.on_committed, spec, reply),
        )

    def on_committed(
        self, spec: JobSpec, reply: Reply, status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to `commit`: closes the submission and answers it."""
        self.close()
        if status != 200:
            self.answer_not_committed(spec, reply, status, failed)
            return
        log.info(
            "job %s accepted: %d tasks of %g CPUs each, priority %d, team %s, deadline %s",
            spec.id,
            spec.tasks,
            spec.cpus,
            spec.priority,
            spec.team,
            "none" if spec.deadline_s is None else f"in {spec.deadline_s:g} s",
        )
        reply(201, wire.write_state(JobState(spec.id, JobStatus.PENDING)))

    def answer_not_committed(self, spec: JobSpec, reply: Reply, status: int, failed: Any) -> None:
        """Answers a submission whose commit got a status other than 200."""
        if status == 409:
            self.answer_accepted_before(spec.id, reply)
        elif status == 429:
            STORE_BUSY.send(reply)
        else:
            if status == 400:
                log.error(
                    "job %s not accepted: the state service refused its record as invalid (%s); "
                    "its user gets 503",
                    spec.id,
                    failed,
                )
            STORE_UNAVAILABLE.send(reply)

    def answer_accepted_before(self, job_id: str, reply: Reply) -> None:
        """Answers a submission with the state of its job, which was accepted before."""
        self.lookup.answer(job_id, reply, if_never_accepted=STORE_UNAVAILABLE)
