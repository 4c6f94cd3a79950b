"""What the state service says and is told: the one place that knows its paths and field names.

Keys that are given to a function are full names, with their prefix. A key's `mod_revision` is the
revision of the store that last wrote it. Bodies that can't be what they should be are read as None:
the question is then asked again.
"""

import urllib.parse
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

LIVE_PREFIX = "eg/l/"  # keys that every controller follows
FINAL_PREFIX = "eg/o/"  # final states of jobs: read one by one, never followed

TRANSACTION_PATH = "/txn"
GRANT_PATH = "/grants"
NO_SUCH_LEASE = "no such lease"  # what a transaction under an expired lease is refused with

Body = Mapping[str, Any]  # a JSON object


class KeyValue(NamedTuple):
    """What a key holds."""

    data: Any
    mod_revision: int


class Change(NamedTuple):
    """One committed change of a key, or the key as it is.

    Attributes:
        key: The key, without the prefix that its reader named.
        data: What the key holds from then on; None: it was removed.
        mod_revision: The revision of the change.
    """

    key: str
    data: Any
    mod_revision: int


class Page(NamedTuple):
    """Some keys in order, with what they hold."""

    rows: list[Change]
    has_more: bool
    revision: int  # of the store when the page was read


class Changes(NamedTuple):
    """Committed changes in their order, and the revision up to which they are all of them."""

    changes: list[Change]
    revision: int


# --- paths


def get_path(key: str) -> str:
    """The path of one key."""
    return "/store/" + key


def list_path(prefix: str, after: str, limit: int) -> str:
    """The path that lists up to `limit` keys in order; `after` is a full key, or empty."""
    start = f"&since={urllib.parse.quote(after, safe='/')}" if after else ""
    return f"/store?under={urllib.parse.quote(prefix, safe='/')}{start}&limit={limit}"


def follow_path(prefix: str, since: int, wait_ms: int) -> str:
    """The path that tells of changes after a revision; waits so long for one if there is none."""
    return f"/follow?under={urllib.parse.quote(prefix, safe='/')}&since={since}&wait_ms={wait_ms}"


def keep_alive_path(lease: int) -> str:
    """The path that renews a lease."""
    return f"{GRANT_PATH}/{lease}/touch"


# --- transactions


def put(key: str, data: Any, lease: int | None = None) -> dict[str, Any]:
    """The write that sets a key, for as long as `lease` lasts if there is one."""
    if lease is None:
        return {"put": key, "data": data}
    return {"put": key, "data": data, "tenure": lease}


def remove(key: str) -> dict[str, Any]:
    """The write that removes a key."""
    return {"remove": key}


def compare_and_swap(
    conditions: Iterable[tuple[str, int]], writes: Sequence[Body]
) -> dict[str, Any]:
    """The body of a transaction: `writes` if every `(key, mod_revision)` of `conditions` holds.

    A mod revision of 0 stands for a key that is not there.
    """
    return {
        "when": [{"key": key, "stamp": mod_revision} for key, mod_revision in conditions],
        "writes": writes,
    }


def failure(body: Any) -> Any:
    """Which conditions of a transaction failed, or the error that it was refused with."""
    return body.get("failed") or body.get("error") if isinstance(body, dict) else None


# --- leases


def grant(life_ms: int) -> dict[str, Any]:
    """The body that asks for a lease of `life_ms` milliseconds."""
    return {"life_ms": life_ms}


def read_grant(body: Any) -> Any:
    """The number of the lease that an answer grants, or None."""
    return body.get("tenure") if isinstance(body, dict) else None


# --- keys and changes


def revision(body: Any) -> int | None:
    """The revision that an answer names, or None."""
    value = body.get("ledger_rev") if isinstance(body, dict) else None
    return value if isinstance(value, int) else None


def read_key(body: Any) -> KeyValue | None:
    """What one key holds."""
    if not (isinstance(body, dict) and "data" in body):
        return None
    return KeyValue(body["data"], body.get("stamp"))  # type: ignore[arg-type]


def read_page(body: Any, prefix: str) -> Page | None:
    """One page of a list of keys below `prefix`."""
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
    """The changes that the state service or a peer tells of; other keys are left out."""
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


# --- what controllers tell each other of changes


def write_changes(changes: Iterable[Change], newest: int) -> dict[str, Any]:
    """Changes as one controller tells them to another, in the form of the state service."""
    return {
        "ledger_rev": newest,
        "news": [_write_change(change) for change in changes],
    }


def _write_change(change: Change) -> dict[str, Any]:
    if change.data is None:
        return {"remove": change.key, "stamp": change.mod_revision}
    return {"put": change.key, "data": change.data, "stamp": change.mod_revision}


def changes_not_kept() -> dict[str, Any]:
    """The body of a 410: not all changes that a peer asks for are kept here."""
    return {"error": "not all of these changes are kept here"}


def changes_request(revision: int) -> dict[str, Any]:
    """The body of a question for the changes after a revision."""
    return {"since": revision}


def read_changes_request(body: Any) -> int | None:
    """The revision that a peer's replica has, or None."""
    value = body.get("since") if isinstance(body, dict) else None
    return value if type(value) is int else None
