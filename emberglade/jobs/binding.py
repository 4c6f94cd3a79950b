"""A binding: the decision that an attempt of a task runs on a machine."""

import enum
from dataclasses import dataclass


class StopMode(enum.IntEnum):
    """How a bound task is to be stopped. The values are stored and sent to agents and peers."""

    KEEP = 0  # it is not stopped
    STOP = 1  # it is stopped at once
    SAVE = 2  # it is stopped after it has saved a checkpoint


@dataclass
class Binding:
    """A task that is bound to a machine and may run there.

    An attempt belongs to one agent epoch. If the attempt were started again in a later epoch, a
    delayed heartbeat of the earlier epoch would be treated as the attempt's exit while it runs.

    Attributes:
        attempt: The number of the attempt.
        machine: The machine's name.
        agent_epoch: The machine's agent epoch for which the attempt was bound.
        stop: How the task is to be stopped, if at all.
        since: When the binding was last added to this controller's view, on the monotonic clock;
            not stored.
    """

    attempt: int
    machine: str
    agent_epoch: int
    stop: StopMode = StopMode.KEEP
    since: float = 0.0

    def is_attempt(self, attempt: int, machine: str) -> bool:
        """Whether this binds the given attempt to the given machine."""
        return self.attempt == attempt and self.machine == machine
