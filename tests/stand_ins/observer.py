"""Observes a run, independently of the service, and records each violation of a rule.

The rules that PROTOCOL defines have the same names here (`ran_twice`, `went_back`, ...); the other
rules are this project's.
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
    """An event that violated a rule."""

    at: float
    rule: str
    text: str


class Observer(JobLedger):
    """Tracks tasks and answers to users, and records each violation.

    Attributes:
        placements: By task, the machines that it runs on, with the zone of each.
        machines: The cloud's machines by name.
        start_count: The number of task starts.
        starts_of: {task: the number of its starts}.
        starts_after_cancel: The number of starts after a user got an answer that the job is
            cancelled.
        invalid_refused: The number of invalid submissions that were refused permanently.
        on_array_completed: Called with the job when the last task of an array has completed.
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
        self.starts_of: dict[str, int] = {}
        self.starts_after_cancel = 0
        self.invalid_refused = 0
        self.on_array_completed: Callable[[str], None] = lambda job_id: None
        self.liveness = LivenessChecks(self)

    def record(self, rule: str, text: str) -> None:
        """Records a violation."""
        self.violations.append(Violation(round(self.world.now, 2), rule, text))

    def broken_rules(self) -> set[str]:
        """The rules that were violated so far."""
        broken = {violation.rule for violation in self.violations}
        if not self.start_count and self.accepted_at:
            broken.add("nothing_ran")
        return broken

    # --- events on workers

    def task_started(self, name: str, machine: "Worker") -> None:
        """A task has fetched its image and starts to run."""
        job_id = job_of(name)
        job = self.jobs[job_id]
        self.start_count += 1
        self.starts_of[name] = self.starts_of.get(name, 0) + 1
        for dependency in job.needs or ():
            if not self.is_done(dependency):
                self.record(
                    "started_before_dependency", f"{name} starts before {dependency} is done"
                )
        self.begun_at.setdefault(job_id, self.world.now)
        machine_zones = self.placements.setdefault(name, {})
        if machine_zones:
            self.record(
                "ran_twice", f"{name} starts on {machine.name} while on {sorted(machine_zones)}"
            )
        if not self.may_be_placed(job_id, job, machine):
            self.record("wrong_place", f"{name} may not run on {machine.name} in {machine.zone}")
        if not 0 <= number_of(name) < job.tasks:
            self.record("invented", f"{name} is outside its job's range of task numbers")
        machine_zones[machine.name] = machine.zone
        self.check_quota(job.team)
        self.check_cancelled(name, job_id)

    def may_be_placed(self, job_id: str, job: Submission, machine: "Worker") -> bool:
        """Whether a job's constraints allow a machine, given where its other tasks run."""
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
        """Records a violation if a team's tasks use more than its quota."""
        quota = self.teams[team].cpu_quota
        jobs = (
            (self.jobs[job_of(name)], machine_zones)
            for name, machine_zones in self.placements.items()
        )
        used = sum(job.cpus * len(machine_zones) for job, machine_zones in jobs if job.team == team)
        if quota and used > quota + CPU_SLACK:
            self.record("quota", f"{team} uses {used} cpus, its quota is {quota}")

    def check_cancelled(self, name: str, job_id: str) -> None:
        """Records a violation if a task starts too long after its job's cancellation."""
        cancelled_at = self.cancelled_at.get(job_id)
        if cancelled_at is None:
            return
        self.starts_after_cancel += 1
        late_s = self.world.now - cancelled_at
        if self.world.now > cancelled_at + self.cancel_s:
            self.record("ran_cancelled", f"{name} starts {late_s:.1f} s after its cancellation")

    def task_left(self, name: str, machine: str) -> None:
        """A task no longer runs on a machine."""
        self.placements.get(name, {}).pop(machine, None)
        job_id = job_of(name)
        if job_id in self.cancelled_at:
            self.last_left_at[job_id] = self.world.now

    def task_completed(self, name: str) -> None:
        """A task has run to completion."""
        job_id = job_of(name)
        done = self.done.setdefault(job_id, set())
        is_new = number_of(name) not in done
        done.add(number_of(name))
        if is_new and len(done) == self.jobs[job_id].tasks:
            self.ended_at[job_id] = self.world.now
            self.on_array_completed(job_id)

    # --- answers to users

    def answered(self, job_id: str, asked_at: float, status: int, body: Any) -> None:
        """A submission, poll or cancellation of a job was answered or failed.

        Args:
            job_id: The job.
            asked_at: When the request was sent.
            status: The status of the answer; 0 or less if there was none.
            body: The body of the answer.
        """
        self.liveness.note_answer(status in ACCEPTED_STATUSES)
        if status in ACCEPTED_STATUSES:
            self.failing_since.pop(job_id, None)
            if job_id not in self.jobs:
                self.record(
                    "invented", f"{job_id} was never submitted, but is answered with {status}"
                )
                return
            self.check_state(job_id, asked_at, wire.read_job_state(body))
            self.accepted_at.setdefault(job_id, self.world.now)
        elif job_id in self.accepted_at:
            if status in FORGOTTEN_STATUSES:
                self.record("forgotten", f"{job_id} was accepted, but is answered with {status}")
            self.failing_since.setdefault(job_id, self.world.now)

    def check_state(self, job_id: str, asked_at: float, state: JobState) -> None:
        """Compares the state in an answer with the job's known history."""
        if state is JobState.DONE and not self.is_done(job_id):
            self.record("not_done", f"{job_id} is reported as done before all its tasks completed")
        cancelled_at = self.dependency_cancelled_at(job_id)
        if (
            state not in FINAL_STATES
            and cancelled_at is not None
            and asked_at > cancelled_at + self.cancel_s
        ):
            self.record(
                "dependent_not_cancelled",
                f"{job_id} is reported as {state}; a dependency was cancelled at "
                f"{cancelled_at:.1f}",
            )
        if state is JobState.CANCELLED and not self.is_to_be_cancelled(job_id):
            self.record("went_back", f"{job_id} is reported as cancelled without a request")
        before = self.final.get(job_id)
        if before is not None and state is not before.state and asked_at > before.reported_at:
            self.record("went_back", f"{job_id} was reported as {before.state}, now as {state}")
        if state in FINAL_STATES:
            self.note_final(job_id, state, self.world.now)

    def answered_invalid(self, job_id: str, status: int) -> None:
        """An invalid submission, which lacks a field or can never run, was answered."""
        self.invalid_refused += status in REJECTED_STATUSES
        if status in ACCEPTED_STATUSES:
            self.record("accepted_invalid", f"{job_id} is invalid, but was accepted")
