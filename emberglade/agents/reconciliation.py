"""Reconciliation: compares the tasks on a machine with those that are committed for it.

The differences become commands. What is committed is read from the replica, which may be
outdated, and from cancellations that peers announced; docs/safety.md, 4 to 6, explains why no
command can do harm, however late it arrives.
"""

import logging
from dataclasses import dataclass, field
from enum import Enum

from ..jobs.binding import StopMode
from ..jobs.job import task_name
from .agent_records import AgentRecord
from .bindings import CommittedBindings, DesiredTask
from .committed_state import CommittedState
from .wire.agents import ClearTask, Command, HaltTask, StartTask
from .wire.tasks import EXITED, SAVING, ReportedTasks, TaskKey, TaskStatus

log = logging.getLogger("emberglade.agents")

# Grace period to save a checkpoint: the time that the job declares, times a factor, plus an extra.
SAVE_GRACE_FACTOR = 1.5
SAVE_GRACE_EXTRA_S = 1


class SyncNeed(Enum):
    """The kind of command that has to wait for a sync made after the heartbeat arrived."""

    CLEAR = "clear"  # to clear or halt an attempt that the replica does not bind to the machine
    START = "start"


@dataclass(slots=True)
class Reconciliation:
    """The answer to an agent.

    Attributes:
        sync_need: The kind of further commands that a sync would allow; None if there are none.
    """

    fencing_token: int
    commands: list[Command] = field(default_factory=list)
    sync_need: SyncNeed | None = None

    def fence(self, revision: int) -> None:
        """Raises the fencing token to at least this revision."""
        self.fencing_token = max(self.fencing_token, revision)


def halt_command(
    bindings: CommittedBindings, key: TaskKey, attempt: int, stop: StopMode
) -> HaltTask:
    """The command to stop an attempt of a live job, at once or after it saved a checkpoint."""
    if stop != StopMode.SAVE:
        return HaltTask(key, attempt, 0)
    save_s = bindings.jobs[key[0]].spec.checkpoint_save_s
    return HaltTask(key, attempt, save_s * SAVE_GRACE_FACTOR + SAVE_GRACE_EXTRA_S)


class Reconciler:
    """Reconciles one machine at a time."""

    def __init__(self, committed: CommittedState) -> None:
        self.committed = committed
        self.bindings = committed.bindings

    def reconcile(self, record: AgentRecord, synced: bool) -> Reconciliation:
        """Returns the answer to an agent's newest heartbeat.

        `synced`: the replica was synced after that heartbeat arrived.
        """
        heartbeat = record.heartbeat
        tasks = record.tasks or ReportedTasks()
        desired_tasks = self.bindings.of_machine(heartbeat.machine)
        result = Reconciliation(max(heartbeat.fencing_token, record.probe_token or 0))
        # From now on late copies of starts are refused, also if the agent lost the attempts' rows.
        result.fence(self.committed.unbound_revisions.get(heartbeat.machine, 0))
        for key, status in tasks:
            desired = desired_tasks.get(key)
            if desired is None or desired.attempt != status.attempt:
                self._end_undesired(result, heartbeat.machine, key, status, synced)
            elif status.state is not EXITED:
                self._stop_if_committed(result, key, status, desired)
            # An attempt that exited gets no command here: its exit is forwarded to the job's owner
            # (`update_forwarding`), and the task is cleared once the exit is committed.
        may_start = self._may_start(record)
        for key, desired in desired_tasks.items():
            present = tasks.attempt(key, desired.attempt) is not None
            if not present and desired.agent_epoch == heartbeat.agent_epoch:
                # Another attempt of the task has to end first.
                may_start_task = may_start and not tasks.has_live_attempt(key)
                self._start_absent(result, key, desired, may_start_task, synced)
        return result

    def _may_start(self, record: AgentRecord) -> bool:
        """Whether new tasks may be started on a machine."""
        return not (
            record.heartbeat.machine in self.committed.taints
            or record.unreachable
            or record.heartbeat.spot_notice_s is not None
        )

    def _stop_if_committed(
        self, result: Reconciliation, key: TaskKey, status: TaskStatus, desired: DesiredTask
    ) -> None:
        """Halts a bound task that has not ended, if a stop of it is committed."""
        stop, stop_revision = self.bindings.stop_of(key, desired)
        if stop == StopMode.KEEP:
            return
        result.fence(stop_revision)
        if stop != StopMode.SAVE or status.state is not SAVING:
            result.commands.append(halt_command(self.bindings, key, status.attempt, stop))

    def _end_undesired(
        self,
        result: Reconciliation,
        machine: str,
        key: TaskKey,
        status: TaskStatus,
        synced: bool,
    ) -> None:
        """Handles an attempt on a machine that, according to the replica, is not bound to it."""
        exited = status.state is EXITED
        cancelled = self.committed.cancelled
        if not exited and key[0] in cancelled:
            # Needs no sync: a cancellation is final, so even an outdated replica proves that no
            # task of the job may run.
            result.fence(cancelled.revision(key[0]))
            result.commands.append(HaltTask(key, status.attempt, 0))
        elif not synced:
            result.sync_need = result.sync_need or SyncNeed.CLEAR
        elif exited:
            # Once the agent has this fencing token, it rejects a delayed start of this attempt.
            result.fence(self.committed.revision)
            result.commands.append(ClearTask(key, status.attempt))
        else:
            log.info(
                "%s attempt %d runs on %s without a committed binding; halting it",
                task_name(*key),
                status.attempt,
                machine,
            )
            result.fence(self.committed.revision)
            result.commands.append(HaltTask(key, status.attempt, 0))

    def _start_absent(
        self,
        result: Reconciliation,
        key: TaskKey,
        desired: DesiredTask,
        may_start: bool,
        synced: bool,
    ) -> None:
        """Handles a bound attempt that is not on the machine."""
        stop, stop_revision = self.bindings.stop_of(key, desired)
        if stop != StopMode.KEEP:
            # Once the agent has this fencing token, it rejects a delayed start of the task.
            result.fence(stop_revision)
            return
        if not may_start:
            return
        if synced:
            result.commands.append(StartTask(key, desired.attempt))
        else:
            result.sync_need = SyncNeed.START
