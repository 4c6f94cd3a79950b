"""Checks of liveness: requests must succeed, tasks be placed, and no group of jobs be starved."""

from typing import TYPE_CHECKING

from .submissions import Submission, job_of, number_of

if TYPE_CHECKING:
    from .observer import Observer

CHECK_INTERVAL_S = 1.0
# PROTOCOL: how long requests about one job may fail while most other requests get answers.
MAX_FAILING_S = 90
# The same limit once all faults have ended, whether or not other requests get answers.
MAX_FAILING_AFTER_FAULTS_S = 75
MAX_PENDING_S = 90  # how long a task may be pending while a machine has capacity for it
ANSWERS_KEPT_S = 90
LARGEST_JOBS_DIVISOR = 10  # the largest jobs of a class are its largest tenth
MAX_LARGEST_START_S = 240  # the time within which the largest jobs have to start


class LivenessChecks:
    """Checks once a second for conditions that have lasted too long; records them as violations.

    Attributes:
        faults_ended_at: When the last fault ended; None until then.
        pending_since: By job, since when a task of it has been pending although it could run.
        answers: The recent answers to users as (time, whether the request succeeded).
    """

    def __init__(self, observer: "Observer") -> None:
        self.observer = observer
        self.world = observer.world
        self.faults_ended_at: float | None = None
        self.pending_since: dict[str, float] = {}
        self.answers: list[tuple[float, bool]] = []
        self.world.at(CHECK_INTERVAL_S, self.check)

    def note_answer(self, succeeded: bool) -> None:
        """Records whether a user's request succeeded."""
        kept = [row for row in self.answers if row[0] > self.world.now - ANSWERS_KEPT_S]
        self.answers = [*kept, (self.world.now, succeeded)]

    def check(self) -> None:
        """Runs all checks and schedules the next run."""
        self.check_cancelled()
        self.check_failing()
        if self.faults_ended_at is not None:
            self.check_pending(self.faults_ended_at)
        self.world.at(CHECK_INTERVAL_S, self.check)

    def check_cancelled(self) -> None:
        """Checks that the tasks of cancelled jobs leave their machines in time."""
        observer = self.observer
        for job_id, cancelled_at in observer.cancelled_at.items():
            if self.world.now <= cancelled_at + observer.cancel_s:
                continue
            for name, machine_zones in observer.placements.items():
                if machine_zones and job_of(name) == job_id:
                    observer.record("ran_cancelled", f"{name} is on {sorted(machine_zones)}")

    def check_failing(self) -> None:
        """Checks that requests about a job do not fail for long while others succeed."""
        observer, now = self.observer, self.world.now
        most_answered = sum(succeeded for _, succeeded in self.answers) > len(self.answers) / 2
        for job_id, since in observer.failing_since.items():
            if now - since > MAX_FAILING_S and most_answered:
                observer.record(
                    "forgotten", f"requests about {job_id} have failed since {since:.0f}"
                )
            # Once all faults have ended, this holds whether or not other requests succeed.
            if (
                self.faults_ended_at is not None
                and now - max(since, self.faults_ended_at) > MAX_FAILING_AFTER_FAULTS_S
            ):
                observer.record(
                    "forgotten", f"no request about {job_id} has succeeded since {since:.0f}"
                )

    # --- pending tasks

    def check_pending(self, faults_ended_at: float) -> None:
        """Checks that no task that could run stays pending for long.

        A task could run if a machine has capacity for it within its team's quota. Only time after
        the end of the faults counts.
        """
        observer, now = self.observer, self.world.now
        placed, team_cpus = self.placed_tasks()
        for job_id in observer.accepted_at:
            job = observer.jobs[job_id]
            begun = observer.done.get(job_id, set()) | placed.get(job_id, set())
            if not self.could_run(job_id, job, len(begun), team_cpus[job.team]):
                self.pending_since.pop(job_id, None)
                continue
            since = self.pending_since.setdefault(job_id, now)
            if now - max(since, faults_ended_at) > MAX_PENDING_S:
                observer.record(
                    "left_pending",
                    f"{job_id} has been pending since {since:.0f} although there is capacity",
                )

    def placed_tasks(self) -> tuple[dict[str, set[int]], dict[str, float]]:
        """The tasks on machines, fetching ones included, by job, and the cpus they use, by team."""
        placed: dict[str, set[int]] = {}
        team_cpus = dict.fromkeys(self.observer.teams, 0.0)
        for machine in self.observer.machines.values():
            for name in machine.tasks.live_names():
                job_id = job_of(name)
                job = self.observer.jobs[job_id]
                placed.setdefault(job_id, set()).add(number_of(name))
                team_cpus[job.team] += job.cpus
        return placed, team_cpus

    def could_run(self, job_id: str, job: Submission, begun: int, team_cpus: float) -> bool:
        """Whether one more task of a job could run.

        `begun` is the number of its tasks that are placed or done. Jobs whose allowed zones depend
        on their other tasks are not checked; for them the result is False.
        """
        observer = self.observer
        if job_id in observer.final or observer.is_to_be_cancelled(job_id):
            return False
        if not all(map(observer.is_done, job.needs or ())) or begun >= job.tasks:
            return False
        if job.single_zone or job.zone_spread:
            return False
        quota = observer.teams[job.team].cpu_quota
        if quota and team_cpus + job.cpus > quota:
            return False
        return any(
            machine.is_usable() and machine.has_capacity_for(job)
            for machine in observer.machines.values()
        )

    # --- starvation

    def begun_shares(self) -> dict[tuple[str, str], float]:
        """The share of jobs that have started, by class, by team, and of each class's largest jobs.

        The largest jobs count as started only if they did so within MAX_LARGEST_START_S.
        """
        observer = self.observer
        live = [
            job_id for job_id in observer.accepted_at if not observer.is_to_be_cancelled(job_id)
        ]
        groups: dict[tuple[str, str], list[bool]] = {}
        for job_id in live:
            job = observer.jobs[job_id]
            begun = job_id in observer.begun_at
            groups.setdefault(("class", job.job_class), []).append(begun)
            groups.setdefault(("team", job.team), []).append(begun)
        for job_class in {observer.jobs[job_id].job_class for job_id in live}:
            rows = self.largest_begun(
                [job_id for job_id in live if observer.jobs[job_id].job_class == job_class]
            )
            if rows:
                groups["largest", job_class] = rows
        return {group: sum(rows) / len(rows) for group, rows in groups.items()}

    def largest_begun(self, job_ids: list[str]) -> list[bool]:
        """For each of the largest jobs of a class, whether it started in time.

        Jobs that have not started, but still have time to, are left out.
        """
        observer = self.observer
        ordered = sorted(job_ids, key=lambda job_id: -observer.jobs[job_id].tasks)
        rows = []
        for job_id in ordered[: max(1, len(ordered) // LARGEST_JOBS_DIVISOR)]:
            begun_at = observer.begun_at.get(job_id, self.world.now)
            waited = begun_at - observer.accepted_at[job_id]
            if waited <= MAX_LARGEST_START_S and job_id not in observer.begun_at:
                continue  # it still has time to start
            rows.append(waited <= MAX_LARGEST_START_S)
        return rows
