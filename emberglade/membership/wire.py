"""Keys and records of membership in the store.

Keys are without LIVE_PREFIX, as in the replica. Records are JSON objects. The contents of tables,
overflow values and shard records are also read by functions in other packages (`fleet/wire.py`,
`agents/wire`).
"""

from collections.abc import Mapping
from typing import Any

from .owner import Owner

LEADER_KEY = "lead"  # the leader's key: an owner record, under the leader's lease
FORMAT_KEY = "format"  # the cluster's record format
NODE_PREFIX = "n/"  # n/NODE: a controller's key, under its lease
SHARD_PREFIX = "s/"  # s/SHARD: the owner of a shard
READER_PREFIX = "v/"  # v/NODE: the format that a controller's process reads

Record = Mapping[str, Any]


# --- keys


def node_key(node: str) -> str:
    """The key of a controller."""
    return NODE_PREFIX + node


def shard_key(shard: int) -> str:
    """The key of a shard."""
    return f"{SHARD_PREFIX}{shard}"


def read_shard_key(key: str) -> int:
    """The shard of a shard key."""
    return int(key[len(SHARD_PREFIX) :])


def reader_key(node: str) -> str:
    """The key under which a controller states which format it reads."""
    return READER_PREFIX + node


def overflow_key(node: str, number: int) -> str:
    """The key of overflow value `number` of a controller's table."""
    return f"r/{node}/{number}"


# --- records


def owner_record(node: str, incarnation: int | None) -> Record:
    """The record of a shard key or the leader's key."""
    return {"node": node, "inc": incarnation}


def read_owner(record: Record, mod_revision: int) -> Owner:
    """The owner in the record of a shard key or the leader's key."""
    return Owner(record.get("node"), record.get("inc"), mod_revision)


def node_record(incarnation: int | None, table: Any) -> Record:
    """The record of a controller's key."""
    return {"inc": incarnation, "table": table}


def read_incarnation(record: Record) -> int | None:
    """The incarnation in the record of a controller's key or a reader key."""
    return record.get("inc")


def reader_record(incarnation: int, record_format: int) -> Record:
    """The record of a reader key: the format that a controller's process reads."""
    return {"inc": incarnation, "format": record_format}


def format_record(record_format: int) -> Record:
    """The record of FORMAT_KEY."""
    return {"format": record_format}


def read_format(record: Record) -> int:
    """The format in the record of FORMAT_KEY; 1 if the record does not state one."""
    return record.get("format", 1)
