"""Submissions that await other jobs.

A job may only wait for jobs that were accepted before it, and what an accepted job waits for never
changes. So no cycle can be accepted: of its jobs, one would have been accepted first.
"""

import logging
from dataclasses import dataclass, field
from typing import Any

from ..actors import ActorPart, callback, send
from ..config import Settings
from ..jobs import wire as jobs_wire
from ..jobs.chunking import waiting_record_with_segments
from ..jobs.job_spec import JobSpec
from ..jobs.waiting_job import WaitingJobRecord
from ..jobs.wire import Outcome, segment_key, waiting_key
from ..state import LIVE_PREFIX, ReplicaSubscriber, Store
from ..state import wire as state_wire
from ..state.store import SUBMISSIONS
from . import wire
from .acceptance import Acceptance, never_accepted_conditions
from .answers import Reply, refused, try_later
from .committed_view import CommittedView
from .dependency_outcomes import DependenciesRead, DependencyOutcomes
from .job_state import JobState, JobStatus
from .lookup import JobLookup

log = logging.getLogger("emberglade.user_api")

TRANSACTION_BYTES = 40 * 1024  # of the segments in one transaction; PROTOCOL allows 64 KiB in all
MAX_LOGGED_DEPENDENCIES = 8
MAX_DEPENDENCIES_IN_REASON = 4
DEPENDENCIES_UNREAD = try_later("the state service does not answer for all awaited jobs yet")


@dataclass
class DependentSubmission:
    """A submission that awaits other jobs, until it is answered.

    Attributes:
        spec: What the user asks for.
        dependencies: The awaited jobs.
        reply: Answers the submission.
        record: The waiting job's record, once its list of dependencies is laid out.
        segments: (key, ids) of the list of dependencies, to be written from the last to the first.
    """

    spec: JobSpec
    dependencies: tuple[str, ...]
    reply: Reply
    record: WaitingJobRecord | None = None
    segments: list[tuple[str, list[str]]] = field(default_factory=list)


