"""Backs off machines and tasks after a task has failed."""

import logging
from typing import TYPE_CHECKING, NamedTuple

from .job import Job, task_name
from .task_updates import TaskExited

if TYPE_CHECKING:
    from ..config import Settings

log = logging.getLogger("emberglade.jobs")

# Maximum backoff after errors, in lease durations (`lease_s`), for a machine or for a task of a
# faulty job: no task may wait for much longer than a minute while there is free capacity.
MAX_BACKOFF_LEASES = 4
# If a job's tasks ended in error on this many machines, the job is considered faulty, not the
# machines.
MIN_FAILED_MACHINES_OF_FAULTY_JOB = 3

# Exit reasons reported by agents.
ERROR = "error"
MACHINE_FULL_REASONS = ("full", "busy")
GANG_INCOMPLETE_REASONS = ("incomplete", "mates_gone")
UNKNOWN_IMAGE = "no_such"
DONE = "done"


class MachineBackoff(NamedTuple):
    """Until when no task is placed on a machine, and how many errors it has had."""

    until: float
    errors: int


NO_BACKOFF = MachineBackoff(0, 0)


class FailureBackoff:
    """Backs off machines on which tasks fail, and tasks of jobs that fail on several machines.

    The backoff of a machine after an error doubles with each error, up to MAX_BACKOFF_LEASES. A
    machine without capacity for the task is backed off for a fixed time.
    """

    def __init__(self, settings: "Settings") -> None:
        self._settings = settings
        self._machines: dict[str, MachineBackoff] = {}  # machine -> its backoff

    def machines(self, now: float) -> list[str]:
        """The machines that are backed off at the time `now`."""
        return [name for name, backoff in self._machines.items() if backoff.until > now]

    def record_exit(self, job: Job, update: TaskExited, now: float) -> None:
        """Backs off the machine or the task after an exit that leaves the task undone."""
        task, machine, reason = update.task, update.machine, update.reason
        heartbeat_s, lease_s = self._settings.agent_heartbeat_s, self._settings.lease_s
        if reason == ERROR:
            self._record_error(job, task, machine, now)
        elif reason in MACHINE_FULL_REASONS:
            errors = self._machines.get(machine, NO_BACKOFF).errors
            self._machines[machine] = MachineBackoff(now + heartbeat_s * 2, errors)
        elif reason in GANG_INCOMPLETE_REASONS or reason == DONE:
            job.retry_at[task] = now + heartbeat_s
        elif reason == UNKNOWN_IMAGE:
            job.retry_at[task] = now + lease_s / 2

    def _record_error(self, job: Job, task: int, machine: str, now: float) -> None:
        """Backs off the machine, or the task if its job has failed on several machines."""
        lease_s = self._settings.lease_s
        job.failed_machines.add(machine)
        failed_on = len(job.failed_machines)
        if failed_on >= MIN_FAILED_MACHINES_OF_FAULTY_JOB:
            job.retry_at[task] = now + lease_s * min(failed_on, MAX_BACKOFF_LEASES)
            consequence = "the job has failed on several machines, so the task is backed off"
        else:
            errors = self._machines.get(machine, NO_BACKOFF).errors
            until = now + lease_s * min(2**errors, MAX_BACKOFF_LEASES)
            self._machines[machine] = MachineBackoff(until, errors + 1)
            job.retry_at[task] = now
            consequence = "the machine is backed off"
        log.info(
            "task %s ended in error on machine %s; %s",
            task_name(job.id, task),
            machine,
            consequence,
        )
