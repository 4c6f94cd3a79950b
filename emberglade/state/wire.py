"""The wire format of the state service: the only module that knows its paths and field names.

Keys that are passed to a function include their prefix. A key's `mod_revision` is the revision of
the store in which it was last written. Functions that read a body return None if it is invalid.
"""

import urllib.parse
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

import orjson

LIVE_PREFIX = "eg/l/"  # keys that every controller follows
FINAL_PREFIX = "eg/o/"  # final states of jobs: read one at a time, not in the replica

TRANSACTION_PATH = "/txn"
GRANT_PATH = "/grants"
NO_SUCH_LEASE = "no such lease"  # the error of a transaction that uses an expired lease

Body = Mapping[str, Any]  # a JSON object
Condition = tuple[str, int]  # (key, the mod revision that it must have; 0: it must not exist)


class KeyValue(NamedTuple):
    """The value of a key."""

    data: Any
    mod_revision: int


class Change(NamedTuple):
    """One committed change of a key, or its current value.

    Attributes:
        key: The key, without the prefix under which it was read.
        data: The new value; None if the key was removed.
        mod_revision: The revision of the change.
    """

    key: str
    data: Any
    mod_revision: int


class Page(NamedTuple):
    """Some keys in order, with their values."""

    rows: list[Change]
    has_more: bool
    revision: int  # of the store when the page was read


class Changes(NamedTuple):
    """Committed changes in order, complete up to `revision`."""

    changes: list[Change]
    revision: int


# --- paths


def get_path(key: str) -> str:
    """The path that reads one key."""
    return "/store/" + key


def list_path(prefix: str, after: str, limit: int) -> str:
    """The path that lists up to `limit` keys under `prefix` in order, starting after `after`.

    `after` is a key with its prefix, or empty to start from the first key.
    """
    start = f"&since={urllib.parse.quote(after, safe='/')}" if after else ""
    return f"/store?under={urllib.parse.quote(prefix, safe='/')}{start}&limit={limit}"


def follow_path(prefix: str, since: int, wait_ms: int) -> str:
    """The path that returns the changes after the revision `since`.

    While there are none, the state service waits up to `wait_ms` before it responds.
    """
    return f"/follow?under={urllib.parse.quote(prefix, safe='/')}&since={since}&wait_ms={wait_ms}"


def keep_alive_path(lease: int) -> str:
    """The path that renews a lease."""
    return f"{GRANT_PATH}/{lease}/touch"


# --- transactions


def put(key: str, data: Any, lease: int | None = None) -> dict[str, Any]:
    """The write that sets a key; if `lease` is given, the key is removed when the lease expires."""
    if lease is None:
        return {"put": key, "data": data}
    return {"put": key, "data": data, "tenure": lease}


def remove(key: str) -> dict[str, Any]:
    """The write that removes a key."""
    return {"remove": key}


def value_bytes(write: Body) -> int:
    """The size of the value that a write sets, in bytes; 0 if it removes a key."""
    return len(orjson.dumps(write["data"])) if "data" in write else 0


def compare_and_swap(conditions: Iterable[Condition], writes: Sequence[Body]) -> dict[str, Any]:
    """The body of a transaction that executes `writes` if all `conditions` are met."""
    return {"when": write_conditions(conditions), "writes": writes}


def write_conditions(conditions: Iterable[Condition]) -> list[dict[str, Any]]:
    """Encodes the conditions of a transaction."""
    return [{"key": key, "stamp": mod_revision} for key, mod_revision in conditions]


def failure(body: Any) -> Any:
    """The failed conditions of a transaction, or the error with which it was refused."""
    return body.get("failed") or body.get("error") if isinstance(body, dict) else None


# --- leases


def grant(life_ms: int) -> dict[str, Any]:
    """The body that requests a lease of `life_ms` milliseconds."""
    return {"life_ms": life_ms}


def read_grant(body: Any) -> Any:
    """The ID of the lease that a response grants, or None."""
    return body.get("tenure") if isinstance(body, dict) else None


# --- keys and changes


def revision(body: Any) -> int | None:
    """The revision that a response contains, or None."""
    value = body.get("ledger_rev") if isinstance(body, dict) else None
    return value if isinstance(value, int) else None


def read_key(body: Any) -> KeyValue | None:
    """Decodes the value of one key; None if the body is invalid."""
    if not (isinstance(body, dict) and "data" in body):
        return None
    return KeyValue(body["data"], body.get("stamp"))  # type: ignore[arg-type]


def read_page(body: Any, prefix: str) -> Page | None:
    """Decodes a page of the keys under `prefix`; None if the body is invalid."""
    at = revision(body)
    if at is None or not isinstance(body.get("pairs", []), list):
        return None
    start = len(prefix)
    try:
        pairs = body.get("pairs") or []
        rows = [Change(pair["key"][start:], pair["data"], pair["stamp"]) for pair in pairs]
    except (TypeError, KeyError):
        return None
    return Page(rows, bool(body.get("has_next")), at)


def read_changes(body: Any, prefix: str = "") -> Changes | None:
    """Decodes the changes that the state service or a peer sent; None if the body is invalid.

    Changes of keys without `prefix` are ignored; the prefix is removed from all other keys.
    """
    at = revision(body)
    if at is None:
        return None
    start = len(prefix)
    changes = []
    try:
        for row in body.get("news") or []:
            is_put = "put" in row
            key = row["put"] if is_put else row["remove"]
            change = Change(key[start:], row["data"] if is_put else None, row["stamp"])
            if key.startswith(prefix):
                changes.append(change)
    except (TypeError, KeyError):
        return None
    return Changes(changes, at)


# --- changes exchanged between controllers


def write_changes(changes: Iterable[Change], newest: int) -> dict[str, Any]:
    """Encodes changes for another controller, in the state service's format."""
    return {
        "ledger_rev": newest,
        "news": [_write_change(change) for change in changes],
    }


def _write_change(change: Change) -> dict[str, Any]:
    if change.data is None:
        return {"remove": change.key, "stamp": change.mod_revision}
    return {"put": change.key, "data": change.data, "stamp": change.mod_revision}


def changes_not_kept() -> dict[str, Any]:
    """The body of a 410: some of the requested changes are no longer kept."""
    return {"error": "not all of these changes are kept here"}


def changes_request(revision: int) -> dict[str, Any]:
    """The body of a request for the changes after a revision."""
    return {"since": revision}


def read_changes_request(body: Any) -> int | None:
    """The revision of the requesting peer's replica, or None if the body is invalid."""
    value = body.get("since") if isinstance(body, dict) else None
    return value if type(value) is int else None
