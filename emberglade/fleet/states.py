"""Machine states and taints; the values are those of the cloud's API and of stored records."""

from enum import StrEnum


class MachineState(StrEnum):
    """The state of a machine as the cloud reports it."""

    STARTING = "starting"  # boots; some never leave this state until they are scaled in
    RUNNING = "running"
    FAILED = "failed"  # it has stopped without a scale-in


class Taint(StrEnum):
    """A taint that the leader sets on a machine; no task is placed on a tainted machine."""

    LOST = "lost"  # cordoned: no controller receives its heartbeats, or the answers don't reach it
    ENDED = "ended"  # its lease has provably expired, so its tasks may move
    DRAIN = "drain"  # its tasks are evicted gracefully; then it is scaled in
    GONE = "gone"  # scaled in, as the cloud has confirmed: nothing runs there
