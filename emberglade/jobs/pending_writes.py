"""The changed records that are not written yet, and when each of them is due."""

from . import wire
from .scheduling_view import SchedulingView

WRITE_DELAY_S = 0.02  # changes that follow closely on each other are written together
# Minimum time that a batched change waits, in agent heartbeat intervals.
MIN_DELAY_HEARTBEATS = 0.1


class PendingWrites:
    """Keys whose records have changed.

    Attributes:
        due: key -> when it should be written, on the monotonic clock.
    """

    def __init__(self, view: SchedulingView) -> None:
        self._settings, self._jobs, self._budget = view.settings, view.jobs, view.budget
        self.due: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self.due)

    def add(self, key: str, now: float, immediate: bool) -> float:
        """Marks a key to be written, and returns the seconds until the next flush should run.

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
        return delay

    def requeue(self, keys: list[str], now: float) -> None:
        """Makes keys due at once because the commit that contained them was not executed."""
        self.due.update(dict.fromkeys(keys, now))

    def discard(self, key: str) -> None:
        """Removes a key that need not be written any more."""
        self.due.pop(key, None)

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
