"""Preemption: stops running tasks to free capacity for jobs that may preempt them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from .. import placement
from ..actors import ActorPart
from .binding import Binding, StopMode
from .job import Job
from .scheduling_view import SchedulingView
from .task_lifecycle import TaskLifecycle
from .task_updates import StopRequested

if TYPE_CHECKING:
    from .manager import JobManager

# Pending tasks for which victims are stopped in one round. Choosing victims checks all machines,
# and the next round follows soon.
MAX_PREEMPTING_TASKS_PER_ROUND = 16
MAX_TASKS_TRIED_PER_JOB = 64  # pending tasks of one job for which victims are sought in one round
# A task that is stopped after a shorter run does not count as started for its user (PROTOCOL, "How
# aims are counted").
MIN_COUNTED_RUN_S = 30

MAX_ROUNDS_PER_HEARTBEAT = 5  # preemption rounds per agent heartbeat interval
# Agent heartbeat intervals after which a stop request to another owner may be repeated.
STOP_REQUEST_TIMEOUT_HEARTBEATS = 2
# Lease durations (`lease_s`) for which a task that was bound after a long wait is not preempted.
LATE_START_PROTECTION_LEASES = 4
# Index into PRIORITIES; jobs of lower priorities do not preempt because of their age.
LOWEST_PRIORITY_PREEMPTING_BY_AGE = 1

STOP_REASON = "room for "  # a log text that is also sent to other owners, so it must not change


class Preemption(ActorPart):
    """Selects and stops victims within a placement round.

    `request_stop` is called with a StopRequested for each victim whose job another controller owns.
    """

    def __init__(
        self,
        actor: "JobManager",
        view: SchedulingView,
        tasks: TaskLifecycle,
        request_stop: Callable[[StopRequested], None],
    ) -> None:
        super().__init__(actor)
        self._settings = view.settings
        self._jobs, self._cluster = view.jobs, view.cluster
        self._owners, self._chunk_limits = view.owners, view.chunk_limits
        self._tasks, self._request_stop = tasks, request_stop
        self._last_round_at = float("-inf")
        # (job id, task, attempt) -> when the stop was requested from the job's owner
        self._requested: dict[tuple[str, int, int], float] = {}

    def preempt(
        self,
        now: float,
        pending: list[Job],
        guaranteed: set[str],
        placement_round: placement.PlacementRound,
    ) -> None:
        """Stops running tasks to free capacity for those pending jobs that may preempt.

        `guaranteed` contains the ids of the jobs within their team's guarantee.
        """
        heartbeat_s = self._settings.agent_heartbeat_s
        if now - self._last_round_at < heartbeat_s / MAX_ROUNDS_PER_HEARTBEAT:
            return
        preemptors = self._find_preemptors(now, pending, guaranteed)
        if not preemptors:
            return
        self._last_round_at = now
        self._requested = {
            key: at
            for key, at in self._requested.items()
            if now - at < STOP_REQUEST_TIMEOUT_HEARTBEATS * heartbeat_s
        }
        self._count_stopping_as_free(placement_round)
        stoppable = self._stoppable_tasks(now, preemptors)
        self._preempt_for(now, preemptors, stoppable, placement_round)

    def _may_preempt_now(self, job: Job, guaranteed: set[str]) -> bool:
        """Whether a pending job is urgent enough to preempt others now.

        A service, or a job within its team's guarantee, may preempt after a short wait. Any other
        job with a deadline may preempt only when little time is left until the deadline.
        """
        spec = job.spec
        heartbeat_s, lease_s = self._settings.agent_heartbeat_s, self._settings.lease_s
        age = self.system.wall_time() - spec.submitted_at
        if spec.service:
            return age > 2 * heartbeat_s / 10
        if job.id in guaranteed and age > heartbeat_s:
            return True
        if spec.deadline_s is not None:
            return spec.deadline_s - age < spec.estimated_run_s * 1.5 + lease_s
        return spec.priority <= LOWEST_PRIORITY_PREEMPTING_BY_AGE and age > lease_s

    def _find_preemptors(self, now: float, pending: list[Job], guaranteed: set[str]) -> list[Job]:
        """Owned pending jobs that may preempt now and for which a running job may be stopped."""
        preemptors = [
            job
            for job in pending
            if self._owners.owns(job)
            and job.pending_count()
            and self._may_preempt_now(job, guaranteed)
        ]
        if not preemptors:
            return []
        rules = self._preemption_rules()
        running = {
            placement.preemption_class(job.spec): job.spec
            for job in self._jobs.jobs.values()
            if job.binding_count()
        }
        return [
            job
            for job in preemptors
            if any(rules.may_preempt(job.spec, victim) for victim in running.values())
        ]

    def _preemption_rules(self) -> placement.PreemptionRules:
        return placement.PreemptionRules(self._cluster.capacity, self._settings.teams)

    def _count_stopping_as_free(self, placement_round: placement.PlacementRound) -> None:
        """Counts the capacity of tasks being stopped as free, to avoid choosing excess victims."""
        for job in self._jobs.jobs.values():
            for binding in [
                binding for _, binding in job.bindings() if binding.stop or job.cancelled
            ]:
                placement_round.release(job.spec, binding.machine)
        for job_id, task, attempt in self._requested:
            requested = self._jobs.get(job_id)
            if requested is None:
                continue
            bound = requested.chunk_of(task).bindings.get(task)
            if bound is None or bound.attempt != attempt or bound.stop or requested.cancelled:
                continue
            placement_round.release(requested.spec, bound.machine)

    def _stoppable_tasks(
        self, now: float, preemptors: list[Job]
    ) -> dict[str, list[placement.BoundTask]]:
        """{machine: [BoundTask]} of the tasks that may be stopped, those of least cost first."""
        rules = self._preemption_rules()
        classes = {(job.spec.priority, job.spec.team): job.spec for job in preemptors}
        specs = list(classes.values())
        stoppable: dict[str, list[placement.BoundTask]] = {}
        for job in self._jobs.jobs.values():
            if (
                job.cancelled
                or self._chunk_limits.needs_rechunking(job)
                or not any(rules.may_preempt(spec, job.spec) for spec in specs)
            ):
                continue
            for task, binding in job.bindings():
                if (
                    not binding.stop
                    and (job.id, task, binding.attempt) not in self._requested
                    and not self._is_late_start(job, binding, now)
                ):
                    stoppable.setdefault(binding.machine, []).append(
                        placement.BoundTask(job, task, binding)
                    )
        for tasks in stoppable.values():
            tasks.sort(key=lambda row: placement.victim_order(row, self._is_recent_start(row, now)))
        return stoppable

    def _is_late_start(self, job: Job, binding: Binding, now: float) -> bool:
        """Whether a task is protected because it has recently been bound after a long wait.

        The protection ends once a task of the job is done.

        Without this protection, a job of a higher priority preempts a starving job's tasks before
        they start. The starving job is then placed first again, this repeats, and neither job runs
        (combined_faults/aging_and_preemption.txt).
        """
        bound_s = now - binding.since
        age = self.system.wall_time() - job.spec.submitted_at - bound_s
        return bound_s < LATE_START_PROTECTION_LEASES * self._settings.lease_s < age / 2 and (
            not job.done_count()
        )

    @staticmethod
    def _is_recent_start(running: placement.BoundTask, now: float) -> bool:
        """Whether a task was bound so recently that it would not count as started if stopped."""
        return now - running.binding.since < MIN_COUNTED_RUN_S

    def _preempt_for(
        self,
        now: float,
        preemptors: list[Job],
        stoppable: dict[str, list[placement.BoundTask]],
        placement_round: placement.PlacementRound,
    ) -> None:
        """Selects and stops victims for one pending task at a time."""
        tasks_left = MAX_PREEMPTING_TASKS_PER_ROUND
        for job in preemptors:
            for _ in range(min(job.pending_count(), MAX_TASKS_TRIED_PER_JOB)):
                victims = self._victims_for(now, job, stoppable, placement_round)
                if victims is None:
                    break
                if not victims:
                    continue
                for victim in victims:
                    victim_job, _, binding = victim
                    stoppable[binding.machine].remove(victim)
                    placement_round.release(victim_job.spec, binding.machine)
                    self._stop(now, victim, STOP_REASON + job.id)
                placement_round.place(job, 1)
                tasks_left -= 1
                if tasks_left <= 0:
                    return

    def _victims_for(
        self,
        now: float,
        job: Job,
        stoppable: dict[str, list[placement.BoundTask]],
        placement_round: placement.PlacementRound,
    ) -> list[placement.BoundTask] | None:
        """The victims for one more task: empty if it fits already; None if no victims suffice."""
        capacity, teams = self._cluster.capacity, self._settings.teams

        def is_recent_start(running: placement.BoundTask) -> bool:
            return self._is_recent_start(running, now)

        if not capacity.tasks_within_quota(job.spec):
            victims = placement.victims_for_quota(
                job.spec, stoppable, capacity, teams, is_recent_start
            )
            helps = victims and placement.has_fit(job, victims, placement_round)
            return victims if helps else None
        if placement_round.place(job, 1):
            return []
        return placement.victims_for_capacity(
            job, stoppable, placement_round, teams, is_recent_start
        )

    def _stop(self, now: float, running: placement.BoundTask, reason: str) -> None:
        job, task, binding = running
        if self._owners.owns(job):
            self._tasks.stop(job, task, StopMode.SAVE, reason)
        else:
            self._requested[(job.id, task, binding.attempt)] = now
            self._request_stop(StopRequested(job.id, task, binding.attempt, StopMode.SAVE, reason))
