"""The form of what controllers tell each other: the one place that knows its paths and fields.

Whatever a peer sends is checked here, and refused with MalformedPeerMessageError.
"""

import enum
import math
from typing import Any, TypeVar

from .messages import (
    Heartbeat,
    HeartbeatVersion,
    Incarnation,
    MalformedPeerMessageError,
    Opinion,
    PeerState,
    PingOutcome,
    ProbeRequest,
    ProbeResult,
)

Member = TypeVar("Member", bound=enum.Enum)


HEARTBEAT_FIELD = "heartbeat"  # of a question or an answer, which production ignores

# A heartbeat names each controller once; more rows than this are no honest message.
MAX_OPINIONS = 1000
OPINION_FIELDS = 6
MAX_COUNT = 2**64
MAX_NAME_LENGTH = 200
MAX_SHOWN_LENGTH = 80  # of a refused value, in the error's message


# --- to the wire


def _write_version(version: HeartbeatVersion | None) -> list[int] | None:
    return None if version is None else [*version.incarnation, version.sequence]


def _write_opinion(opinion: Opinion) -> list[Any]:
    return [
        opinion.peer,
        opinion.state.value,
        _write_version(opinion.version),
        round(opinion.age_s, 3),
        round(opinion.store_contact_age_s, 3),
        round(opinion.failback_delay_s, 3),
    ]


def write_heartbeat(heartbeat: Heartbeat) -> dict[str, Any]:
    """The heartbeat as it goes into a message."""
    return {
        "from": heartbeat.sender,
        "mark": _write_version(heartbeat.version),
        "wall": round(heartbeat.sent_wall, 3),
        "contact": round(heartbeat.store_contact_age_s, 3),
        "slow": heartbeat.slow,
        "peers": [_write_opinion(opinion) for opinion in heartbeat.opinions],
    }


def add_heartbeat(body: Any, heartbeat: Heartbeat | None) -> Any:
    """The body of a message with the heartbeat, if there is one; a ping is nothing but that."""
    if heartbeat is None:
        return body
    return {**body, HEARTBEAT_FIELD: write_heartbeat(heartbeat)}


def write_probe(request: ProbeRequest) -> dict[str, Any]:
    """The body of a request to reach another controller."""
    return {"from": request.sender, "target": request.target}


def write_probe_result(result: ProbeResult) -> dict[str, Any]:
    """The body of its answer."""
    return {
        "target": result.target,
        "outcome": result.outcome.value,
        "mark": _write_version(result.version),
        "age": round(result.age_s, 3),
    }


def write_refusal(error: MalformedPeerMessageError) -> dict[str, Any]:
    """The body of the answer to a message that is refused."""
    return {"error": str(error)}


# --- from the wire


def _shown(value: Any) -> str:
    """A short rendering of a value that a peer sent, for an error message."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_LENGTH else f"{text[: MAX_SHOWN_LENGTH - 3]}..."


def _read_object(data: Any) -> dict[str, Any]:
    if not isinstance(data, dict):
        raise MalformedPeerMessageError(f"expected a JSON object, got {_shown(data)}")
    return data


def _read_name(value: Any) -> str:
    if not isinstance(value, str) or not value or len(value) > MAX_NAME_LENGTH:
        raise MalformedPeerMessageError(
            f"a name must be a string of 1 to {MAX_NAME_LENGTH} characters, got {_shown(value)}"
        )
    return value


def _read_count(value: Any) -> int:
    if type(value) is not int or not 0 <= value < MAX_COUNT:
        raise MalformedPeerMessageError(
            f"a count must be a whole number from 0 to below 2**64, got {_shown(value)}"
        )
    return value


def _read_seconds(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedPeerMessageError(f"a time must be a number of seconds, got {_shown(value)}")
    if not math.isfinite(value) or value < 0:
        raise MalformedPeerMessageError(
            f"a time must be finite and not negative, got {_shown(value)}"
        )
    return float(value)


def _read_version(value: Any) -> HeartbeatVersion:
    if not isinstance(value, list) or len(value) != 3:
        raise MalformedPeerMessageError(
            f"a mark must be a list of three counts, got {_shown(value)}"
        )
    revision, lease, sequence = map(_read_count, value)
    return HeartbeatVersion(Incarnation(revision, lease), sequence)


def _read_optional_version(value: Any) -> HeartbeatVersion | None:
    return None if value is None else _read_version(value)


def _read_member(kind: type[Member], value: Any, error: str) -> Member:
    """The member of an enumeration that has this value; `error` says what is wrong if none has."""
    try:
        return kind(value)
    except ValueError:
        raise MalformedPeerMessageError(f"{error}: {_shown(value)}") from None


def _read_opinion(row: Any) -> Opinion:
    if not isinstance(row, list) or len(row) < OPINION_FIELDS:
        raise MalformedPeerMessageError(
            f"an opinion must be a list of at least six fields, got {_shown(row)}"
        )
    peer, state, version, age_s, store_contact_age_s, failback_delay_s = row[:OPINION_FIELDS]
    return Opinion(
        state=_read_member(PeerState, state, "an opinion names no known peer state"),
        peer=_read_name(peer),
        version=_read_optional_version(version),
        age_s=_read_seconds(age_s),
        store_contact_age_s=_read_seconds(store_contact_age_s),
        failback_delay_s=_read_seconds(failback_delay_s),
    )


def read_heartbeat(data: Any) -> Heartbeat:
    """The heartbeat in a message, or MalformedPeerMessageError with what is wrong."""
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
        version=_read_version(data.get("mark")),
        sent_wall=_read_seconds(data.get("wall")),
        store_contact_age_s=_read_seconds(data.get("contact")),
        slow=slow,
        opinions=tuple(_read_opinion(row) for row in rows),
    )


def has_heartbeat(body: Any) -> bool:
    """Whether a message carries a heartbeat; those of production don't."""
    return isinstance(body, dict) and HEARTBEAT_FIELD in body


def read_carried_heartbeat(body: Any) -> Heartbeat:
    """The heartbeat that a ping, a question or an answer carries.

    Raises:
        MalformedPeerMessageError: There is none, or it can't be read.
    """
    return read_heartbeat(_read_object(body).get(HEARTBEAT_FIELD))


def read_sender(body: dict[str, Any]) -> str:
    """Who a question says that it is of, as it stands there; for the log."""
    return str(body.get("from"))


def read_probe(data: Any) -> ProbeRequest:
    """The request to reach another controller, or MalformedPeerMessageError."""
    data = _read_object(data)
    return ProbeRequest(_read_name(data.get("from")), _read_name(data.get("target")))


def read_probe_result(data: Any) -> ProbeResult:
    """The answer to such a request, or MalformedPeerMessageError."""
    data = _read_object(data)
    return ProbeResult(
        outcome=_read_member(
            PingOutcome, data.get("outcome"), "'outcome' names no known ping outcome"
        ),
        target=_read_name(data.get("target")),
        version=_read_optional_version(data.get("mark")),
        age_s=_read_seconds(data.get("age")),
    )
