"""A job that waits for others, as kept in the state service until it is released.

It is kept apart from live jobs, so whatever reads live jobs knows nothing of it: it takes no part
of its team's limit or guarantee and asks for no machines. A list of needs that is too long for one
value is kept in pieces of its own, which are written before the job's key, the first of them last.
"""

from dataclasses import dataclass, replace
from typing import NamedTuple

import orjson

from .record import RECORD_BYTES, Spec

NEEDED_ID_BYTES = 4  # quotes, comma and brackets around an id in a list


class PieceKey(NamedTuple):
    """The key of one piece of a list of needs; `list_id` is unique to one attempt to submit the
    job.
    """

    job_id: str
    list_id: str
    number: int


def waiting_key(job_id):
    """The key of a waiting job."""
    return "w/" + job_id


def piece_key(job_id, list_id, number):
    """The key of one piece of a list of needs."""
    return f"x/{job_id}/{list_id}/{number}"


def read_piece_key(key):
    """The PieceKey of a key under `x/`."""
    _, job_id, list_id, number = key.split("/")
    return PieceKey(job_id, list_id, int(number))


@dataclass(frozen=True)
class WaitingRecord:
    """What a job's key under `w/` holds: its needs, or in how many pieces they are kept."""

    spec: Spec
    needs: tuple = ()
    list_id: str = ""
    pieces: int = 0

    def encode(self):
        data = {"s": self.spec.encode()}
        if self.pieces:
            data["x"] = [self.list_id, self.pieces]
        else:
            data["a"] = list(self.needs)
        return data

    @classmethod
    def decode(cls, job_id, data):
        list_id, pieces = data.get("x", ("", 0))
        return cls(Spec.decode(job_id, data["s"]), tuple(data.get("a", ())), list_id, pieces)


def lay_out(spec, needs, list_id, value_bytes):
    """(the WaitingRecord, its pieces): each fits a value."""
    record = WaitingRecord(spec, tuple(needs))
    if len(orjson.dumps(record.encode())) + RECORD_BYTES <= value_bytes:
        return record, []
    pieces = split(needs, value_bytes - RECORD_BYTES)
    return WaitingRecord(spec, (), list_id, len(pieces)), pieces


def split(needs, most_bytes):
    """Lists of ids, none of which takes more bytes than that."""
    pieces, room = [], 0
    for need in needs:
        size = len(need) + NEEDED_ID_BYTES
        if not pieces or size > room:
            pieces.append([])
            room = most_bytes
        pieces[-1].append(need)
        room -= size
    return pieces


def released(spec, now):
    """The spec of a job that may run from now on: times count from here, the due time stays what it
    was.
    """
    if spec.deadline_s is None:
        return replace(spec, submitted_at=round(now, 3))
    left = spec.submitted_at + spec.deadline_s - now
    return replace(spec, submitted_at=round(now, 3), deadline_s=round(max(0.0, left), 3))
