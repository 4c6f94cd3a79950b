"""What controllers tell each other of who is alive; the names of fields included.

Whatever a peer sends is checked here, and refused with MalformedPeerMessageError.
"""

import enum
import math
from typing import NamedTuple

# A heartbeat names each controller once; more rows than this are no honest message.
MAX_OPINIONS = 1000
MAX_COUNT = 2**64
HEARTBEAT_FIELD = "heartbeat"  # of a question or an answer, which production ignores


class MalformedPeerMessageError(Exception):
    """A peer's message that can't be taken for what it should be; the text says which part."""


class Incarnation(NamedTuple):
    """A process of a controller; the newer process has the larger one."""

    revision: int  # of the first copy of the state service that the process had
    lease: int  # number of its first lease, never given twice


class Mark(NamedTuple):
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
    """What a controller learnt when it was asked to reach another one."""

    ANSWERED = "answered"
    REFUSED = "refused"  # the connection was refused
    SILENT = "silent"


class Opinion(NamedTuple):
    """What the sender of a heartbeat takes a third controller for."""

    peer: str
    state: PeerState
    mark: Mark | None  # of the newest heartbeat that the sender itself heard, None if there is none
    age_s: float  # since that one was sent
    contact_age_s: float  # of the peer with the state service, as that one said
    return_wait_s: float  # how long the peer should still serve before it gets shards back


class Heartbeat(NamedTuple):
    """A sign of life of one process."""

    sender: str
    mark: Mark
    sent_wall: float  # time of day
    contact_age_s: float  # since its last answered contact with the state service
    slow: bool  # its own loop runs late
    opinions: tuple[Opinion, ...]


class ProbeRequest(NamedTuple):
    """Asks a controller to reach another one."""

    sender: str
    target: str


class ProbeResult(NamedTuple):
    """Its answer; if the target was heard, with the mark of its newest heartbeat and its age."""

    target: str
    outcome: PingOutcome
    mark: Mark | None
    age_s: float


# --- to the wire


def _write_mark(mark):
    return None if mark is None else [*mark.incarnation, mark.sequence]


def write_heartbeat(heartbeat):
    """The heartbeat as it goes into a message."""
    return {
        "from": heartbeat.sender,
        "mark": _write_mark(heartbeat.mark),
        "wall": round(heartbeat.sent_wall, 3),
        "contact": round(heartbeat.contact_age_s, 3),
        "slow": heartbeat.slow,
        "peers": [
            [
                opinion.peer,
                opinion.state.value,
                _write_mark(opinion.mark),
                round(opinion.age_s, 3),
                round(opinion.contact_age_s, 3),
                round(opinion.return_wait_s, 3),
            ]
            for opinion in heartbeat.opinions
        ],
    }


def write_ping(heartbeat):
    """The body of a ping, and of its answer."""
    return {HEARTBEAT_FIELD: write_heartbeat(heartbeat)}


def write_probe(request):
    """The body of a request to reach another controller."""
    return {"from": request.sender, "target": request.target}


def write_probe_result(result):
    """The body of its answer."""
    return {
        "target": result.target,
        "outcome": result.outcome.value,
        "mark": _write_mark(result.mark),
        "age": round(result.age_s, 3),
    }


# --- from the wire


def _shown(value):
    """A short rendering of a value that a peer sent, for an error message."""
    text = repr(value)
    return text if len(text) <= 80 else f"{text[:77]}..."


def _read_object(data):
    if not isinstance(data, dict):
        raise MalformedPeerMessageError(f"expected a JSON object, got {_shown(data)}")
    return data


def _read_name(value):
    if not isinstance(value, str) or not value or len(value) > 200:
        raise MalformedPeerMessageError(
            f"a name must be a string of 1 to 200 characters, got {_shown(value)}"
        )
    return value


def _read_count(value):
    if type(value) is not int or not 0 <= value < MAX_COUNT:
        raise MalformedPeerMessageError(
            f"a count must be a whole number from 0 to below 2**64, got {_shown(value)}"
        )
    return value


def _read_seconds(value):
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedPeerMessageError(f"a time must be a number of seconds, got {_shown(value)}")
    if not math.isfinite(value) or value < 0:
        raise MalformedPeerMessageError(
            f"a time must be finite and not negative, got {_shown(value)}"
        )
    return float(value)


def _read_mark(value):
    if not isinstance(value, list) or len(value) != 3:
        raise MalformedPeerMessageError(
            f"a mark must be a list of three counts, got {_shown(value)}"
        )
    revision, lease, sequence = map(_read_count, value)
    return Mark(Incarnation(revision, lease), sequence)


def _read_opinion(row):
    if not isinstance(row, list) or len(row) < 6:
        raise MalformedPeerMessageError(
            f"an opinion must be a list of at least six fields, got {_shown(row)}"
        )
    peer, state, mark, age_s, contact_age_s, return_wait_s = row[:6]
    try:
        state = PeerState(state)
    except ValueError:
        raise MalformedPeerMessageError(
            f"an opinion names no known peer state: {_shown(state)}"
        ) from None
    return Opinion(
        _read_name(peer),
        state,
        None if mark is None else _read_mark(mark),
        _read_seconds(age_s),
        _read_seconds(contact_age_s),
        _read_seconds(return_wait_s),
    )


def read_heartbeat(data):
    """A Heartbeat, or MalformedPeerMessageError with what is wrong."""
    data = _read_object(data)
    rows = data.get("peers")
    if not isinstance(rows, list) or len(rows) > MAX_OPINIONS:
        raise MalformedPeerMessageError(
            f"'peers' must be a list of at most {MAX_OPINIONS} opinions, got {_shown(rows)}"
        )
    slow = data.get("slow")
    if not isinstance(slow, bool):
        raise MalformedPeerMessageError(f"'slow' must be true or false, got {_shown(slow)}")
    return Heartbeat(
        sender=_read_name(data.get("from")),
        mark=_read_mark(data.get("mark")),
        sent_wall=_read_seconds(data.get("wall")),
        contact_age_s=_read_seconds(data.get("contact")),
        slow=slow,
        opinions=tuple(_read_opinion(row) for row in rows),
    )


def read_ping(data):
    """The Heartbeat in a ping or its answer, or MalformedPeerMessageError."""
    return read_heartbeat(_read_object(data).get(HEARTBEAT_FIELD))


def read_probe(data):
    """A ProbeRequest, or MalformedPeerMessageError."""
    data = _read_object(data)
    return ProbeRequest(_read_name(data.get("from")), _read_name(data.get("target")))


def read_probe_result(data):
    """A ProbeResult, or MalformedPeerMessageError."""
    data = _read_object(data)
    try:
        outcome = PingOutcome(data.get("outcome"))
    except ValueError:
        raise MalformedPeerMessageError(
            f"'outcome' names no known ping outcome: {_shown(data.get('outcome'))}"
        ) from None
    mark = data.get("mark")
    return ProbeResult(
        _read_name(data.get("target")),
        outcome,
        None if mark is None else _read_mark(mark),
        _read_seconds(data.get("age")),
    )
