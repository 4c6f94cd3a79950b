"""The committed decision that an attempt of a task belongs on a machine."""

import enum
from dataclasses import dataclass


class StopMode(enum.IntEnum):
    """How a bound task is to be stopped. The values are stored and sent."""

    KEEP = 0  # not at all
    STOP = 1  # at once
    SAVE = 2  # after it has saved a checkpoint


@dataclass
class Binding:
    """A task that may be on a machine.

    An attempt belongs to one agent epoch: started again in a later one, a heartbeat of the earlier
    that comes late would pass for its exit while it runs.

    Attributes:
        agent_epoch: The machine's, for which the attempt was bound.
        stop: How it is to be stopped.
        since: When this controller first saw it, on its steady clock; not stored.
    """

    attempt: int
    machine: str
    agent_epoch: int
    stop: StopMode = StopMode.KEEP
    since: float = 0.0

    def is_attempt(self, attempt: int, machine: str) -> bool:
        """Whether it binds this attempt to this machine."""
        return self.attempt == attempt and self.machine == machine
