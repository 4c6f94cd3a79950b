"""States of machines and taints on them; the values are what the cloud says and what is stored."""

from enum import StrEnum


class MachineState(StrEnum):
    """What the cloud says of a machine."""

    STARTING = "starting"  # boots; some stay so until they are scaled in
    RUNNING = "running"
    FAILED = "failed"  # it has stopped by itself


class Taint(StrEnum):
    """A mark of the leader on a machine; nothing is placed on a machine with any of them."""

    LOST = "lost"  # cordoned: no controller is in touch with it, or it does not hear us
    ENDED = "ended"  # its lease is proven over, so that its tasks may move
    DRAIN = "drain"  # its tasks are evicted gracefully; then it is scaled in
    GONE = "gone"  # the cloud has taken it back: nothing runs there
