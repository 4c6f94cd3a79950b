"""Watches a run and records every violation of PROTOCOL's rules, by its own bookkeeping.

Rules of PROTOCOL keep the names that it gives them (`ran_twice`, `went_back`, ...); the others are
the project's own.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from . import wire
from .job_ledger import JobLedger
from .liveness_checks import LivenessChecks
from .submissions import Submission, job_of, number_of
from .wire import JobState
from .world import World

if TYPE_CHECKING:
    from .worker import Worker

CPU_SLACK = 1e-9
FINAL_STATES = (JobState.DONE, JobState.CANCELLED)
ACCEPTED_STATUSES = (200, 201)
FORGOTTEN_STATUSES = (404, 400, 422)
REJECTED_STATUSES = (400, 422)


class Team(NamedTuple):
    """A team's guarantee and quota; 0 means none."""

    guaranteed_cpus: float = 0.0
    cpu_quota: float = 0.0


class Violation(NamedTuple):
    """One event that breaks a rule."""

    at: float
    rule: str
    text: str


class Observer(JobLedger):
    """Follows tasks and answers, and records each violation.

    Attributes:
        placements: The machines that a task is on, with the zone of each.
        machines: The cloud's machines.
        start_count: How often a task started on a machine.
        starts_after_cancel: How many of them began after their user was told of a cancellation.
        invalid_refused: How many submissions that can never run were refused for good.
        on_array_completed: Called when the last task of an array has completed.
    """

    def __init__(self, world: World, cancel_s: float, teams: dict[str, Team]) -> None:
        super().__init__()
        self.world = world
        self.cancel_s = cancel_s
        self.teams = teams
        self.violations: list[Violation] = []
        self.placements: dict[str, dict[str, str]] = {}
        self.machines: dict[str, Worker] = {}
        self.start_count = 0
        self.starts_after_cancel = 0
        self.invalid_refused = 0
        self.on_array_completed: Callable[[str], None] = lambda job_id: None
        self.liveness = LivenessChecks(self)

    def record(self, rule: str, text: str) -> None:
        """Records a violation."""
        self.violations.append(Violation(round(self.world.now, 2), rule, text))

    def broken_rules(self) -> set[str]:
        """The rules that were broken so far."""
        broken = {violation.rule for violation in self.violations}
        if not self.start_count and self.accepted_at:
            broken.add("nothing_ran")
        return broken

    # --- what workers do

    def task_started(self, name: str, machine: "Worker") -> None:
        """A task has its image and runs from now on."""
        job_id = job_of(name)
        job = self.jobs[job_id]
        self.start_count += 1
        for need in job.needs or ():
            if not self.is_done(need):
                self.record("started_before_dependency", f"{name} starts before {need} is done")
        self.begun_at.setdefault(job_id, self.world.now)
        machine_zones = self.placements.setdefault(name, {})
        if machine_zones:
            self.record(
                "ran_twice", f"{name} starts on {machine.name} while on {sorted(machine_zones)}"
            )
        if not self.may_be_placed(job_id, job, machine):
            self.record("wrong_place", f"{name} on {machine.name} in {machine.zone}")
        if not 0 <= number_of(name) < job.tasks:
            self.record("invented", f"{name} is no task of its job")
        machine_zones[machine.name] = machine.zone
        self.check_quota(job.team)
        self.check_cancelled(name, job_id)

    def may_be_placed(self, job_id: str, job: Submission, machine: "Worker") -> bool:
        """Whether a job allows a machine, given where its other tasks are now."""
        used_zones = [
            zone
            for name, machine_zones in self.placements.items()
            if job_of(name) == job_id
            for zone in machine_zones.values()
        ]
        if job.allowed_types is not None and machine.type.label not in job.allowed_types:
            return False
        if job.zone is not None and machine.zone != job.zone:
            return False
        if machine.spot and not job.spot:
            return False
        if job.single_zone and any(zone != machine.zone for zone in used_zones):
            return False
        most_in_zone = (job.tasks + 1) // 2
        return not job.zone_spread or used_zones.count(machine.zone) + 1 <= most_in_zone

    def check_quota(self, team: str) -> None:
        """Records it if a team's tasks use more than its quota."""
        quota = self.teams[team].cpu_quota
        jobs = (
            (self.jobs[job_of(name)], machine_zones)
            for name, machine_zones in self.placements.items()
        )
        used = sum(job.cpus * len(machine_zones) for job, machine_zones in jobs if job.team == team)
        if quota and used > quota + CPU_SLACK:
            self.record("quota", f"{team} uses {used} of {quota}")

    def check_cancelled(self, name: str, job_id: str) -> None:
        """Records it if a task starts too long after its user was told of a cancellation."""
        cancelled_at = self.cancelled_at.get(job_id)
        if cancelled_at is None:
            return
        self.starts_after_cancel += 1
        late_s = self.world.now - cancelled_at
        if self.world.now > cancelled_at + self.cancel_s:
            self.record("ran_cancelled", f"{name} starts {late_s:.1f} s after its cancellation")

    def task_left(self, name: str, machine: str) -> None:
        """A task that ran on a machine is not on it any more."""
        self.placements.get(name, {}).pop(machine, None)
        job_id = job_of(name)
        if job_id in self.cancelled_at:
            self.last_left_at[job_id] = self.world.now

    def task_completed(self, name: str) -> None:
        """A task has done its work."""
        job_id = job_of(name)
        done = self.done.setdefault(job_id, set())
        is_new = number_of(name) not in done
        done.add(number_of(name))
        if is_new and len(done) == self.jobs[job_id].tasks:
            self.ended_at[job_id] = self.world.now
            self.on_array_completed(job_id)

    # --- what users are told

    def answered(self, job_id: str, asked_at: float, status: int, body: Any) -> None:
        """A user got an answer about a job, to a submission, poll or cancellation.

        Args:
            job_id: The job.
            asked_at: When the user had asked.
            status: The status of the answer; 0 and below if there was none.
            body: The body of the answer.
        """
        self.liveness.note_answer(status in ACCEPTED_STATUSES)
        if status in ACCEPTED_STATUSES:
            self.failing_since.pop(job_id, None)
            if job_id not in self.jobs:
                self.record("invented", f"{job_id} gets {status}")
                return
            self.check_state(job_id, asked_at, wire.read_job_state(body))
            self.accepted_at.setdefault(job_id, self.world.now)
        elif job_id in self.accepted_at:
            if status in FORGOTTEN_STATUSES:
                self.record("forgotten", f"{job_id} gets {status}")
            self.failing_since.setdefault(job_id, self.world.now)

    def check_state(self, job_id: str, asked_at: float, state: JobState) -> None:
        """Compares a state that a user was told with what is known of the job."""
        if state is JobState.DONE and not self.is_done(job_id):
            self.record("not_done", f"{job_id} is called done")
        orphaned_at = self.dependency_cancelled_at(job_id)
        if (
            state not in FINAL_STATES
            and orphaned_at is not None
            and asked_at > orphaned_at + self.cancel_s
        ):
            self.record(
                "dependent_not_cancelled",
                f"{job_id} is called {state}; a job before it was cancelled at {orphaned_at:.1f}",
            )
        if state is JobState.CANCELLED and not self.is_to_be_cancelled(job_id):
            self.record("went_back", f"{job_id} is called cancelled; nobody asked")
        before = self.final.get(job_id)
        if before is not None and state is not before.state and asked_at > before.reported_at:
            self.record("went_back", f"{job_id} was {before.state}, is {state}")
        if state in FINAL_STATES:
            self.note_final(job_id, state, self.world.now)

    def answered_invalid(self, job_id: str, status: int) -> None:
        """A user got an answer to a submission that lacks a field or can never run."""
        self.invalid_refused += status in REJECTED_STATUSES
        if status in ACCEPTED_STATUSES:
            self.record("accepted_invalid", f"{job_id} is accepted")
