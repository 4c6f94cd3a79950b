"""A machine as the leader counts it."""

from dataclasses import dataclass


def some(names):
    """Names for a line of the log: hundreds may be concerned at once."""
    return " ".join(names[:8]) + (f" and {len(names) - 8} more" if len(names) > 8 else "")


@dataclass
class Machine:
    """A machine as the leader counts it."""

    name: str
    type: str
    zone: str
    spot: bool
    asked: float  # when it was rented, by our clock
    state: str = "starting"
    listed: bool = False
    missing: int = 0
    seen: float = 0.0  # last heard by any node, by our clock; 0: never
    idle_since: float | None = None
    unreachable_since: float | None = None  # its reports arrive, answers don't reach it
