"""Runs placement rounds: when a round runs, and in which order it places jobs."""

from typing import TYPE_CHECKING

from .. import placement
from ..actors import ActorPart, send_after
from .commits import Commits
from .failure_backoff import FailureBackoff
from .job import Job
from .placement_pass import PlacementPass
from .preemption import Preemption
from .scheduling_view import SchedulingView

if TYPE_CHECKING:
    from .manager import JobManager

# The minimum delay before a round is the agent heartbeat interval divided by this ratio. Because of
# the delay, tasks that become pending at nearly the same time are placed in one round.
HEARTBEAT_TO_MIN_DELAY_RATIO = 50
# The minimum pause between rounds is the agent heartbeat interval divided by this ratio.
HEARTBEAT_TO_MIN_PAUSE_RATIO = 10
# How often, at most, the jobs within their team's guarantee are recomputed per agent heartbeat
# interval.
GUARANTEE_UPDATES_PER_HEARTBEAT = 5

MIN_PAUSE_TO_ROUND_RATIO = 3  # minimum pause after a round, relative to the round's duration

# Lease durations (`lease_s`) after which a job without progress is placed first.
STARVATION_LEASES = 8


class Scheduler(ActorPart):
    """Runs placement rounds and binds pending tasks of the jobs that this controller owns.

    The bindings are committed later.
    """

    def __init__(
        self,
        actor: "JobManager",
        view: SchedulingView,
        commits: Commits,
        backoff: FailureBackoff,
        preemption: Preemption,
    ) -> None:
        super().__init__(actor)
        self._settings, self._view = view.settings, view
        self._jobs, self._cluster = view.jobs, view.cluster
        self._owners, self._chunk_limits = view.owners, view.chunk_limits
        self._commits, self._backoff, self._preemption = commits, backoff, preemption
        self._round_scheduled = False
        self._next_round_at = float("-inf")
        self._guaranteed: set[str] = set()  # jobs within their team's guarantee
        self._guaranteed_at = float("-inf")
        self._failed_jobs: set[str] = set()  # whose placement has raised, so it was logged

    def schedule_round(self) -> None:
        """Schedules a round, unless one is scheduled already."""
        if not self._round_scheduled:
            self._round_scheduled = True
            min_delay_s = self._settings.agent_heartbeat_s / HEARTBEAT_TO_MIN_DELAY_RATIO
            delay_s = max(min_delay_s, self._next_round_at - self.now())
            send_after(delay_s, self.on_place)

    def run_if_due(self) -> None:
        """Runs the scheduled round now, if the pause after the last one has passed."""
        if self._round_scheduled and self.now() >= self._next_round_at:
            self.on_place()

    def on_place(self) -> None:
        """Handles `place`, sent to itself: runs a round if tasks of owned jobs are pending.

        No round runs while the machine types are unknown or a commit is in flight. The manager's
        next `tick`, or an earlier message, schedules another round.
        """
        if not self._round_scheduled:
            return  # `run_if_due` has already run this round, before a commit
        self._round_scheduled = False
        now = self.now()
        if not self._cluster.machine_types or self._commits.in_flight is not None:
            return
        pending = self._jobs_with_pending_tasks()
        if not any(self._owners.owns(job) for job in pending):
            return
        usable = self._cluster.untainted_machines()
        usable.difference_update(self._backoff.machines(now))
        cluster = self._cluster
        with placement.PlacementRound(cluster.capacity, usable, cluster.images) as placement_round:
            self._run_round(now, pending, placement_round)

    def _jobs_with_pending_tasks(self) -> list[Job]:
        return [
            job
            for job in self._jobs.jobs.values()
            if not job.cancelled
            and job.pending_count()
            and not self._chunk_limits.needs_rechunking(job)
        ]

    def _run_round(
        self, now: float, pending: list[Job], placement_round: placement.PlacementRound
    ) -> None:
        """Reserves capacity for the pending tasks of all jobs in order; binds those of owned jobs.

        Every owner runs the round for all jobs and in the same order, so that controllers do not
        compete for the same free capacity.
        """
        wall_time = self.system.wall_time()
        starving = {job.id for job in pending if self.is_starving(job, wall_time)}
        self._sort(pending, starving, wall_time)
        self._update_guaranteed(now)
        placement_pass = PlacementPass(
            self._view,
            self._commits,
            placement_round,
            starving,
            self._failed_jobs,
            now,
            wall_time,
        )
        placement_pass.run(pending)
        self._preemption.preempt(now, pending, self._guaranteed, placement_round)
        # The cost of a round grows with the numbers of jobs and machines. A pause of several times
        # its duration leaves the actor time to handle heartbeats.
        self._next_round_at = self.now() + max(
            MIN_PAUSE_TO_ROUND_RATIO * (self.now() - now),
            self._settings.agent_heartbeat_s / HEARTBEAT_TO_MIN_PAUSE_RATIO,
        )

    def _sort(self, pending: list[Job], starving: set[str], wall_time: float) -> None:
        objectives = self._settings.objectives
        pending.sort(
            key=lambda job: (
                job.id not in starving,
                placement.placement_order(job.spec, objectives, wall_time),
            )
        )

    def _update_guaranteed(self, now: float) -> None:
        """Recomputes the jobs within their team's guarantee, if the last result is outdated."""
        if (
            now - self._guaranteed_at
            > self._settings.agent_heartbeat_s / GUARANTEE_UPDATES_PER_HEARTBEAT
        ):
            self._guaranteed_at = now
            self._guaranteed = placement.guaranteed_jobs(
                (job for job in self._jobs.jobs.values() if not job.cancelled),
                self._settings.teams,
            )

    def is_starving(self, job: Job, wall_time: float) -> bool:
        """Whether a job without progress has waited so long that it is placed first.

        Under permanent overload, an order by priority and due time alone would keep the largest
        and least urgent jobs pending indefinitely.
        """
        limit_s = STARVATION_LEASES * self._settings.lease_s
        return (
            wall_time - job.spec.submitted_at > limit_s
            and not job.has_progress()
            and self.now() - job.last_bound_at > limit_s
        )