class DependentSubmissions(ActorPart):
    """Accepts jobs that await others, if these were accepted."""

    actor: ReplicaSubscriber

    def __init__(
        self,
        actor: ReplicaSubscriber,
        settings: Settings,
        store: Store,
        view: CommittedView,
        lookup: JobLookup,
        dependency_outcomes: DependencyOutcomes,
        acceptance: Acceptance,
    ) -> None:
        super().__init__(actor)
        self.settings = settings
        self.store = store
        self.view = view
        self.lookup = lookup
        self.dependency_outcomes = dependency_outcomes
        self.acceptance = acceptance
        self.list_count = 0  # lists of dependencies that this process has laid out

    def submit(self, request: wire.Submission, reply: Reply) -> None:
        """Accepts a job that awaits others; the submission counts as open already."""
        submission = DependentSubmission(request.spec, request.dependencies, reply)
        send(self.store.on_sync, callback(self.on_dependencies_synced, submission))

    # --- checks

    def on_dependencies_synced(self, submission: DependentSubmission, revision: int | None) -> None:
        """Handles the sync of `submit`: the replica now shows what was accepted before."""
        job_id = submission.spec.id
        if revision is None:
            self.put_off(submission)
        elif self.view.is_unfinished(job_id):
            self.acceptance.close()
            self.acceptance.answer_accepted_before(job_id, submission.reply)
        elif job_id in submission.dependencies:
            self.refuse(submission, f"{job_id} can't await itself")
        elif any(self.view.is_service(dependency) for dependency in submission.dependencies):
            self.refuse(submission, "a service can't be awaited")
        else:
            self._read_dependencies(submission)

    def _read_dependencies(self, submission: DependentSubmission) -> None:
        """Accepts the job, once it is known that all its dependencies were accepted."""
        unread = [
            dependency
            for dependency in submission.dependencies
            if not self.view.is_known(dependency)
        ]
        if unread:
            self.dependency_outcomes.read(
                unread, lambda read: self._dependencies_read(submission, read)
            )
        else:
            self._accept(submission)

    def _dependencies_read(self, submission: DependentSubmission, read: DependenciesRead) -> None:
        if read.never_accepted:
            named = sorted(read.never_accepted)[:MAX_DEPENDENCIES_IN_REASON]
            self.refuse(submission, f"{' '.join(named)} was never accepted")
        elif read.failed:
            self.put_off(submission)
        else:
            self._accept(submission)

    def put_off(self, submission: DependentSubmission) -> None:
        """Ends a submission that can't be decided on now."""
        self.acceptance.close()
        DEPENDENCIES_UNREAD.send(submission.reply)

    def refuse(self, submission: DependentSubmission, reason: str) -> None:
        """Ends a submission that can never be accepted.

        A job accepted earlier is not refused now.
        """
        self.acceptance.close()
        self.lookup.answer(submission.spec.id, submission.reply, if_never_accepted=refused(reason))

    # --- commits

    def _accept(self, submission: DependentSubmission) -> None:
        outcomes = self.view.graph.outcomes
        if all(outcomes.get(dependency) is Outcome.DONE for dependency in submission.dependencies):
            self.acceptance.commit(submission.spec, submission.reply)
        elif self.actor.incarnation is None:
            self.put_off(submission)
        else:
            self._lay_out(submission)
            self.write_segments(submission, None)

    def _lay_out(self, submission: DependentSubmission) -> None:
        """Makes the waiting job's record and the segments of its list of dependencies."""
        spec = submission.spec
        self.list_count += 1
        list_id = f"{self.actor.incarnation}-{self.list_count}"
        submission.record, segments = waiting_record_with_segments(
            spec, submission.dependencies, list_id, self.settings.value_bytes
        )
        submission.segments = [
            (segment_key(spec.id, list_id, number), ids) for number, ids in enumerate(segments)
        ]

    def write_segments(
        self, submission: DependentSubmission, first_mod_revision: int | None
    ) -> None:
        """Writes what is left of the list, the first segment last, and then the job itself.

        The job's key hangs on the first segment: on `first_mod_revision`, once that is written.
        """
        if not submission.segments:
            self.write_waiting(submission, first_mod_revision)
            return
        limit = min(self.settings.txn_ops, max(1, TRANSACTION_BYTES // self.settings.value_bytes))
        chosen = submission.segments[-limit:]
        submission.segments = submission.segments[:-limit]
        send(
            self.store.on_commit,
            SUBMISSIONS,
            [(LIVE_PREFIX + key, 0) for key, _ in chosen],
            [state_wire.put(LIVE_PREFIX + key, ids) for key, ids in chosen],
            callback(self.on_segments_written, submission),
        )

    def on_segments_written(
        self, submission: DependentSubmission, status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to `write_segments`: writes the rest, or gives up."""
        if status == 200:
            self.write_segments(submission, revision)
        else:
            self.put_off(submission)

    def write_waiting(
        self, submission: DependentSubmission, first_mod_revision: int | None
    ) -> None:
        """Commits the waiting job, unless it was accepted before."""
        job_id, record = submission.spec.id, submission.record
        assert record is not None
        conditions = [*never_accepted_conditions(job_id)]
        if record.segments:
            assert first_mod_revision is not None
            first_segment = segment_key(job_id, record.list_id, 0)
            conditions.append((LIVE_PREFIX + first_segment, first_mod_revision))
        send(
            self.store.on_commit,
            SUBMISSIONS,
            conditions,
            [state_wire.put(LIVE_PREFIX + waiting_key(job_id), jobs_wire.waiting_record(record))],
            callback(self.on_waiting_committed, submission),
        )

    def on_waiting_committed(
        self, submission: DependentSubmission, status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to `write_waiting`: answers the submission."""
        self.acceptance.close()
        spec, reply = submission.spec, submission.reply
        if status == 200:
            self._answer_accepted(submission)
        else:
            self.acceptance.answer_not_committed(spec, reply, status, failed)

    def _answer_accepted(self, submission: DependentSubmission) -> None:
        job_id, dependencies, graph = submission.spec.id, submission.dependencies, self.view.graph
        named = " ".join(dependencies[:MAX_LOGGED_DEPENDENCIES])
        log.info("%s accepted: waits for %d jobs: %s", job_id, len(dependencies), named)
        if any(graph.is_cancelled(dependency) for dependency in dependencies):
            submission.reply(201, wire.write_state(JobState(job_id, JobStatus.CANCELLED)))
        elif any(
            dependency in graph.unresolved or graph.unresolved_dependencies_of(dependency)
            for dependency in dependencies
        ):
            # Another controller may have told that one of these is cancelled.
            self.acceptance.answer_accepted_before(job_id, submission.reply)
        else:
            submission.reply(201, wire.write_state(JobState(job_id, JobStatus.PENDING)))
