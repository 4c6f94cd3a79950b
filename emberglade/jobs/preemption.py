"""Which running tasks are stopped so that pressing jobs find capacity."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from .. import placement
from ..actors import ActorPart
from .binding import Binding, StopMode
from .job import Job
from .task_lifecycle import TaskLifecycle
from .task_updates import StopRequested
from .view import View

if TYPE_CHECKING:
    from .manager import JobManager

MAX_STOPS = 16  # in a round: each costs a look at all machines, and the next round comes soon
MAX_STOPS_FOR_JOB = 64
# A start that is stopped sooner does not count as one for its user (PROTOCOL, "How aims are
# counted").
FRESH_START_S = 30

ROUNDS_IN_HEARTBEAT = 5  # rounds of stops in an agent heartbeat, at most
REQUEST_HEARTBEATS = 2  # agent heartbeats after which a stop that was asked for is asked for again
LATE_START_LEASES = 4  # agent leases for which the first sign of a job that waited long is left
MAX_PRESSING_PRIORITY = 1  # index into PRIORITIES: jobs of lower priority are not pressing by age

STOP_REASON = "room for "  # for the log; sent to other owners, so it stays as it is


class Preemption(ActorPart):
    """Stops tasks for others, within a round of placing.

    `request_stop` is called with a StopRequested for a task of a job that another controller holds.
    """

    def __init__(
        self,
        actor: "JobManager",
        view: View,
        tasks: TaskLifecycle,
        request_stop: Callable[[StopRequested], None],
    ) -> None:
        super().__init__(actor)
        self._settings = view.settings
        self._jobs, self._cluster = view.jobs, view.cluster
        self._owners, self._chunk_limits = view.owners, view.chunk_limits
        self._tasks, self._request_stop = tasks, request_stop
        self._last_round_at = float("-inf")
        # (job, task, attempt) -> when its owner was asked to stop it
        self._requested: dict[tuple[str, int, int], float] = {}

    def preempt(
        self,
        now: float,
        pending: list[Job],
        guaranteed: set[str],
        placement_round: placement.PlacementRound,
    ) -> None:
        """Stops what the pressing ones among the pending jobs need to find capacity.

        `guaranteed` are the ids of the jobs within their team's guarantee.
        """
        heartbeat_s = self._settings.agent_heartbeat_s
        if now - self._last_round_at < heartbeat_s / ROUNDS_IN_HEARTBEAT:
            return
        pressing = self._jobs_worth_preempting_for(now, pending, guaranteed)
        if not pressing:
            return
        self._last_round_at = now
        self._requested = {
            key: at
            for key, at in self._requested.items()
            if now - at < REQUEST_HEARTBEATS * heartbeat_s
        }
        self._count_stopping_as_free(placement_round)
        stoppable = self._stoppable_tasks(now, pressing)
        self._preempt_for(now, pressing, stoppable, placement_round)

    def _is_pressing(self, job: Job, guaranteed: set[str]) -> bool:
        """Whether a pending job may have others stopped now: a deadline allows patience."""
        spec = job.spec
        heartbeat_s, lease_s = self._settings.agent_heartbeat_s, self._settings.lease_s
        age = self.system.wall_time() - spec.submitted_at
        if spec.service:
            return age > 2 * heartbeat_s / 10
        if job.id in guaranteed and age > heartbeat_s:
            return True
        if spec.deadline_s is not None:
            return spec.deadline_s - age < spec.estimated_run_s * 1.5 + lease_s
        return spec.priority <= MAX_PRESSING_PRIORITY and age > lease_s

    def _jobs_worth_preempting_for(
        self, now: float, pending: list[Job], guaranteed: set[str]
    ) -> list[Job]:
        """Own pressing jobs for which some running job may be stopped at all."""
        pressing = [
            job
            for job in pending
            if self._owners.owns(job) and job.pending_count() and self._is_pressing(job, guaranteed)
        ]
        if not pressing:
            return []
        rules = self._preemption_rules()
        running = {
            placement.preemption_class(job.spec): job.spec
            for job in self._jobs.jobs.values()
            if job.binding_count()
        }
        return [
            job
            for job in pressing
            if any(rules.may_preempt(job.spec, victim) for victim in running.values())
        ]

    def _preemption_rules(self) -> placement.PreemptionRules:
        return placement.PreemptionRules(self._cluster.capacity, self._settings.teams)

    def _count_stopping_as_free(self, placement_round: placement.PlacementRound) -> None:
        """What is being stopped already will be free; it is not stopped for twice."""
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
        self, now: float, pressing: list[Job]
    ) -> dict[str, list[placement.BoundTask]]:
        """{machine: [BoundTask]} of what may be stopped there, the cheapest first."""
        rules = self._preemption_rules()
        classes = {(job.spec.priority, job.spec.team): job.spec for job in pressing}
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
            tasks.sort(key=lambda row: placement.victim_order(row, self._is_fresh(row, now)))
        return stoppable

    def _is_late_start(self, job: Job, binding: Binding, now: float) -> bool:
        """Whether a task is the first sign of a job that waited long: it is left for a while.

        Once broken: what had its turn was stopped for a higher priority before it began, had its
        turn again, and so on; neither ran (combined_faults/aging_and_preemption.txt).
        """
        bound_s = now - binding.since
        age = self.system.wall_time() - job.spec.submitted_at - bound_s
        return bound_s < LATE_START_LEASES * self._settings.lease_s < age / 2 and (
            not job.done_count()
        )

    @staticmethod
    def _is_fresh(running: placement.BoundTask, now: float) -> bool:
        """Whether a task has been bound too lately to count as a start once it is stopped."""
        return now - running.binding.since < FRESH_START_S

    def _preempt_for(
        self,
        now: float,
        pressing: list[Job],
        stoppable: dict[str, list[placement.BoundTask]],
        placement_round: placement.PlacementRound,
    ) -> None:
        """Picks victims for one task after the other, and asks for their stop."""
        stops_left = MAX_STOPS
        for job in pressing:
            for _ in range(min(job.pending_count(), MAX_STOPS_FOR_JOB)):
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
                stops_left -= 1
                if stops_left <= 0:
                    return

    def _victims_for(
        self,
        now: float,
        job: Job,
        stoppable: dict[str, list[placement.BoundTask]],
        placement_round: placement.PlacementRound,
    ) -> list[placement.BoundTask] | None:
        """What to stop for one more task: nothing if there is capacity; None if nothing helps."""
        capacity, teams = self._cluster.capacity, self._settings.teams

        def fresh(running: placement.BoundTask) -> bool:
            return self._is_fresh(running, now)

        if not capacity.tasks_within_quota(job.spec):
            victims = placement.victims_for_quota(job.spec, stoppable, capacity, teams, fresh)
            helps = victims and placement.has_fit(job, victims, placement_round)
            return victims if helps else None
        if placement_round.place(job, 1):
            return []
        return placement.victims_for_capacity(job, stoppable, placement_round, teams, fresh)

    def _stop(self, now: float, running: placement.BoundTask, reason: str) -> None:
        job, task, binding = running
        if self._owners.owns(job):
            self._tasks.stop(job, task, StopMode.SAVE, reason)
        else:
            self._requested[(job.id, task, binding.attempt)] = now
            self._request_stop(StopRequested(job.id, task, binding.attempt, StopMode.SAVE, reason))
