"""Membership's keys and records in the store: the one place that knows their names and fields.

Keys are without the LIVE prefix, as the replica holds them. Records are JSON objects.
"""

LEADER_KEY = "lead"  # the leader's key: a holder record, under the leader's lease
FORMAT_KEY = "format"  # the cluster's record format
NODE_PREFIX = "n/"  # n/NODE: a controller's key, under its lease
SHARD_PREFIX = "s/"  # s/SHARD: who holds a shard
READER_PREFIX = "v/"  # v/NODE: the format that a controller's process reads


def node_key(node):
    """The key of a controller."""
    return NODE_PREFIX + node


def shard_key(shard):
    """The key of a shard (a number)."""
    return f"{SHARD_PREFIX}{shard}"


def reader_key(node):
    """The key under which a controller states which format it reads."""
    return READER_PREFIX + node


def overflow_key(node, number):
    """The key of a controller's overflow value `number` of its table."""
    return f"r/{node}/{number}"


def holder_record(node, incarnation):
    """The record of a shard's or the leader's key."""
    return {"node": node, "inc": incarnation}


def read_holder(data) -> tuple[str | None, int | None]:
    """(node, incarnation) of a holder record; either may be None."""
    return data.get("node"), data.get("inc")


def node_record(incarnation, table):
    """The record of a controller's key."""
    return {"inc": incarnation, "table": table}


def read_incarnation(data):
    """The incarnation of a controller's or a reader's record, or None."""
    return data.get("inc")


def reader_record(incarnation, record_format):
    """The record that states which format a controller's process reads."""
    return {"inc": incarnation, "format": record_format}


def format_record(record_format):
    """The record of FORMAT_KEY."""
    return {"format": record_format}


def read_format(data):
    """The format that the record of FORMAT_KEY names; 1 if it names none."""
    return data.get("format", 1)
