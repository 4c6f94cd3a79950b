"""What controllers tell each other of who is alive; `wire.py` has its form in messages."""

import enum
from typing import NamedTuple


class MalformedPeerMessageError(Exception):
    """A peer's message that can't be taken for what it should be; the text says which part."""


class Incarnation(NamedTuple):
    """A process of a controller; the newer process has the larger one."""

    revision: int  # of the replica that the process first had
    lease: int  # number of its first lease, never given twice


class HeartbeatVersion(NamedTuple):
    """A heartbeat's place in the order of all heartbeats of its controller."""

    incarnation: Incarnation
    sequence: int


class PeerState(enum.StrEnum):
    """What a controller takes another one for."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECTED = "suspected"
    DEAD = "dead"


class PingOutcome(enum.StrEnum):
    """What a controller learnt when it tried to reach another one."""

    ANSWERED = "answered"
    REFUSED = "refused"  # the connection was refused
    SILENT = "silent"


class Opinion(NamedTuple):
    """What the sender of a heartbeat takes a third controller for."""

    peer: str
    state: PeerState
    # Of the newest heartbeat that the sender itself received; None: there is none.
    version: HeartbeatVersion | None
    age_s: float  # since that one was sent
    store_contact_age_s: float  # of the peer with the state service, as that one said
    failback_delay_s: float  # how long the peer should still serve before it gets shards back


class Heartbeat(NamedTuple):
    """A sign of life of one process."""

    sender: str
    version: HeartbeatVersion
    sent_wall: float  # time of day, in seconds
    store_contact_age_s: float  # since its last answered contact with the state service
    slow: bool  # its own loop runs late
    opinions: tuple[Opinion, ...]


class ProbeRequest(NamedTuple):
    """Asks a controller, the relay, to reach another one."""

    sender: str
    target: str


class ProbeResult(NamedTuple):
    """The relay's answer; if it heard the target, with the newest heartbeat's version and age."""

    target: str
    outcome: PingOutcome
    version: HeartbeatVersion | None
    age_s: float
