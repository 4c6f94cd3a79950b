"""What rests after a task has failed: the machine, or the task."""

import logging
from typing import TYPE_CHECKING, NamedTuple

from .job import Job, task_name
from .task_updates import TaskExited

if TYPE_CHECKING:
    from ..config import Settings

log = logging.getLogger("emberglade.jobs")

# Agent leases that a machine rests after errors, or a job that fails everywhere: nobody may wait
# beside free capacity for much longer than a minute.
MAX_BACKOFF_LEASES = 4
# A job whose tasks ended in error on so many machines is at fault, and not they.
MACHINES_OF_FAILING_JOB = 3

# Why an attempt ended, as agents say it.
ERROR = "error"
MACHINE_IS_FULL = ("full", "busy")
GANG_IS_INCOMPLETE = ("incomplete", "mates_gone")
IMAGE_IS_UNKNOWN = "no_such"
DONE = "done"


class MachineBackoff(NamedTuple):
    """A machine that nothing is placed on until then, and how many errors it had."""

    until: float
    errors: int


NO_BACKOFF = MachineBackoff(0, 0)


class FailureBackoff:
    """Exponential backoff of machines on which tasks fail, and of jobs that fail everywhere."""

    def __init__(self, settings: "Settings") -> None:
        self._settings = settings
        self._machines: dict[str, MachineBackoff] = {}

    def machines(self, now: float) -> list[str]:
        """The machines that nothing is placed on for the moment."""
        return [name for name, backoff in self._machines.items() if backoff.until > now]

    def note_exit(self, job: Job, update: TaskExited, now: float) -> None:
        """Notes that an attempt has ended and its task is not done."""
        task, machine, reason = update.task, update.machine, update.reason
        heartbeat_s, lease_s = self._settings.agent_heartbeat_s, self._settings.lease_s
        if reason == ERROR:
            self._note_error(job, task, machine, now)
        elif reason in MACHINE_IS_FULL:
            errors = self._machines.get(machine, NO_BACKOFF).errors
            self._machines[machine] = MachineBackoff(now + heartbeat_s * 2, errors)
        elif reason in GANG_IS_INCOMPLETE or reason == DONE:
            job.retry_at[task] = now + heartbeat_s
        elif reason == IMAGE_IS_UNKNOWN:
            job.retry_at[task] = now + lease_s / 2

    def _note_error(self, job: Job, task: int, machine: str, now: float) -> None:
        """Mostly the machine is faulty, so it rests; a job that fails everywhere is slowed."""
        lease_s = self._settings.lease_s
        job.failed_machines.add(machine)
        failed_on = len(job.failed_machines)
        if failed_on >= MACHINES_OF_FAILING_JOB:
            job.retry_at[task] = now + lease_s * min(failed_on, MAX_BACKOFF_LEASES)
            follows = "the job fails everywhere and is slowed"
        else:
            errors = self._machines.get(machine, NO_BACKOFF).errors
            until = now + lease_s * min(2**errors, MAX_BACKOFF_LEASES)
            self._machines[machine] = MachineBackoff(until, errors + 1)
            job.retry_at[task] = now
            follows = "the machine rests"
        log.info("%s ended in error on %s; %s", task_name(job.id, task), machine, follows)
