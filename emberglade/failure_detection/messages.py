"""The messages of failure detection; `wire.py` defines their encoding."""

import enum
from typing import NamedTuple


class MalformedPeerMessageError(Exception):
    """A peer's message is invalid; the text names the field, the expectation and the value."""


class Incarnation(NamedTuple):
    """Identifies a process of a controller; a newer process has a larger incarnation."""

    revision: int  # revision of the process's first replica
    lease: int  # ID of the process's first lease; IDs are never reused


class HeartbeatVersion(NamedTuple):
    """The position of a heartbeat in the order of all heartbeats of its controller."""

    incarnation: Incarnation
    sequence: int


class PeerState(enum.StrEnum):
    """The state of a controller as a peer sees it."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


class PingOutcome(enum.StrEnum):
    """The outcome of an attempt to reach a controller."""

    ANSWERED = "answered"
    REFUSED = "refused"  # the connection was refused
    UNANSWERED = "silent"


class Opinion(NamedTuple):
    """What the sender of a heartbeat knows about a third controller."""

    peer: str
    state: PeerState
    # Version of the newest heartbeat that the sender received from the peer itself, or None.
    version: HeartbeatVersion | None
    age_s: float  # time since that heartbeat was sent
    # Time from the peer's last contact with the state service until that heartbeat was sent.
    store_contact_age_s: float
    failback_delay_s: float  # how much longer the peer must serve before it takes shards back


class Heartbeat(NamedTuple):
    """Evidence that one process is alive, with its opinions on its peers."""

    sender: str
    version: HeartbeatVersion
    sent_wall_time: float  # seconds since 1970
    store_contact_age_s: float  # time since its last answered sync, not counting a recent pause
    slow: bool  # whether the sender's own detection loop runs late
    opinions: tuple[Opinion, ...]


class ProbeRequest(NamedTuple):
    """Asks a controller, the relay, to ping another one."""

    sender: str
    target: str


class ProbeResult(NamedTuple):
    """The relay's response to a probe request.

    `version` and `age_s` are those of the newest heartbeat that the relay received from the target;
    `version` is None if the relay did not reach the target or has received no heartbeat from the
    target's current process.
    """

    target: str
    outcome: PingOutcome
    version: HeartbeatVersion | None
    age_s: float
