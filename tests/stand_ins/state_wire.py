"""The one place of the stand-ins that knows the state service's fields and the stored keys."""

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
    """One change of a transaction; `data` is None where the key is removed."""

    key: str
    data: Any
    lease: int | None = None


class Transaction(NamedTuple):
    """Changes that are made if each `(key, mod_revision)` of `conditions` holds."""

    conditions: list[tuple[str, int]]
    writes: list[Write]
    raw: dict[str, Any]

    def size_bytes(self) -> int:
        """The size of the whole body."""
        return len(orjson.dumps(self.raw))


def read_transaction(body: dict[str, Any]) -> Transaction:
    """The transaction that a body holds."""
    conditions = [(row["key"], row["stamp"]) for row in body.get("when", ())]
    writes = [
        Write(row["put"], row["data"], row.get("tenure"))
        if "put" in row
        else Write(row["remove"], None)
        for row in body.get("writes", ())
    ]
    return Transaction(conditions, writes, body)


def write_revision(revision: int) -> dict[str, Any]:
    """An answer that names the newest revision."""
    return {"ledger_rev": revision}


def write_failed_conditions(keys: list[str], revision: int) -> dict[str, Any]:
    """The answer to a transaction whose conditions don't hold."""
    return {"failed": keys, "ledger_rev": revision}


def read_lease_life(body: dict[str, Any]) -> float:
    """The seconds that a new lease is to last."""
    return body["life_ms"] / 1000


def write_lease(number: int) -> dict[str, Any]:
    """The answer that grants a lease."""
    return {"tenure": number}


def write_key(key: str, data: Any, mod_revision: int) -> dict[str, Any]:
    """One key with its value."""
    return {"key": key, "data": data, "stamp": mod_revision}


def write_keys(rows: Iterable[dict[str, Any]], more: bool, revision: int) -> dict[str, Any]:
    """One page of keys."""
    return {"pairs": list(rows), "has_next": more, "ledger_rev": revision}


def write_put(key: str, data: Any, revision: int) -> dict[str, Any]:
    """One change as watches tell it: the key has a new value."""
    return {"put": key, "data": data, "stamp": revision}


def write_removal(key: str, revision: int) -> dict[str, Any]:
    """One change as watches tell it: the key is gone."""
    return {"remove": key, "stamp": revision}


def write_changes(changes: list[dict[str, Any]], revision: int) -> dict[str, Any]:
    """The answer to a watch."""
    return {"ledger_rev": revision, "news": changes}


class WatchRequest(NamedTuple):
    """A question for the changes below a prefix after a revision."""

    prefix: str
    since: int
    wait_s: float


def read_watch(options: dict[str, str]) -> WatchRequest:
    """The watch that the options of a path describe."""
    wait_s = int(options.get("wait_ms", 0)) / 1000
    return WatchRequest(options["under"], int(options["since"]), wait_s)


class ListRequest(NamedTuple):
    """A question for the keys below a prefix, after one of them."""

    prefix: str
    after: str
    limit: int


def read_list(options: dict[str, str]) -> ListRequest:
    """The list that the options of a path ask for."""
    limit = int(options.get("limit", LIST_PAGE))
    return ListRequest(options["under"], options.get("since", ""), limit)


# --- what controllers keep there

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
    """The prefix `eg/l/m` and the like that a key is counted under."""
    return "/".join(key.split("/")[:KIND_DEPTH])


def read_owner(data: dict[str, Any]) -> str:
    """The controller that a shard's or the leader's key names."""
    return data["node"]


def is_cancelled(data: dict[str, Any]) -> bool:
    """Whether a job's record says that the job is cancelled."""
    return bool(data.get("w"))
