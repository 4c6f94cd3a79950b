"""What is known of each job: what was submitted, and what users have been told."""

from typing import NamedTuple

from .submissions import Submission
from .wire import JobState


class FinalState(NamedTuple):
    """A final state, and when a user was told of it first."""

    state: JobState
    reported_at: float


class JobLedger:
    """All jobs by their ids; times are seconds of the world.

    Attributes:
        jobs: What was submitted, once a user has tried to.
        submitted_at: When a user tried to submit it first.
        accepted_at: When a user was told that it is accepted.
        cancel_requested: The jobs whose cancellation a user has asked for.
        cancelled_at: When a user was told that it is cancelled.
        last_left_at: When the last of its tasks left a machine after that.
        final: Its final state.
        done: The numbers of its tasks that have completed.
        begun_at: When its first task started.
        ended_at: When the last task of an array completed.
        failing_since: Since when no question about it gets a proper answer.
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
        """The jobs that a job needs, directly or through others."""
        found: list[str] = []
        stack = [job_id]
        while stack:
            for need in self.jobs[stack.pop()].needs or ():
                if need in self.jobs and need not in found:
                    found.append(need)
                    stack.append(need)
        return found

    def is_to_be_cancelled(self, job_id: str) -> bool:
        """Whether a user asked to cancel the job or one that it needs."""
        return job_id in self.cancel_requested or any(
            need in self.cancel_requested for need in self.all_dependencies(job_id)
        )

    def dependency_cancelled_at(self, job_id: str) -> float | None:
        """When a user was first told that a job before this one is cancelled."""
        cancelled_at = [
            self.cancelled_at[need]
            for need in self.all_dependencies(job_id)
            if need in self.cancelled_at
        ]
        return min(cancelled_at, default=None)

    def note_final(self, job_id: str, state: JobState, now: float) -> None:
        """Keeps the final state that a user was told first."""
        self.final.setdefault(job_id, FinalState(state, now))
        if state is JobState.CANCELLED:
            self.cancelled_at.setdefault(job_id, now)
