"""What must not last for too long: silence about a job, waiting for free machines, starvation."""

from typing import TYPE_CHECKING

from .submissions import Submission, job_of, number_of

if TYPE_CHECKING:
    from .observer import Observer

CHECK_INTERVAL_S = 1.0
MAX_FAILING_S = 90  # PROTOCOL: polls for a job may fail for so long while most others get answers
MAX_FAILING_AFTER_FAULTS_S = 75  # the same once all faults are over, however others fare
MAX_PENDING_S = 90  # a task for which there is a machine may wait for so long
ANSWERS_KEPT_S = 90
LARGEST_JOBS_DIVISOR = 10  # the largest tenth of each class
MAX_LARGEST_START_S = 240  # the time that these have to begin


class LivenessChecks:
    """Looks once a second for what has lasted too long, and records it as a violation.

    Attributes:
        faults_ended_at: When the last fault was over, once that is known.
        pending_since: Since when a task of a job waits that could run.
        answers: Of the last answers to users, (when, whether it was a proper one).
    """

    def __init__(self, observer: "Observer") -> None:
        self.observer = observer
        self.world = observer.world
        self.faults_ended_at: float | None = None
        self.pending_since: dict[str, float] = {}
        self.answers: list[tuple[float, bool]] = []
        self.world.at(CHECK_INTERVAL_S, self.check)

    def note_answer(self, proper: bool) -> None:
        """A user got an answer, or none."""
        kept = [row for row in self.answers if row[0] > self.world.now - ANSWERS_KEPT_S]
        self.answers = [*kept, (self.world.now, proper)]

    def check(self) -> None:
        """Looks for what has lasted too long."""
        self.check_cancelled()
        self.check_failing()
        if self.faults_ended_at is not None:
            self.check_pending(self.faults_ended_at)
        self.world.at(CHECK_INTERVAL_S, self.check)

    def check_cancelled(self) -> None:
        """Tasks of a cancelled job must be gone in time."""
        observer = self.observer
        for job_id, cancelled_at in observer.cancelled_at.items():
            if self.world.now <= cancelled_at + observer.cancel_s:
                continue
            for name, machine_zones in observer.placements.items():
                if machine_zones and job_of(name) == job_id:
                    observer.record("ran_cancelled", f"{name} is on {sorted(machine_zones)}")

    def check_failing(self) -> None:
        """Questions about a job must not fail for long while others are answered."""
        observer, now = self.observer, self.world.now
        most_answered = sum(proper for _, proper in self.answers) > len(self.answers) / 2
        for job_id, since in observer.failing_since.items():
            if now - since > MAX_FAILING_S and most_answered:
                observer.record("forgotten", f"polls for {job_id} fail since {since:.0f}")
            # Once all faults are over, a job stays known however others fare.
            if (
                self.faults_ended_at is not None
                and now - max(since, self.faults_ended_at) > MAX_FAILING_AFTER_FAULTS_S
            ):
                observer.record(
                    "forgotten", f"no question about {job_id} is answered since {since:.0f}"
                )

    # --- waiting for a machine

    def check_pending(self, faults_ended_at: float) -> None:
        """Once all faults are over, no task waits long that a machine is free for.

        Within its team's quota, that is.
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
                    "left_pending", f"{job_id} waits since {since:.0f}, and there is capacity"
                )

    def placed_tasks(self) -> tuple[dict[str, set[int]], dict[str, float]]:
        """The tasks on machines or on their way, by job, and the processors they take, by team."""
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
        """Whether one more task of a job could run now."""
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
        """Of each class, team and of each class's largest jobs, the share that has begun.

        The largest ones: within MAX_LARGEST_START_S.
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
        """For each of the largest jobs of a class, whether it began in time."""
        observer = self.observer
        ordered = sorted(job_ids, key=lambda job_id: -observer.jobs[job_id].tasks)
        rows = []
        for job_id in ordered[: max(1, len(ordered) // LARGEST_JOBS_DIVISOR)]:
            begun_at = observer.begun_at.get(job_id, self.world.now)
            waited = begun_at - observer.accepted_at[job_id]
            if waited <= MAX_LARGEST_START_S and job_id not in observer.begun_at:
                continue  # its time is not up yet
            rows.append(waited <= MAX_LARGEST_START_S)
        return rows
