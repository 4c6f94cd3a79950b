"""The records that changed and are not written yet, and when each is due."""

from . import wire
from .view import View

WRITE_DELAY_S = 0.02  # so that what changes in one turn is written together
MIN_DELAY_SHARE = 0.1  # of an agent heartbeat: the least that a change waits for others


class PendingWrites:
    """Keys whose records have changed.

    Attributes:
        due: key -> when it should be written, on the steady clock.
    """

    def __init__(self, view: View) -> None:
        self._settings, self._jobs, self._budget = view.settings, view.jobs, view.budget
        self.due: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self.due)

    def add(self, key: str, now: float, soon: bool) -> float:
        """Notes that a key is to be written; returns the seconds until a commit should look.

        Exits wait for company, since each written key counts; starts, stops and ends (`soon`)
        don't. They wait the less the fewer writes there are, since others see the free capacity
        only then.
        """
        if soon:
            delay, due = WRITE_DELAY_S, now
        else:
            share = min(1.0, max(MIN_DELAY_SHARE, 2 * self._budget.used_share(now)))
            delay = self._settings.agent_heartbeat_s * share
            due = now + delay
        if due < self.due.get(key, float("inf")):
            self.due[key] = due
        return delay

    def add_again(self, keys: list[str], now: float) -> None:
        """Notes that keys are to be written at once: their commit was not carried out."""
        self.due.update(dict.fromkeys(keys, now))

    def discard(self, key: str) -> None:
        """Forgets a key that need not be written any more."""
        self.due.pop(key, None)

    def job_ids(self) -> set[str]:
        """The jobs of all keys."""
        return {wire.job_id_of(key) for key in self.due}

    def in_turn(self, now: float) -> list[str]:
        """The keys that are due, in the order in which they are written."""
        return sorted((key for key, due in self.due.items() if due <= now), key=self._turn)

    def _turn(self, key: str) -> tuple[float, str]:
        """The place of a key in the order of writing.

        When a third of the machines is lost, nearly every job has to be written: higher priorities
        go a little ahead, and nobody waits for ever.
        """
        job = self._jobs.get(wire.job_id_of(key))
        priority = job.spec.priority if job is not None else 0
        return self.due[key] + priority * self._settings.agent_heartbeat_s / 4, key
