"""The changed records that are not written yet, and when each of them is due."""

from . import wire
from .job import Job
from .scheduling_view import SchedulingView

WRITE_DELAY_S = 0.02  # changes that follow closely on each other are written together
# Minimum time that a batched change waits, in agent heartbeat intervals.
MIN_DELAY_HEARTBEATS = 0.1


class PendingWrites:
    """Keys whose records have changed.

    Attributes:
        due: key -> when it should be written, on the monotonic clock.
        epochs: key -> the epoch of the job's shard under which the first of the decisions on it was
            made; None if another controller owned the shard.
    """

    def __init__(self, view: SchedulingView) -> None:
        self._settings, self._jobs, self._budget = view.settings, view.jobs, view.budget
        self._owners = view.owners
        self.due: dict[str, float] = {}
        self.epochs: dict[str, int | None] = {}

    def __bool__(self) -> bool:
        return bool(self.due)

    def add(self, job: Job, key: str, now: float, immediate: bool) -> float:
        """Marks a key of a job to be written; returns the seconds until the next flush should run.

        With `immediate` (starts, stops, finished jobs) the key is due at once. Exits wait to be
        batched with other changes, since each written key counts towards the rate limit. But other
        controllers see the freed capacity only after the write, so exits wait less while the
        write rate is low.
        """
        if immediate:
            delay, due = WRITE_DELAY_S, now
        else:
            share = min(1.0, max(MIN_DELAY_HEARTBEATS, 2 * self._budget.used_share(now)))
            delay = self._settings.agent_heartbeat_s * share
            due = now + delay
        if due < self.due.get(key, float("inf")):
            self.due[key] = due
        self.epochs.setdefault(key, self._owners.own_epoch(job.spec))
        return delay

    def requeue(self, epochs: dict[str, int | None], now: float) -> None:
        """Makes keys due at once because the commit that contained them was not executed.

        `epochs` is {key: the epoch under which it was decided}.
        """
        self.due.update(dict.fromkeys(epochs, now))
        self.epochs.update(epochs)

    def discard(self, key: str) -> None:
        """Removes a key that need not be written any more."""
        self.due.pop(key, None)
        self.epochs.pop(key, None)

    def outlived(self) -> list[str]:
        """The keys decided under an epoch that is not this controller's current one."""
        outlived = []
        for key, epoch in self.epochs.items():
            job = self._jobs.get(wire.job_id_of(key))
            if job is not None and (epoch is None or self._owners.own_epoch(job.spec) != epoch):
                outlived.append(key)
        return outlived

    def job_ids(self) -> set[str]:
        """The ids of the jobs to which the keys belong."""
        return {wire.job_id_of(key) for key in self.due}

    def due_keys(self, now: float) -> list[str]:
        """The keys that are due, in the order in which they should be written."""
        return sorted((key for key, due in self.due.items() if due <= now), key=self._write_order)

    def _write_order(self, key: str) -> tuple[float, str]:
        """The sort key that determines when a key is written.

        When a third of the machines is lost, nearly every job has to be written, so the keys of
        urgent jobs go first: each step to a lower priority counts as if the key were due a quarter
        of a heartbeat interval later. This delay is bounded, so that no key is postponed
        indefinitely.
        """
        job = self._jobs.get(wire.job_id_of(key))
        priority = job.spec.priority if job is not None else 0
        return self.due[key] + priority * self._settings.agent_heartbeat_s / 4, key
