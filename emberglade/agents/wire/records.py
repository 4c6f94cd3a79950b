"""The store's keys and records, other than tables, that this package reads or writes.

Keys are without the LIVE prefix, as in the replica.
"""

from typing import Any

from ...membership.wire import NODE_PREFIX, SHARD_PREFIX, node_key
from .peers import read_task_updates

__all__ = ["NODE_PREFIX", "SHARD_PREFIX", "node_key"]

OVERFLOW_PREFIX = "r/"  # r/NODE/NUMBER: a value of NODE's table other than the first
UNDELIVERED_PREFIX = "f/"  # f/NODE: task updates that NODE could not send to the jobs' owners


def overflow_owner(key: str) -> str:
    """The controller whose table the overflow value at this key belongs to."""
    return key.split("/")[1]


def shard_owner(record: dict) -> str | None:
    """The controller that a shard's record names."""
    return record.get("node")


def undelivered_key(node: str) -> str:
    """The key for the task updates that a controller could not send to the jobs' owners."""
    return UNDELIVERED_PREFIX + node


def write_undelivered(rows: dict[str, list]) -> dict:
    """The record of an undelivered key: {owner: rows of `peers.write_task_updates`}."""
    return {"to": rows}


def read_undelivered(record: Any, node: str) -> list:
    """The updates for the controller `node` in the record of an undelivered key."""
    return read_task_updates(((record or {}).get("to") or {}).get(node))
