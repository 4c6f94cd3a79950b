"""When the job manager places tasks, and in which order; what it binds is committed later."""

from typing import TYPE_CHECKING

from .. import placement
from ..actors import ActorPart, send_after
from .commits import Commits
from .failure_backoff import FailureBackoff
from .job import Job
from .placement_pass import PlacementPass
from .preemption import Preemption
from .view import View

if TYPE_CHECKING:
    from .manager import JobManager

# How many of each there are in an agent heartbeat.
MIN_DELAYS = 50  # until the next round, so that what comes together is placed together
MIN_PAUSES = 10  # after a round
GUARANTEE_UPDATES = 5  # before the jobs within a guarantee are worked out anew

PAUSE_ROUNDS = 3  # so many times as long as a round took, the next one waits at least

STARVATION_LEASES = 8  # agent leases after which a job that has not begun goes first


class Scheduler(ActorPart):
    """Plays rounds of placing, and leaves the bindings of own jobs."""

    def __init__(
        self,
        actor: "JobManager",
        view: View,
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

    def schedule_round(self) -> None:
        """Has a round played soon."""
        if not self._round_scheduled:
            self._round_scheduled = True
            min_delay_s = self._settings.agent_heartbeat_s / MIN_DELAYS
            delay_s = max(min_delay_s, self._next_round_at - self.now())
            send_after(delay_s, self.on_place)

    def play_if_due(self) -> None:
        """Plays the scheduled round at once, if the pause after the last one is over."""
        if self._round_scheduled and self.now() >= self._next_round_at:
            self.on_place()

    def on_place(self) -> None:
        """Handles `place`, sent to itself: plays a round, if own tasks are pending."""
        if not self._round_scheduled:
            return  # played already, before a commit
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
            self._play(now, pending, placement_round)

    def _jobs_with_pending_tasks(self) -> list[Job]:
        return [
            job
            for job in self._jobs.jobs.values()
            if not job.cancelled
            and job.pending_count()
            and not self._chunk_limits.needs_rechunking(job)
        ]

    def _play(
        self, now: float, pending: list[Job], placement_round: placement.PlacementRound
    ) -> None:
        """One round: takes capacity for everybody's pending tasks in order, and binds own ones.

        Every owner plays the round through for all jobs, in the same order: capacity that a free
        machine offers is not fought over by several controllers.
        """
        wall_time = self.system.wall_time()
        starving = {job.id for job in pending if self.is_starving(job, wall_time)}
        self._sort(pending, starving, wall_time)
        self._update_guaranteed(now)
        placement_pass = PlacementPass(
            self._view, self._commits, placement_round, starving, now, wall_time
        )
        placement_pass.play(pending)
        self._preemption.preempt(now, pending, self._guaranteed, placement_round)
        # A round costs more the more there is; so that rounds leave time for heartbeats, the next
        # one comes no sooner than a few times what this one took.
        self._next_round_at = self.now() + max(
            PAUSE_ROUNDS * (self.now() - now), self._settings.agent_heartbeat_s / MIN_PAUSES
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
        """Works out a few times a heartbeat which jobs are within their team's guarantee."""
        if now - self._guaranteed_at > self._settings.agent_heartbeat_s / GUARANTEE_UPDATES:
            self._guaranteed_at = now
            self._guaranteed = placement.guaranteed_jobs(
                (job for job in self._jobs.jobs.values() if not job.cancelled),
                self._settings.teams,
            )

    def is_starving(self, job: Job, wall_time: float) -> bool:
        """Whether a job that has not begun at all has waited so long that it goes first.

        An order by priority and due time alone leaves the largest and least urgent jobs pending for
        ever when more keeps coming than can be served.
        """
        limit_s = STARVATION_LEASES * self._settings.lease_s
        return (
            wall_time - job.spec.submitted_at > limit_s
            and not job.has_progress()
            and self.now() - job.last_bound_at > limit_s
        )
