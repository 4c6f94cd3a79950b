"""The history of each job: its submission, its task events, and the answers that users got."""

from typing import NamedTuple

from .submissions import Submission
from .wire import JobState


class FinalState(NamedTuple):
    """A final state, and when a user first received it."""

    state: JobState
    reported_at: float


class JobLedger:
    """The history of all jobs by id; times are in seconds of the world's clock.

    Attributes:
        jobs: The submission, recorded when it is first sent.
        submitted_at: When the submission was first sent.
        accepted_at: When a user first got an answer that the job is accepted.
        cancel_requested: The jobs whose cancellation a user has requested.
        cancelled_at: When a user first got an answer that the job is cancelled.
        last_left_at: When a task of the cancelled job last ended on a machine.
        final: The final state.
        done: The numbers of the tasks that have completed.
        begun_at: When the first task started.
        ended_at: When the last task of an array completed.
        failing_since: Since when all requests about the job have failed.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Submission] = {}
        self.submitted_at: dict[str, float] = {}
        self.accepted_at: dict[str, float] = {}
        self.cancel_requested: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.last_left_at: dict[str, float] = {}
        self.final: dict[str, FinalState] = {}
        self.done: dict[str, set[int]] = {}
        self.begun_at: dict[str, float] = {}
        self.ended_at: dict[str, float] = {}
        self.failing_since: dict[str, float] = {}

    def is_done(self, job_id: str) -> bool:
        """Whether all tasks of a job have completed."""
        return len(self.done.get(job_id, ())) >= self.jobs[job_id].tasks

    def all_dependencies(self, job_id: str) -> list[str]:
        """The direct and indirect dependencies of a job."""
        found: list[str] = []
        stack = [job_id]
        while stack:
            for dependency in self.jobs[stack.pop()].needs or ():
                if dependency in self.jobs and dependency not in found:
                    found.append(dependency)
                    stack.append(dependency)
        return found

    def is_to_be_cancelled(self, job_id: str) -> bool:
        """Whether a user requested to cancel the job or one of its dependencies."""
        return job_id in self.cancel_requested or any(
            dependency in self.cancel_requested for dependency in self.all_dependencies(job_id)
        )

    def dependency_cancelled_at(self, job_id: str) -> float | None:
        """When a user first got an answer that a dependency of the job is cancelled."""
        cancelled_at = [
            self.cancelled_at[dependency]
            for dependency in self.all_dependencies(job_id)
            if dependency in self.cancelled_at
        ]
        return min(cancelled_at, default=None)

    def note_final(self, job_id: str, state: JobState, now: float) -> None:
        """Records the first final state that a user received."""
        self.final.setdefault(job_id, FinalState(state, now))
        if state is JobState.CANCELLED:
            self.cancelled_at.setdefault(job_id, now)
