"""The tasks on one machine and their states: fetching, running, saving, exited."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .submissions import Submission, job_of
from .wire import Command, CommandKind, ExitReason, TaskState

if TYPE_CHECKING:
    from .worker import Worker

HUNG_RETRY_S = 0.5  # the retry interval for actions of a hung machine
TIME_TO_FAIL_S = 0.5  # how long a task runs before it ends in error
CAPACITY_SLACK = 1e-9


@dataclass
class TaskAttempt:
    """One attempt of a task on a machine.

    Attributes:
        serial: Number of this start among all task starts on the machine. An event that was
            scheduled for another start of the task is ignored.
    """

    attempt: int
    serial: int
    state: TaskState = TaskState.FETCHING
    exit_reason: ExitReason | None = None
    checkpointed: bool = False


class MachineTasks:
    """All tasks on one machine."""

    def __init__(self, machine: "Worker") -> None:
        self.machine = machine
        self.world = machine.world
        self.observer = machine.observer
        self.by_name: dict[str, TaskAttempt] = {}
        self.images: set[str] = set()
        self.start_count = 0

    # --- commands

    def execute(self, command: Command) -> None:
        """Executes one command."""
        task = self.by_name.get(command.task)
        if command.kind == CommandKind.START:
            self.start(command, task)
            return
        if task is None or task.attempt != command.attempt:
            return
        if command.kind == CommandKind.STOP and task.state is not TaskState.EXITED:
            self.stop(command, task)
        elif command.kind == CommandKind.CLEAR and task.state is TaskState.EXITED:
            del self.by_name[command.task]

    def start(self, command: Command, present: TaskAttempt | None) -> None:
        """Starts a task, or refuses to; a repeated command for the same attempt has no effect."""
        name = command.task
        if present is not None:
            if present.attempt != command.attempt:
                # Another attempt is present, so the start is refused as busy. The heartbeat omits
                # the refusal, which suffices for these tests.
                self.machine.schedule_change_heartbeat()
            return
        self.start_count += 1
        task = self.by_name[name] = TaskAttempt(command.attempt, self.start_count)
        job = self.observer.jobs.get(job_of(name))
        if job is None:
            self.exit(name, ExitReason.NO_SUCH_JOB)
        elif not self.fits():
            self.exit(name, ExitReason.NO_CAPACITY)
        else:
            fetch_s = 0.0
            if job.image not in self.images:
                fetch_s = job.image_gb / self.machine.type.fetch_gb_per_s
            self.world.at(fetch_s, self.run, name, task.serial, job)
            self.machine.schedule_change_heartbeat()

    def stop(self, command: Command, task: TaskAttempt) -> None:
        """Stops a task, which saves first if it has checkpoints and enough grace time."""
        job = self.observer.jobs[job_of(command.task)]
        saves = job.checkpoint_interval_s > 0 and command.grace_s >= job.checkpoint_save_s
        if task.state is TaskState.RUNNING and saves:
            task.state = TaskState.SAVING
            self.world.at(job.checkpoint_save_s, self.saved, command.task, task.serial)
            self.machine.schedule_change_heartbeat()
        elif task.state is not TaskState.SAVING or command.grace_s == 0:
            self.exit(command.task, ExitReason.STOPPED)

    # --- resource usage

    def live_names(self) -> list[str]:
        """The tasks that have not exited, fetching ones included."""
        return [name for name, task in self.by_name.items() if task.state is not TaskState.EXITED]

    def usage(self) -> tuple[float, float]:
        """The resources used by live tasks, as (cpus, ram_gb)."""
        jobs = [self.observer.jobs[job_of(name)] for name in self.live_names()]
        return sum(job.cpus for job in jobs), sum(job.ram_gb for job in jobs)

    def fits(self) -> bool:
        """Whether all live tasks together fit the machine."""
        cpus, ram_gb = self.usage()
        machine_type = self.machine.type
        return (
            cpus <= machine_type.cpus + CAPACITY_SLACK
            and ram_gb <= machine_type.ram_gb + CAPACITY_SLACK
        )

    # --- progress of a task

    def run(self, name: str, serial: int, job: Submission) -> None:
        """The image has been fetched, so the task runs."""
        if self.postpone_if_hung(self.run, name, serial, job):
            return
        task = self.find(name, serial, TaskState.FETCHING)
        if task is None:
            return
        self.images.add(job.image)
        task.state = TaskState.RUNNING
        self.observer.task_started(name, self.machine)
        self.machine.schedule_change_heartbeat()
        if self.machine.faulty or job.fails:
            self.world.at(TIME_TO_FAIL_S, self.complete, name, serial, ExitReason.ERROR)
        elif job.runs_to_completion:
            assert job.actual_run_s is not None
            self.world.at(job.actual_run_s, self.complete, name, serial, ExitReason.DONE)

    def complete(self, name: str, serial: int, reason: ExitReason) -> None:
        """The task ends by itself."""
        if self.postpone_if_hung(self.complete, name, serial, reason):
            return
        if self.find(name, serial, TaskState.RUNNING) is not None:
            if reason is ExitReason.DONE:
                self.observer.task_completed(name)
            self.exit(name, reason)

    def saved(self, name: str, serial: int) -> None:
        """A task that was stopped has saved its progress."""
        if self.postpone_if_hung(self.saved, name, serial):
            return
        task = self.find(name, serial, TaskState.SAVING)
        if task is not None:
            self.exit(name, ExitReason.STOPPED)
            task.checkpointed = True

    def exit(self, name: str, reason: ExitReason) -> None:
        """Ends a task; heartbeats list it until it is cleared."""
        task = self.by_name[name]
        self.note_left(name, task)
        task.state = TaskState.EXITED
        task.exit_reason = reason
        self.machine.schedule_change_heartbeat()

    def kill_all(self) -> None:
        """Ends and removes all tasks."""
        for name, task in self.by_name.items():
            self.note_left(name, task)
        self.by_name = {}

    def note_left(self, name: str, task: TaskAttempt) -> None:
        """Notifies the observer of the end of a task that was running or saving."""
        if task.state in (TaskState.RUNNING, TaskState.SAVING):
            self.observer.task_left(name, self.machine.name)

    def find(self, name: str, serial: int, state: TaskState) -> TaskAttempt | None:
        """The task if it is still of this start and in this state, and the machine is not dead."""
        task = self.by_name.get(name)
        if task is None or task.serial != serial or task.state is not state:
            return None
        return None if self.machine.dead else task

    def postpone_if_hung(self, action: Callable[..., None], *args: object) -> bool:
        """Returns whether the machine is hung; if so, schedules a retry of the action."""
        if self.machine.hung:
            self.world.at(HUNG_RETRY_S, action, *args)
        return self.machine.hung
