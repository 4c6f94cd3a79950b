"""What the state service says and is told: the one place that knows its paths and field names.

Keys are full names (with their prefix); a key's `mod_revision` is the revision that last wrote it.
"""

import urllib.parse


def get_path(key):
    """The path of one key."""
    return "/store/" + key


def list_path(prefix, after, limit):
    """The path that lists keys in order."""
    tail = f"&since={urllib.parse.quote(after, safe='/')}" if after else ""
    return f"/store?under={urllib.parse.quote(prefix, safe='/')}{tail}&limit={limit}"


def follow_path(prefix, since, wait_ms):
    """The path that tells of changes after a revision."""
    return f"/follow?under={urllib.parse.quote(prefix, safe='/')}&since={since}&wait_ms={wait_ms}"


def put(key, data, lease=None):
    """The change that writes a key."""
    return (
        {"put": key, "data": data} if lease is None else {"put": key, "data": data, "tenure": lease}
    )


def remove(key):
    """The change that removes a key."""
    return {"remove": key}


TRANSACTION_PATH = "/txn"
GRANT_PATH = "/grants"


def keep_alive_path(lease):
    """The path that renews a lease."""
    return f"/grants/{lease}/touch"


def grant(life_ms):
    """The body that asks for a lease of `life_ms` milliseconds."""
    return {"life_ms": life_ms}


def read_grant(body):
    """The number of the lease that an answer grants, or None."""
    return body.get("tenure") if isinstance(body, dict) else None


def read_key(body):
    """(data, stamp) of one key, or None when the body is odd."""
    if not (isinstance(body, dict) and "data" in body):
        return None
    return body["data"], body.get("stamp")


def changes_not_kept():
    """The body of a 410: not all changes that a peer asks for are kept here."""
    return {"error": "not all of these changes are kept here"}


def compare_and_swap(conditions, writes):
    """The body of a transaction: `writes` if every `(key, mod_revision)` of `conditions` holds."""
    return {
        "when": [{"key": key, "stamp": mod_revision} for key, mod_revision in conditions],
        "writes": writes,
    }


def revision(body):
    """The revision that an answer names, or None."""
    value = body.get("ledger_rev") if isinstance(body, dict) else None
    return value if isinstance(value, int) else None


NO_SUCH_LEASE = "no such lease"


def failure(body):
    """Which conditions of a transaction failed, or the error that it was refused with."""
    return body.get("failed") or body.get("error") if isinstance(body, dict) else None


def read_list(body):
    """([(key, data, stamp)], more, revision) or None when the body is odd."""
    if (
        not isinstance(body, dict)
        or revision(body) is None
        or not isinstance(body.get("pairs", []), list)
    ):
        return None
    try:
        return (
            [(p["key"], p["data"], p["stamp"]) for p in body.get("pairs") or []],
            bool(body.get("has_next")),
            revision(body),
        )
    except (TypeError, KeyError):
        return None


def news(rows, newest):
    """Changes, as one controller tells them to another."""
    return {
        "ledger_rev": newest,
        "news": [
            {"remove": key, "stamp": mod_revision}
            if data is None
            else {"put": key, "data": data, "stamp": mod_revision}
            for key, data, mod_revision in rows
        ],
    }


def since(revision):
    """The body of a question for the changes after a revision."""
    return {"since": revision}


def read_since(body):
    """The revision that a peer's replica has, or None."""
    value = body.get("since") if isinstance(body, dict) else None
    return value if type(value) is int else None


def read_news(body):
    """([(key, data or None, stamp)], revision) or None when the body is odd."""
    if not isinstance(body, dict) or revision(body) is None:
        return None
    try:
        return [
            (e["put"], e["data"], e["stamp"]) if "put" in e else (e["remove"], None, e["stamp"])
            for e in body.get("news") or []
        ], revision(body)
    except (TypeError, KeyError):
        return None
