"""The wire format of failure detection: the only module that knows its field names.

Messages of peers are validated here; an invalid one raises MalformedPeerMessageError.
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

HEARTBEAT_FIELD = "heartbeat"  # in requests and responses; ignored by the previous version

# A heartbeat has one opinion per other controller; a message with more than this is invalid.
MAX_OPINIONS = 1000
OPINION_FIELDS = 6
MAX_COUNT = 2**64  # exclusive
MAX_NAME_LENGTH = 200  # characters
MAX_VALUE_TEXT_LENGTH = 80  # characters of a rejected value shown in an error message


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
    """Encodes a heartbeat for a message."""
    return {
        "from": heartbeat.sender,
        "mark": _write_version(heartbeat.version),
        "wall": round(heartbeat.sent_wall_time, 3),
        "contact": round(heartbeat.store_contact_age_s, 3),
        "slow": heartbeat.slow,
        "peers": [_write_opinion(opinion) for opinion in heartbeat.opinions],
    }


def add_heartbeat(body: Any, heartbeat: Heartbeat | None) -> Any:
    """The body with the heartbeat added, if there is one; a ping has no other content."""
    if heartbeat is None:
        return body
    return {**body, HEARTBEAT_FIELD: write_heartbeat(heartbeat)}


def write_probe(request: ProbeRequest) -> dict[str, Any]:
    """The body of a probe request."""
    return {"from": request.sender, "target": request.target}


def write_probe_result(result: ProbeResult) -> dict[str, Any]:
    """The body of the response to a probe request."""
    return {
        "target": result.target,
        "outcome": result.outcome.value,
        "mark": _write_version(result.version),
        "age": round(result.age_s, 3),
    }


def write_refusal(error: MalformedPeerMessageError) -> dict[str, Any]:
    """The body of the response to an invalid message."""
    return {"error": str(error)}


# --- from the wire


def _abbreviate(value: Any) -> str:
    """A value that a peer sent, shortened for an error message."""
    text = repr(value)
    return text if len(text) <= MAX_VALUE_TEXT_LENGTH else f"{text[: MAX_VALUE_TEXT_LENGTH - 3]}..."


def _read_object(data: Any) -> dict[str, Any]:
    if not isinstance(data, dict):
        raise MalformedPeerMessageError(f"expected a JSON object, got {_abbreviate(data)}")
    return data


def _read_name(value: Any) -> str:
    if not isinstance(value, str) or not value or len(value) > MAX_NAME_LENGTH:
        raise MalformedPeerMessageError(
            f"a name must be a string of 1 to {MAX_NAME_LENGTH} characters,"
            f" got {_abbreviate(value)}"
        )
    return value


def _read_count(value: Any) -> int:
    if type(value) is not int or not 0 <= value < MAX_COUNT:
        raise MalformedPeerMessageError(
            f"a count must be a whole number from 0 to below 2**64, got {_abbreviate(value)}"
        )
    return value


def _read_seconds(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedPeerMessageError(
            f"a time must be a number of seconds, got {_abbreviate(value)}"
        )
    if not math.isfinite(value) or value < 0:
        raise MalformedPeerMessageError(
            f"a time must be finite and not negative, got {_abbreviate(value)}"
        )
    return float(value)


def _read_version(value: Any) -> HeartbeatVersion:
    if not isinstance(value, list) or len(value) != 3:
        raise MalformedPeerMessageError(
            f"a mark must be a list of three counts, got {_abbreviate(value)}"
        )
    revision, lease, sequence = map(_read_count, value)
    return HeartbeatVersion(Incarnation(revision, lease), sequence)


def _read_optional_version(value: Any) -> HeartbeatVersion | None:
    return None if value is None else _read_version(value)


def _read_member(kind: type[Member], value: Any, error: str) -> Member:
    """The enumeration member with this value.

    If there is none, raises MalformedPeerMessageError with a text that starts with `error`.
    """
    try:
        return kind(value)
    except ValueError:
        raise MalformedPeerMessageError(f"{error} {_abbreviate(value)}") from None


def _read_opinion(row: Any) -> Opinion:
    if not isinstance(row, list) or len(row) < OPINION_FIELDS:
        raise MalformedPeerMessageError(
            f"an opinion must be a list of at least six fields, got {_abbreviate(row)}"
        )
    peer, state, version, age_s, store_contact_age_s, failback_delay_s = row[:OPINION_FIELDS]
    return Opinion(
        state=_read_member(PeerState, state, "an opinion must name a known peer state, got"),
        peer=_read_name(peer),
        version=_read_optional_version(version),
        age_s=_read_seconds(age_s),
        store_contact_age_s=_read_seconds(store_contact_age_s),
        failback_delay_s=_read_seconds(failback_delay_s),
    )


def read_heartbeat(data: Any) -> Heartbeat:
    """Decodes a heartbeat; raises MalformedPeerMessageError if it is invalid."""
    data = _read_object(data)
    rows = data.get("peers")
    if not isinstance(rows, list) or len(rows) > MAX_OPINIONS:
        raise MalformedPeerMessageError(
            f"'peers' must be a list of at most {MAX_OPINIONS} opinions, got {_abbreviate(rows)}"
        )
    slow = data.get("slow")
    if not isinstance(slow, bool):
        raise MalformedPeerMessageError(f"'slow' must be true or false, got {_abbreviate(slow)}")
    return Heartbeat(
        sender=_read_name(data.get("from")),
        version=_read_version(data.get("mark")),
        sent_wall_time=_read_seconds(data.get("wall")),
        store_contact_age_s=_read_seconds(data.get("contact")),
        slow=slow,
        opinions=tuple(_read_opinion(row) for row in rows),
    )


def has_heartbeat(body: Any) -> bool:
    """Whether a message carries a heartbeat; the previous version sends none."""
    return isinstance(body, dict) and HEARTBEAT_FIELD in body


def read_carried_heartbeat(body: Any) -> Heartbeat:
    """Decodes the heartbeat that a ping, a request or a response carries.

    Raises:
        MalformedPeerMessageError: The heartbeat is missing or invalid.
    """
    return read_heartbeat(_read_object(body).get(HEARTBEAT_FIELD))


def read_sender(body: dict[str, Any]) -> str:
    """The sender that a request names, unchecked; for the log."""
    return str(body.get("from"))


def read_probe(data: Any) -> ProbeRequest:
    """Decodes a probe request; raises MalformedPeerMessageError if it is invalid."""
    data = _read_object(data)
    return ProbeRequest(_read_name(data.get("from")), _read_name(data.get("target")))


def read_probe_result(data: Any) -> ProbeResult:
    """Decodes a probe result; raises MalformedPeerMessageError if it is invalid."""
    data = _read_object(data)
    return ProbeResult(
        outcome=_read_member(
            PingOutcome, data.get("outcome"), "'outcome' must be a known ping outcome, got"
        ),
        target=_read_name(data.get("target")),
        version=_read_optional_version(data.get("mark")),
        age_s=_read_seconds(data.get("age")),
    )
