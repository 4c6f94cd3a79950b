"""Submissions of jobs that depend on other jobs.

A job can only depend on jobs that were accepted before it, and the dependencies of an accepted job
never change. So there are no dependency cycles: in a cycle, the job accepted first would depend on
a job accepted later.
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
from ..state.transaction_builder import TransactionBuilder
from . import wire
from .acceptance import Acceptance, never_accepted_conditions
from .answers import Reply, refused, service_unavailable
from .committed_view import CommittedView
from .dependency_outcomes import DependencyOutcomes, DependencyReadRequest
from .job_state import JobState, JobStatus
from .lookup import JobLookup

log = logging.getLogger("emberglade.user_api")

MAX_LOGGED_DEPENDENCIES = 8
MAX_DEPENDENCIES_IN_REASON = 4
# Sent if a submission can't be decided now; the user should retry. Besides the case that its text
# names, it is sent in three others:
# - a write of segments failed;
# - this process has no incarnation yet;
# - more dependencies were unknown than one request reads (MAX_READS_PER_REQUEST).
DEPENDENCIES_UNREAD = service_unavailable(
    "the state service does not answer for all awaited jobs yet"
)


@dataclass
class DependentSubmission:
    """A submission of a job with dependencies that has not been answered yet.

    Attributes:
        spec: What the user asks for.
        dependencies: The ids of the jobs that it depends on.
        reply: Answers the submission.
        record: The waiting job's record; None until it is prepared.
        segments: (key, ids) of each segment of the dependency list that is still to be written, in
            the order of the list. They are written from the end of the list.
    """

    spec: JobSpec
    dependencies: tuple[str, ...]
    reply: Reply
    record: WaitingJobRecord | None = None
    segments: list[tuple[str, list[str]]] = field(default_factory=list)


class DependentSubmissions(ActorPart):
    """Accepts jobs with dependencies, provided that all these dependencies were accepted."""

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
        self.dependency_list_count = 0  # number of lists that this process has prepared

    def submit(self, request: wire.Submission, reply: Reply) -> None:
        """Accepts a job with dependencies, or answers why it can't be accepted.

        The caller has called `Acceptance.open`, which counts the submission towards the limit of
        open submissions. The submission is closed before it is answered.
        """
        submission = DependentSubmission(request.spec, request.dependencies, reply)
        send(self.store.on_sync, callback(self.on_dependencies_synced, submission))

    # --- checks

    def on_dependencies_synced(self, submission: DependentSubmission, revision: int | None) -> None:
        """Handles the sync that `submit` requested; `revision` is None if it failed.

        After a successful sync, the replica shows all unfinished jobs that were accepted before the
        sync was requested.
        """
        job_id = submission.spec.id
        if revision is None:
            self.answer_unavailable(submission)
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
        """Accepts the job if all its dependencies were accepted; reads the unknown ones first."""
        unread = [
            dependency
            for dependency in submission.dependencies
            if not self.view.is_known(dependency)
        ]
        if unread:
            self.dependency_outcomes.read(
                unread, lambda request: self._handle_dependencies_read(submission, request)
            )
        else:
            self._accept(submission)

    def _handle_dependencies_read(
        self, submission: DependentSubmission, request: DependencyReadRequest
    ) -> None:
        if request.never_accepted:
            shown = sorted(request.never_accepted)[:MAX_DEPENDENCIES_IN_REASON]
            self.refuse(submission, f"{' '.join(shown)} was never accepted")
        elif request.failed:
            self.answer_unavailable(submission)
        else:
            self._accept(submission)

    def answer_unavailable(self, submission: DependentSubmission) -> None:
        """Closes a submission that can't be decided now; its user is asked to retry."""
        self.acceptance.close()
        DEPENDENCIES_UNREAD.send(submission.reply)

    def refuse(self, submission: DependentSubmission, reason: str) -> None:
        """Closes a submission and refuses it for `reason`, unless its job was accepted earlier.

        If the job was accepted earlier, the answer is the job's state. If the look-up can't
        determine whether it was accepted, the user is asked to retry. A refused submission may be
        accepted later, for example once a dependency that was never accepted has been accepted.
        """
        self.acceptance.close()
        self.lookup.answer(submission.spec.id, submission.reply, if_never_accepted=refused(reason))

    # --- commits

    def _accept(self, submission: DependentSubmission) -> None:
        outcomes = self.view.graph.outcomes
        if all(outcomes.get(dependency) is Outcome.DONE for dependency in submission.dependencies):
            self.acceptance.commit(submission.spec, submission.reply)
        elif self.actor.incarnation is None:
            self.answer_unavailable(submission)
        else:
            self._prepare_records(submission)
            self.write_segments(submission, None)

    def _prepare_records(self, submission: DependentSubmission) -> None:
        """Creates the waiting job's record and the segments of its dependency list."""
        spec = submission.spec
        self.dependency_list_count += 1
        list_id = f"{self.actor.incarnation}-{self.dependency_list_count}"
        submission.record, segments = waiting_record_with_segments(
            spec, submission.dependencies, list_id, self.settings.value_bytes
        )
        submission.segments = [
            (segment_key(spec.id, list_id, number), ids) for number, ids in enumerate(segments)
        ]

    def write_segments(
        self, submission: DependentSubmission, first_mod_revision: int | None
    ) -> None:
        """Writes the next batch of segments, or the job's record if all segments are written.

        Batches are taken from the end of the list, so the last batch contains the first segment.
        `first_mod_revision` is the revision of the previous batch, or None if there was none.
        After the last batch, it is the mod revision of the first segment. The job's record is
        committed on condition that the first segment still has this mod revision.
        """
        if not submission.segments:
            self.write_waiting(submission, first_mod_revision)
            return
        transaction = TransactionBuilder(self.settings.txn_ops)
        while submission.segments:
            key, ids = submission.segments[-1]
            full_key = LIVE_PREFIX + key
            if not transaction.add([(full_key, 0)], [state_wire.put(full_key, ids)]):
                break
            submission.segments.pop()
        send(
            self.store.on_commit,
            SUBMISSIONS,
            transaction.conditions,
            transaction.writes,
            callback(self.on_segments_written, submission),
        )

    def on_segments_written(
        self, submission: DependentSubmission, status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to `write_segments`: continues, or asks the user to retry."""
        if status == 200:
            self.write_segments(submission, revision)
        else:
            self.answer_unavailable(submission)

    def write_waiting(
        self, submission: DependentSubmission, first_mod_revision: int | None
    ) -> None:
        """Commits the waiting job's record, unless the job was accepted before."""
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
        shown = " ".join(dependencies[:MAX_LOGGED_DEPENDENCIES])
        log.info("job %s accepted: has %d dependencies: %s", job_id, len(dependencies), shown)
        if any(graph.is_cancelled(dependency) for dependency in dependencies):
            submission.reply(201, wire.write_state(JobState(job_id, JobStatus.CANCELLED)))
        elif any(
            dependency in graph.unresolved or graph.unresolved_dependencies_of(dependency)
            for dependency in dependencies
        ):
            # The outcome of a direct or indirect dependency is unresolved. If that dependency was
            # cancelled, another controller may have reported this job as cancelled already.
            # Although this job was accepted just now, `answer_accepted_before` is called: it looks
            # up the job's state, and the look-up reads the unresolved outcomes first.
            self.acceptance.answer_accepted_before(job_id, submission.reply)
        else:
            submission.reply(201, wire.write_state(JobState(job_id, JobStatus.PENDING)))
