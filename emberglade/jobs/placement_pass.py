"""One placement round: places every pending job in order."""

import logging
import math

from .. import placement
from .binding import Binding
from .chunking import chunk_size
from .commits import Commits
from .job import Job
from .scheduling_view import SchedulingView

log = logging.getLogger("emberglade.jobs")

MAX_TASKS_PER_JOB_PASS = 256  # tasks of one job that are placed in one pass over the jobs
STARVING_JOB_SHARE = 1 / 8  # share of a starving job's tasks that is placed first
MAX_COMMITS_PER_ROUND = 4  # a round binds at most as many tasks as fit into this many commits
# Capacity is not reserved for another owner's task with more attempts than this, if its job has no
# progress: the owner may have backed it off.
MAX_ATTEMPTS_WITHOUT_PROGRESS = 3


class PlacementPass:
    """Reserves capacity for the pending tasks of all jobs, and binds those of owned jobs.

    An instance serves one round. The reservations in `placement_round` are undone when the round
    ends; only bindings remain.
    """

    def __init__(
        self,
        view: SchedulingView,
        commits: Commits,
        placement_round: placement.PlacementRound,
        starving: set[str],
        failed_jobs: set[str],
        now: float,
        wall_time: float,
    ) -> None:
        """Prepares a round.

        Args:
            view: The jobs and the machines.
            commits: Receives the bindings.
            placement_round: Reserves capacity for the round.
            starving: The ids of the jobs that are placed first.
            failed_jobs: The ids of the jobs whose placement has raised; extended by the round.
            now: The monotonic clock, in seconds.
            wall_time: The wall-clock time, in seconds since 1970.
        """
        settings = view.settings
        self._jobs, self._cluster, self._owners = view.jobs, view.cluster, view.owners
        self._commits, self._round, self._starving = commits, placement_round, starving
        self._failed_jobs = failed_jobs
        self._teams, self._now, self._wall_time = settings.teams, now, wall_time
        # Rows (job, number of similar tasks expected soon), for which capacity is kept free.
        self._buffer = placement.capacity_buffer(
            view.jobs.jobs.values(), settings.objectives, view.cluster.machine_types, wall_time
        )
        # How many tasks may still be bound in this round.
        self._tasks_left = (
            settings.txn_ops * MAX_COMMITS_PER_ROUND * chunk_size(settings.value_bytes)
        )
        self._reserved: dict[str, int] = {}  # id of another owner's job -> reserved tasks

    def run(self, pending: list[Job]) -> None:
        """Places the pending jobs in the given order.

        If any team has a guarantee, a first pass places only critical jobs and tasks within their
        team's guarantee, so that these do not wait for jobs of teams that exceed their guarantees.
        """
        if any(team.guaranteed_cpus or team.guaranteed_gpus for team in self._teams.values()):
            for job in pending:
                self._evaluate(job, within_guarantee=True)
        for job in pending:
            self._evaluate(job, within_guarantee=False)

    def _evaluate(self, job: Job, within_guarantee: bool) -> None:
        """Places one job; if that raises, the other jobs of the round are placed all the same."""
        try:
            self._place_or_reserve(job, within_guarantee)
        except Exception:
            if job.id not in self._failed_jobs:
                self._failed_jobs.add(job.id)
                log.exception("placing job %s failed; the other jobs are not affected", job.id)

    def _place_or_reserve(self, job: Job, within_guarantee: bool) -> None:
        self._reserve_buffer_ahead_of(job)
        limit = self._task_limit(job, within_guarantee)
        if limit <= 0:
            return
        if not self._owners.owns(job):
            self._reserve(job, limit)
        elif self._tasks_left > 0:
            self._tasks_left -= self._place(job, job.pending_tasks(self._now, limit))

    def _reserve_buffer_ahead_of(self, job: Job) -> None:
        """Reserves capacity for expected tasks of a higher priority than the job's."""
        ahead = [row for row in self._buffer if row.job.spec.priority < job.spec.priority]
        for row in ahead:
            self._buffer.remove(row)
            expected, tasks = row
            self._round.place(expected, math.ceil(tasks))

    def _task_limit(self, job: Job, within_guarantee: bool) -> int:
        """The maximum number of a job's tasks to place in this pass over the jobs."""
        limit = min(job.pending_count(), self._round.max_tasks(job.spec), MAX_TASKS_PER_JOB_PASS)
        if within_guarantee and job.spec.priority:
            limit = min(limit, self._cluster.capacity.tasks_within_guarantee(job.spec))
        if job.id in self._starving:
            # Enough for the job to start; its other tasks are placed in the usual order.
            limit = min(limit, math.ceil(job.spec.tasks * STARVING_JOB_SHARE))
        return limit

    def _reserve(self, job: Job, limit: int) -> None:
        """Reserves the capacity that another controller is expected to use for its job.

        Tasks with many attempts are skipped if their job has no progress: its owner has probably
        backed them off. Tasks of a job with progress may reach as many attempts when many machines
        fail. If no capacity were reserved for these tasks, other jobs would use it, and their tasks
        would then be preempted, repeatedly
        (protocol_rules/random_combined_faults_small_values.txt, seed 39).
        """
        reserved = self._reserved.get(job.id, 0)
        has_progress = job.has_progress()
        tasks = [
            task
            for task in job.pending_tasks(self._now, limit + reserved)
            if has_progress
            or job.chunk_of(task).last_attempts.get(task, 0) <= MAX_ATTEMPTS_WITHOUT_PROGRESS
        ]
        filled = self._round.place(job, len(tasks) - reserved)
        self._reserved[job.id] = reserved + len(filled)

    def _place(self, job: Job, tasks: list[int]) -> int:
        """Binds as many of the tasks as capacity allows, and returns how many it bound.

        A gang without bound tasks is bound completely or not at all.
        """
        machines = self._round.place(job, len(tasks))
        self._round.undo_place(machines)
        incomplete_gang = (
            job.spec.gang and not job.binding_count() and len(machines) < job.pending_count()
        )
        if not machines or incomplete_gang:
            return 0
        missing = 0  # tasks whose machine has to fetch the image first
        for task, machine in zip(tasks, machines, strict=False):
            missing += not self._cluster.images.has(machine, job.spec.image)
            self._bind(job, task, machine)
        log.info(
            "placing %d tasks of job %s %.1f s after its submission on machines %s%s",
            len(machines),
            job.id,
            self._wall_time - job.spec.submitted_at,
            " ".join(sorted(set(machines))),
            f"; {missing} tasks have to fetch image {job.spec.image} first" if missing else "",
        )
        return len(machines)

    def _bind(self, job: Job, task: int, machine: str) -> None:
        attempt = job.chunk_of(task).last_attempts.pop(task, 0) + 1
        agent_epoch = self._cluster.machines[machine].agent_epoch
        self._jobs.bind(job, task, Binding(attempt, machine, agent_epoch))
        self._commits.mark_changed(job, task)
