"""Checks submissions and decides what becomes of them: accepted, refused, or to be sent again."""

from ..actors import Actor, ActorPart
from ..config import Settings
from ..jobs.chunking import chunk_size_for
from ..jobs.job_spec import JobSpec
from ..placement import fits_some_type
from . import wire
from .acceptance import Acceptance
from .answers import Answer, Reply, malformed, refused, too_many, try_later
from .committed_view import CommittedView
from .dependent_submissions import DependentSubmissions
from .lookup import JobLookup

QUOTA_TOLERANCE = 1e-9  # sums of floating-point numbers are off by less

CATALOG_UNKNOWN = try_later("the machine types are not known yet")
MEMORY_SHORT = try_later("this controller is short of memory")
TOO_MANY_SUBMISSIONS = too_many("too many submissions at once")
FORMAT_NOT_RAISED = try_later("not all controllers run the version yet that lets jobs await others")


class Submissions(ActorPart):
    """Takes submissions; one that is repeated gets its job's state."""

    def __init__(
        self,
        actor: Actor,
        settings: Settings,
        view: CommittedView,
        lookup: JobLookup,
        acceptance: Acceptance,
        dependent_submissions: DependentSubmissions,
    ) -> None:
        super().__init__(actor)
        self.settings = settings
        self.view = view
        self.lookup = lookup
        self.acceptance = acceptance
        self.dependent_submissions = dependent_submissions
        self.memory_short = False  # while it is, no job is accepted here

    def on_submit(self, body: bytes, reply: Reply) -> None:
        """Handles `submit(body, reply)` from the front server: a user submits a job."""
        data = None
        try:
            data = wire.read_json(body)
            submission = wire.read_submission(data, self.system.wall_time())
            self._check_size(submission.spec)
        except wire.MalformedSubmissionError as error:
            self._answer_malformed(data, malformed(str(error)), reply)
            return
        self._submit(submission, reply)

    def _check_size(self, spec: JobSpec) -> None:
        """Raises MalformedSubmissionError if a job's description is too long for one value."""
        if not chunk_size_for(spec, self.settings.value_bytes):
            raise wire.MalformedSubmissionError("the description is too long to be kept")

    def _answer_malformed(self, data: object, answer: Answer, reply: Reply) -> None:
        """Answers a malformed submission.

        A repeat gets its job's state, whatever its body holds now.

        Once broken: a malformed repeat of a job that was over got 400 while the state service
        did not answer (dependencies/random_faults.txt, 730).
        """
        job_id = wire.read_id(data)
        if job_id is None:
            answer.send(reply)
        else:
            self.lookup.answer(job_id, reply, if_never_accepted=answer)

    def _submit(self, submission: wire.Submission, reply: Reply) -> None:
        """Accepts a well-formed submission, or answers why it is not accepted now or ever."""
        spec = submission.spec
        final = self.lookup.final_states.get(spec.id)
        if final is not None:
            reply(200, wire.write_state(final))
            return
        reason = self.refusal_reason(spec)
        if reason is not None:
            # A job accepted earlier is not refused now, whatever has changed since.
            self.lookup.answer(spec.id, reply, if_never_accepted=refused(reason))
        elif not self.view.machine_types:
            CATALOG_UNKNOWN.send(reply)
        elif self.memory_short:
            self.lookup.answer(spec.id, reply, MEMORY_SHORT, MEMORY_SHORT)
        elif self.acceptance.is_full:
            TOO_MANY_SUBMISSIONS.send(reply)
        elif submission.dependencies and not self.view.format_raised:
            # Controllers of the version before would know nothing of the job.
            self.lookup.answer(spec.id, reply, FORMAT_NOT_RAISED, FORMAT_NOT_RAISED)
        else:
            self._accept(submission, reply)

    def _accept(self, submission: wire.Submission, reply: Reply) -> None:
        self.acceptance.open()
        if submission.dependencies:
            self.dependent_submissions.submit(submission, reply)
        else:
            self.acceptance.commit(submission.spec, reply)

    def refusal_reason(self, spec: JobSpec) -> str | None:
        """Why a job can never run with these settings and machine types, or None."""
        team = self.settings.teams.get(spec.team)
        if team is None:
            return f"crew {spec.team} is not known"
        if self.view.machine_types and not fits_some_type(spec, self.view.machine_types):
            return "a task fits no allowed machine type"
        tasks_at_once = spec.tasks if spec.service or spec.gang else 1
        for quota, needed, what in (
            (team.cpu_quota, spec.cpus, "cpus"),
            (team.gpu_quota, spec.gpus, "cards"),
        ):
            if quota > 0 and needed * tasks_at_once > quota + QUOTA_TOLERANCE:
                return f"the job needs more {what} than the limit of {spec.team}"
        return None
