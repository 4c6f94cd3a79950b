"""The lifecycle of bound tasks: they exit, are stopped, or are released from a lost machine."""

import logging
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from ..actors import ActorPart
from .binding import Binding, StopMode
from .commits import Commits
from .failure_backoff import DONE, FailureBackoff
from .job import Job, task_name
from .scheduling_view import SchedulingView
from .task_updates import StopRequested, TaskExited, TaskGone, TaskUpdate

if TYPE_CHECKING:
    from .manager import JobManager

log = logging.getLogger("emberglade.jobs")

# Machine taints set by the leader (emberglade/fleet/taints.py).
LEASE_EXPIRED_TAINTS = ("ended", "gone")  # each proves that the machine runs no task
DRAIN_TAINT = "drain"

MAX_MACHINES_LOGGED = 4


class TaskLifecycle(ActorPart):
    """Changes the bindings of the jobs that this controller owns.

    The changes follow from task updates, preemption and the leader's taints. A task update results
    from an agent's heartbeat, or is a stop request of another controller that preempts the task.
    """

    def __init__(
        self,
        actor: "JobManager",
        view: SchedulingView,
        commits: Commits,
        backoff: FailureBackoff,
        schedule_placement: Callable[[], None],
    ) -> None:
        super().__init__(actor)
        self._jobs, self._cluster = view.jobs, view.cluster
        self._owners, self._chunk_limits = view.owners, view.chunk_limits
        self._commits, self._backoff = commits, backoff
        self._schedule_placement = schedule_placement

    def may_change(self, job: Job) -> bool:
        """Whether this controller owns the job and may change it now."""
        return self._owners.owns(job) and not self._chunk_limits.needs_rechunking(job)

    def apply(self, update: TaskUpdate) -> None:
        """Applies a status update of one attempt, or a request to stop it.

        Updates of jobs that this controller does not own, or may not change now, are ignored. The
        agents' next heartbeats lead to the same updates again, and a controller that preempts
        repeats its request if it still needs the capacity.
        """
        job = self._jobs.get(update.job_id)
        if job is None or not self.may_change(job) or not 0 <= update.task < job.spec.tasks:
            return
        binding = job.chunk_of(update.task).bindings.get(update.task)
        match update:
            case TaskExited():
                self.task_exited(job, binding, update)
            case TaskGone():
                self.release(job, update.task, update.attempt, update.machine)
                self._commits.mark_if_finished(job)
            case StopRequested():
                if (
                    binding is not None
                    and binding.attempt == update.attempt
                    and binding.stop == StopMode.KEEP
                ):
                    self.stop(job, update.task, update.mode, update.reason)

    def task_exited(self, job: Job, binding: Binding | None, update: TaskExited) -> None:
        """Records the exit of an attempt; does nothing if that attempt is no longer bound."""
        if binding is None or not binding.is_attempt(update.attempt, update.machine):
            return
        task, chunk = update.task, job.chunk_of(update.task)
        self._jobs.unbind(job, task)
        if update.reason == DONE and not job.spec.service:
            chunk.done.add(task)
        else:
            chunk.last_attempts[task] = update.attempt
            self._backoff.record_exit(job, update, self.now())
        self._commits.mark_changed(job, task, immediate=False)
        self._commits.mark_if_finished(job)
        self._schedule_placement()

    def release(self, job: Job, task: int, attempt: int, machine: str) -> None:
        """Removes the binding of an attempt that can no longer run, if that attempt is bound."""
        chunk = job.chunk_of(task)
        binding = chunk.bindings.get(task)
        if binding is not None and binding.is_attempt(attempt, machine):
            self._jobs.unbind(job, task)
            chunk.last_attempts[task] = attempt
            self._commits.mark_changed(job, task)

    def stop(self, job: Job, task: int, mode: int, reason: str) -> None:
        """Marks a bound task to be stopped; `mode` is a StopMode, `reason` is for the log.

        A task that saves no checkpoints is stopped at once, also with StopMode.SAVE.
        """
        binding = job.chunk_of(task).bindings[task]
        log.info(
            "stopping task %s on machine %s: %s", task_name(job.id, task), binding.machine, reason
        )
        saves = mode == StopMode.SAVE and job.spec.checkpoint_interval_s > 0
        binding.stop = StopMode.SAVE if saves else StopMode.STOP
        self._commits.mark_changed(job, task)

    def tainted_machines(self) -> list[str]:
        """The machines with bound tasks that must be released or stopped because of a taint."""
        return [
            machine
            for machine, taint in self._cluster.taints.items()
            if (taint in LEASE_EXPIRED_TAINTS or taint == DRAIN_TAINT)
            and machine in self._cluster.bound_machines()
        ]

    def apply_taints(self, machines: Iterable[str]) -> None:
        """Releases the tasks of machines that can't run them any more, and drains machines.

        A machine can't run its tasks any more if its lease has expired (taint "ended") or if it was
        scaled in (taint "gone"). The tasks of a machine with taint "drain" are stopped.

        Only tasks of jobs that this controller owns are changed.
        """
        released: dict[str, list[str]] = {}
        for machine in machines:
            taint = self._cluster.taints.get(machine)
            for job, task, binding in list(self._cluster.tasks_on(machine).values()):
                if not self.may_change(job):
                    continue
                if taint in LEASE_EXPIRED_TAINTS:
                    released.setdefault(machine, []).append(task_name(job.id, task))
                    self.release(job, task, binding.attempt, machine)
                    self._commits.mark_if_finished(job)
                elif taint == DRAIN_TAINT and binding.stop == StopMode.KEEP:
                    self.stop(job, task, StopMode.SAVE, "its machine is drained")
        if released:
            log_released(released)


def log_released(released: dict[str, list[str]]) -> None:
    """Logs which tasks were released to be rescheduled: {machine: names of its tasks}."""
    shown = [
        f"{machine} ({' '.join(names)})"
        for machine, names in list(released.items())[:MAX_MACHINES_LOGGED]
    ]
    log.info(
        "rescheduling %d tasks of %d machines that can't run them any more: %s%s",
        sum(map(len, released.values())),
        len(released),
        ", ".join(shown),
        " and more" if len(released) > MAX_MACHINES_LOGGED else "",
    )
