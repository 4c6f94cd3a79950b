"""One round of placing: every pending job gets its turn, in order."""

import logging
import math

from .. import placement
from .binding import Binding
from .chunking import chunk_size
from .commits import Commits
from .job import Job
from .view import View

log = logging.getLogger("emberglade.jobs")

MAX_TASKS_A_TURN = 256
STARVING_JOB_SHARE = 1 / 8  # of a starving job's tasks goes first: enough to begin
COMMITS_A_ROUND = 4  # full commits that a round may bind tasks for
# What was tried so often, of a job that gets nothing done, its owner may well be holding back.
MAX_HOPEFUL_ATTEMPTS = 3


class PlacementPass:
    """Takes capacity for the pending tasks of all jobs, and binds those of own ones.

    It lasts for one round. `placement_round` is undone after it; only bindings stay.
    """

    def __init__(
        self,
        view: View,
        commits: Commits,
        placement_round: placement.PlacementRound,
        starving: set[str],
        now: float,
        wall: float,
    ) -> None:
        settings = view.settings
        self._jobs, self._cluster, self._owners = view.jobs, view.cluster, view.owners
        self._commits, self._round, self._starving = commits, placement_round, starving
        self._teams, self._now, self._wall = settings.teams, now, wall
        # (a job, tasks like it that are expected soon): capacity is kept free for them.
        self._buffer = placement.capacity_buffer(
            view.jobs.jobs.values(), settings.objectives, view.cluster.machine_types, wall
        )
        self._tasks_left = (
            settings.txn_ops * COMMITS_A_ROUND * chunk_size(settings.value_bytes)
        )  # that may be bound yet
        self._reserved: dict[str, int] = {}  # others' jobs -> tasks that capacity was taken for

    def play(self, pending: list[Job]) -> None:
        """Gives each of the pending jobs its turn, in this order.

        First for what each team is guaranteed: that is not to wait for what others run beyond
        theirs.
        """
        if any(team.guaranteed_cpus or team.guaranteed_gpus for team in self._teams.values()):
            for job in pending:
                self._take_turn(job, within_guarantee=True)
        for job in pending:
            self._take_turn(job, within_guarantee=False)

    def _take_turn(self, job: Job, within_guarantee: bool) -> None:
        self._fill_buffer_before(job)
        limit = self._task_limit(job, within_guarantee)
        if limit <= 0:
            return
        if not self._owners.owns(job):
            self._reserve(job, limit)
        elif self._tasks_left > 0:
            self._tasks_left -= self._place(job, job.pending_tasks(self._now, limit))

    def _fill_buffer_before(self, job: Job) -> None:
        """Takes the capacity that is kept free for expected work of a higher priority."""
        ahead = [row for row in self._buffer if row.job.spec.priority < job.spec.priority]
        for row in ahead:
            self._buffer.remove(row)
            expected, tasks = row
            self._round.place(expected, math.ceil(tasks))

    def _task_limit(self, job: Job, within_guarantee: bool) -> int:
        """How many tasks of a job may be placed in this turn, at most."""
        limit = min(job.pending_count(), self._round.max_tasks(job.spec), MAX_TASKS_A_TURN)
        if within_guarantee and job.spec.priority:
            limit = min(limit, self._cluster.capacity.tasks_within_guarantee(job.spec))
        if job.id in self._starving:
            # Enough to begin; the rest takes its place in the ordinary order.
            limit = min(limit, math.ceil(job.spec.tasks * STARVING_JOB_SHARE))
        return limit

    def _reserve(self, job: Job, limit: int) -> None:
        """Takes capacity for another owner's job, as its owner is expected to.

        What was often tried, of a job that gets nothing done, its owner may well be holding back.
        Others are tried as often on a rough day; their capacity was given away, and made for them
        again and again (protocol_rules/random_combined_faults_small_values.txt, 39).
        """
        reserved = self._reserved.get(job.id, 0)
        hopeful = job.has_progress()
        tasks = [
            task
            for task in job.pending_tasks(self._now, limit + reserved)
            if hopeful or job.chunk_of(task).last_attempts.get(task, 0) <= MAX_HOPEFUL_ATTEMPTS
        ]
        filled = self._round.place(job, len(tasks) - reserved)
        self._reserved[job.id] = reserved + len(filled)

    def _place(self, job: Job, tasks: list[int]) -> int:
        """Binds as many of the tasks as find capacity; returns how many."""
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
            "placing %d tasks of %s after %.1f s on %s%s",
            len(machines),
            job.id,
            self._wall - job.spec.submitted_at,
            " ".join(sorted(set(machines))),
            f", image {job.spec.image} not cached for {missing}" if missing else "",
        )
        return len(machines)

    def _bind(self, job: Job, task: int, machine: str) -> None:
        attempt = job.chunk_of(task).last_attempts.pop(task, 0) + 1
        agent_epoch = self._cluster.machines[machine].agent_epoch
        self._jobs.bind(job, task, Binding(attempt, machine, agent_epoch))
        self._commits.mark_changed(job, task)
