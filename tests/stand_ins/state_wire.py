"""Wire format of the state service, and the stored keys that the stand-ins read."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import orjson

# --- requests and answers of the state service

TRANSACTION_PATH = "/txn"
LEASES_PATH = "/grants"
WATCH_PATH = "/follow"
KEYS_PATH = "/store"
LIST_PAGE = 1000


class Write(NamedTuple):
    """One write of a transaction; `data` is None if the key is removed."""

    key: str
    data: Any
    lease: int | None = None


class Transaction(NamedTuple):
    """Writes that are applied if each `(key, mod_revision)` of `conditions` matches."""

    conditions: list[tuple[str, int]]
    writes: list[Write]
    raw: dict[str, Any]

    def size_bytes(self) -> int:
        """The size of the request body."""
        return len(orjson.dumps(self.raw))


def read_transaction(body: dict[str, Any]) -> Transaction:
    """Reads a transaction from a request body."""
    conditions = [(row["key"], row["stamp"]) for row in body.get("when", ())]
    writes = [
        Write(row["put"], row["data"], row.get("tenure"))
        if "put" in row
        else Write(row["remove"], None)
        for row in body.get("writes", ())
    ]
    return Transaction(conditions, writes, body)


def write_revision(revision: int) -> dict[str, Any]:
    """Builds an answer that contains only the newest revision."""
    return {"ledger_rev": revision}


def write_failed_conditions(keys: list[str], revision: int) -> dict[str, Any]:
    """Builds the answer to a transaction whose conditions on these keys do not match."""
    return {"failed": keys, "ledger_rev": revision}


def read_lease_life(body: dict[str, Any]) -> float:
    """Reads the requested duration of a new lease, in seconds."""
    return body["life_ms"] / 1000


def write_lease(number: int) -> dict[str, Any]:
    """Builds the answer that grants a lease."""
    return {"tenure": number}


def write_key(key: str, data: Any, mod_revision: int) -> dict[str, Any]:
    """Builds one key with its value and mod revision."""
    return {"key": key, "data": data, "stamp": mod_revision}


def write_keys(rows: Iterable[dict[str, Any]], more: bool, revision: int) -> dict[str, Any]:
    """Builds one page of keys."""
    return {"pairs": list(rows), "has_next": more, "ledger_rev": revision}


def write_put(key: str, data: Any, revision: int) -> dict[str, Any]:
    """Builds the watch event of a put."""
    return {"put": key, "data": data, "stamp": revision}


def write_removal(key: str, revision: int) -> dict[str, Any]:
    """Builds the watch event of a removal."""
    return {"remove": key, "stamp": revision}


def write_changes(changes: list[dict[str, Any]], revision: int) -> dict[str, Any]:
    """Builds the answer to a watch."""
    return {"ledger_rev": revision, "news": changes}


class WatchRequest(NamedTuple):
    """A request for the changes below a prefix after a revision."""

    prefix: str
    since: int
    wait_s: float


def read_watch(options: dict[str, str]) -> WatchRequest:
    """Reads a watch request from query options."""
    wait_s = int(options.get("wait_ms", 0)) / 1000
    return WatchRequest(options["under"], int(options["since"]), wait_s)


class ListRequest(NamedTuple):
    """A request for a page of the keys below a prefix that follow `after`."""

    prefix: str
    after: str
    limit: int


def read_list(options: dict[str, str]) -> ListRequest:
    """Reads a list request from query options."""
    limit = int(options.get("limit", LIST_PAGE))
    return ListRequest(options["under"], options.get("since", ""), limit)


# --- keys stored by controllers

LIVE_PREFIX = "eg/l/"
LEADER = "lead"
LEADER_KEY = LIVE_PREFIX + LEADER
FORMAT_KEY = LIVE_PREFIX + "format"
MEMBER_PREFIX = LIVE_PREFIX + "n/"
SHARD = "s/"
SHARD_PREFIX = LIVE_PREFIX + SHARD
CHUNK_PREFIX = LIVE_PREFIX + "t/"
JOB_PREFIXES = (LIVE_PREFIX + "j/", CHUNK_PREFIX)
KIND_DEPTH = 3  # keys eg/l/m/... are of the kind eg/l/m


def key_kind(key: str) -> str:
    """The kind under which a key is counted: its first three segments, such as `eg/l/m`."""
    return "/".join(key.split("/")[:KIND_DEPTH])


def read_owner(data: dict[str, Any]) -> str:
    """Reads the owner from the value of a shard's or the leader's key."""
    return data["node"]


def job_key(job_id: str) -> str:
    """The key of a live job."""
    return f"{LIVE_PREFIX}j/{job_id}"


def chunk_size(data: dict[str, Any]) -> int:
    """Reads the number of tasks per chunk from a job's record."""
    return data["z"]


def is_rechunked(data: dict[str, Any]) -> bool:
    """Whether a job's record refers to chunks of another generation than the first."""
    return bool(data.get("g"))


def is_cancelled(data: dict[str, Any]) -> bool:
    """Whether a job's record marks the job as cancelled."""
    return bool(data.get("w"))
