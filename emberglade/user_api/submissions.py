"""Validates submissions, and accepts them, refuses them or asks the user to retry later."""

from ..actors import Actor, ActorPart
from ..config import Settings
from ..jobs.chunking import chunk_size_for
from ..jobs.job_spec import JobSpec
from ..placement import fits_some_type
from . import wire
from .acceptance import Acceptance
from .answers import Answer, Reply, malformed, refused, service_unavailable, too_many_requests
from .committed_view import CommittedView
from .dependent_submissions import DependentSubmissions
from .lookup import JobLookup

QUOTA_TOLERANCE = 1e-9  # larger than the rounding errors of floating-point sums

CATALOG_NOT_READ = service_unavailable("the machine types are not known yet")
LOW_MEMORY = service_unavailable("this controller is short of memory")
TOO_MANY_SUBMISSIONS = too_many_requests("too many submissions at once")
DEPENDENCIES_NOT_ENABLED = service_unavailable(
    "not all controllers run the version yet that lets jobs await others"
)


class Submissions(ActorPart):
    """Handles submissions; a repeated one is answered with its job's state."""

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
        self.memory_is_low = False  # while true, this controller accepts no job

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
        """Raises MalformedSubmissionError if the job's description does not fit in one value."""
        if not chunk_size_for(spec, self.settings.value_bytes):
            raise wire.MalformedSubmissionError("the description is too long to be kept")

    def _answer_malformed(self, data: object, answer: Answer, reply: Reply) -> None:
        """Answers a malformed submission.

        A repeat of an accepted submission is answered with its job's state even if its body is
        malformed. Without this look-up, a malformed repeat for a finished job would get 400 while
        the state service does not answer (dependencies/random_faults.txt, seed 730).
        """
        job_id = wire.read_id(data)
        if job_id is None:
            answer.send(reply)
        else:
            self.lookup.answer(job_id, reply, if_never_accepted=answer)

    def _submit(self, submission: wire.Submission, reply: Reply) -> None:
        """Accepts a well-formed submission, or answers why it can't be accepted now or ever."""
        spec = submission.spec
        final = self.lookup.final_states.get(spec.id)
        if final is not None:
            reply(200, wire.write_state(final))
            return
        reason = self.refusal_reason(spec)
        if reason is not None:
            # A job that was accepted earlier is not refused, even if the limits have changed since.
            self.lookup.answer(spec.id, reply, if_never_accepted=refused(reason))
        elif not self.view.machine_types:
            CATALOG_NOT_READ.send(reply)
        elif self.memory_is_low:
            self.lookup.answer(spec.id, reply, LOW_MEMORY, LOW_MEMORY)
        elif self.acceptance.is_full:
            TOO_MANY_SUBMISSIONS.send(reply)
        elif submission.dependencies and not self.view.format_raised:
            # Controllers of the previous version would ignore the job.
            self.lookup.answer(spec.id, reply, DEPENDENCIES_NOT_ENABLED, DEPENDENCIES_NOT_ENABLED)
        else:
            self._accept(submission, reply)

    def _accept(self, submission: wire.Submission, reply: Reply) -> None:
        self.acceptance.open()
        if submission.dependencies:
            self.dependent_submissions.submit(submission, reply)
        else:
            self.acceptance.commit(submission.spec, reply)

    def refusal_reason(self, spec: JobSpec) -> str | None:
        """Why a job can never run with the current settings and machine types, or None."""
        team = self.settings.teams.get(spec.team)
        if team is None:
            return f"crew {spec.team} is not known"
        if self.view.machine_types and not fits_some_type(spec, self.view.machine_types):
            return "a task fits no allowed machine type"
        tasks_at_once = spec.tasks if spec.service or spec.gang else 1
        for quota, needed, field in (
            (team.cpu_quota, spec.cpus, "cpus"),
            (team.gpu_quota, spec.gpus, "cards"),
        ):
            if quota > 0 and needed * tasks_at_once > quota + QUOTA_TOLERANCE:
                return f"the job needs more {field} than the limit of {spec.team}"
        return None
