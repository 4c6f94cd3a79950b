"""The tasks on one machine and their states: fetching, running, saving, exited."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from .agent_behavior import AgentBehavior, AttemptKey, TaskAttempt
from .submissions import Submission, job_of
from .wire import Command, CommandKind, ExitReason, TaskState

if TYPE_CHECKING:
    from .worker import Worker

HUNG_RETRY_S = 0.5  # the retry interval for actions of a hung machine
TIME_TO_FAIL_S = 0.5  # how long a task runs before it ends in error
CAPACITY_SLACK = 1e-9


class MachineTasks:
    """All tasks on one machine, several attempts of a task included.

    Attributes:
        attempts: The attempts that heartbeats list; exited and refused ones until they are cleared.
    """

    def __init__(self, machine: "Worker") -> None:
        self.machine = machine
        self.world = machine.world
        self.observer = machine.observer
        self.behavior = AgentBehavior(machine.world.generator(machine.name))
        self.attempts: dict[AttemptKey, TaskAttempt] = {}
        self.images: set[str] = set()
        self.start_count = 0

    # --- commands

    def execute(self, command: Command) -> None:
        """Executes one command; one that starts an attempt that is listed has no effect."""
        key = AttemptKey(command.task, command.attempt)
        found = self.attempts.get(key)
        if command.kind == CommandKind.START:
            if found is None:
                self.start(key)
        elif found is None:
            return
        elif command.kind == CommandKind.STOP and not found.exited:
            self.stop(command, key, found)
        elif command.kind == CommandKind.CLEAR and found.exited:
            del self.attempts[key]

    def start(self, key: AttemptKey) -> None:
        """Starts an attempt, or refuses to."""
        others = self.other_attempts(key)
        self.start_count += 1
        task = self.attempts[key] = TaskAttempt(key.attempt, self.start_count)
        job = self.observer.jobs.get(job_of(key.task))
        if job is None:
            self.exit(key, ExitReason.NO_SUCH_JOB)
        elif self.behavior.is_busy(others.values()):
            self.exit(key, ExitReason.BUSY)
            self.drop_older_refusals(others)
        elif not self.fits():
            self.exit(key, ExitReason.NO_CAPACITY)
        else:
            fetch_s = 0.0
            if job.image not in self.images:
                fetch_s = job.image_gb / self.machine.type.fetch_gb_per_s
            self.world.at(fetch_s, self.run, key, task.serial, job)
            self.machine.schedule_change_heartbeat()

    def other_attempts(self, key: AttemptKey) -> dict[AttemptKey, TaskAttempt]:
        """The other attempts of a task that are on the machine."""
        return {
            other: found
            for other, found in self.attempts.items()
            if other.task == key.task and other != key
        }

    def drop_older_refusals(self, others: dict[AttemptKey, TaskAttempt]) -> None:
        """Removes a task's earlier refusals, unless this agent lists all of them."""
        if self.behavior.keeps_all_refusals:
            return
        for key, found in others.items():
            if found.exit_reason is ExitReason.BUSY:
                del self.attempts[key]

    def stop(self, command: Command, key: AttemptKey, task: TaskAttempt) -> None:
        """Stops a task, which saves first if it has checkpoints and enough grace time."""
        job = self.observer.jobs[job_of(key.task)]
        saves = job.checkpoint_interval_s > 0 and command.grace_s >= job.checkpoint_save_s
        if task.state is TaskState.RUNNING and saves:
            task.state = TaskState.SAVING
            self.world.at(job.checkpoint_save_s, self.saved, key, task.serial)
            self.machine.schedule_change_heartbeat()
        elif task.state is not TaskState.SAVING or command.grace_s == 0:
            self.exit(key, ExitReason.STOPPED)

    # --- resource usage

    def live_names(self) -> list[str]:
        """The tasks that have not exited, fetching ones included."""
        return [key.task for key, task in self.attempts.items() if not task.exited]

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

    def run(self, key: AttemptKey, serial: int, job: Submission) -> None:
        """The image has been fetched, so the task runs."""
        if self.postpone_if_hung(self.run, key, serial, job):
            return
        task = self.find(key, serial, TaskState.FETCHING)
        if task is None:
            return
        self.images.add(job.image)
        task.state = TaskState.RUNNING
        self.observer.task_started(key.task, self.machine)
        self.machine.schedule_change_heartbeat()
        if self.machine.faulty or job.fails:
            self.world.at(TIME_TO_FAIL_S, self.complete, key, serial, ExitReason.ERROR)
        elif job.runs_to_completion:
            assert job.actual_run_s is not None
            self.world.at(job.actual_run_s, self.complete, key, serial, ExitReason.DONE)

    def complete(self, key: AttemptKey, serial: int, reason: ExitReason) -> None:
        """The task ends by itself."""
        if self.postpone_if_hung(self.complete, key, serial, reason):
            return
        if self.find(key, serial, TaskState.RUNNING) is not None:
            if reason is ExitReason.DONE:
                self.observer.task_completed(key.task)
            self.exit(key, reason)

    def saved(self, key: AttemptKey, serial: int) -> None:
        """A task that was stopped has saved its progress."""
        if self.postpone_if_hung(self.saved, key, serial):
            return
        task = self.find(key, serial, TaskState.SAVING)
        if task is not None:
            self.exit(key, ExitReason.STOPPED)
            task.checkpointed = True

    def exit(self, key: AttemptKey, reason: ExitReason) -> None:
        """Ends a task; heartbeats list it until it is cleared."""
        task = self.attempts[key]
        self.note_left(key, task)
        task.state = TaskState.EXITED
        task.exit_reason = reason
        self.machine.schedule_change_heartbeat()

    def kill_all(self) -> None:
        """Ends and removes all tasks."""
        for key, task in self.attempts.items():
            self.note_left(key, task)
        self.attempts = {}

    def note_left(self, key: AttemptKey, task: TaskAttempt) -> None:
        """Notifies the observer of the end of a task that was running or saving."""
        if task.state in (TaskState.RUNNING, TaskState.SAVING):
            self.observer.task_left(key.task, self.machine.name)

    def find(self, key: AttemptKey, serial: int, state: TaskState) -> TaskAttempt | None:
        """The attempt if it is still of this start and state, and the machine is not dead."""
        task = self.attempts.get(key)
        if task is None or task.serial != serial or task.state is not state:
            return None
        return None if self.machine.dead else task

    def postpone_if_hung(self, action: Callable[..., None], *args: object) -> bool:
        """Returns whether the machine is hung; if so, schedules a retry of the action."""
        if self.machine.hung:
            self.world.at(HUNG_RETRY_S, action, *args)
        return self.machine.hung
