"""Emulates controllers of the previous version by restricting those of this version.

The previous version follows only the keys that it knows, reads exactly the fields of its own
records, and announces no format. The scenario fails on any record that the previous version could
not read or would rewrite incorrectly. Keys and fields are the stored ones, which `emberglade/jobs`
and `emberglade/state` define.
"""

import types
from typing import Any

from emberglade.actors import Actor
from emberglade.controller import Controller

KNOWN_KEYS = ("lead", "catalog")
JOB_PREFIX, CHUNK_PREFIX = "j/", "t/"
KNOWN_PREFIXES = (JOB_PREFIX, CHUNK_PREFIX, "s/", "m/", "n/", "r/", "f/")
SPEC_COLUMNS = 21
RECORD_FIELDS = {"s", "z", "w", "p"}  # spec, chunk size, cancelled flag, first chunk
CHUNK_FIELDS = {"d", "b", "t"}
CHUNK_KEY_DEPTH = 3  # t/<job>/<number>


class UnreadableRecordError(AssertionError):
    """A record that the previous version can't read was written while it serves."""


def is_known(key: str) -> bool:
    """Whether the previous version follows a key."""
    return key in KNOWN_KEYS or key.startswith(KNOWN_PREFIXES)


def check_readable(key: str, data: Any, chunk_sizes: dict[str, int]) -> None:
    """Checks that the previous version reads a value correctly.

    Args:
        key: The key without the prefix that all live keys have.
        data: Its value; None if it was removed.
        chunk_sizes: The known chunk size of each job, which must not change.

    Raises:
        UnreadableRecordError: The previous version can't read the value correctly.
    """
    if key.startswith(JOB_PREFIX):
        job_id = key[len(JOB_PREFIX) :]
        if data is None:
            chunk_sizes.pop(job_id, None)
        elif (
            len(data["s"]) != SPEC_COLUMNS
            or not set(data) <= RECORD_FIELDS
            or not set(data.get("p", {})) <= CHUNK_FIELDS
        ):
            raise UnreadableRecordError(f"{key}: {data}")
        elif chunk_sizes.setdefault(job_id, data["z"]) != data["z"]:
            raise UnreadableRecordError(f"{key}: the chunk size changed")
    elif key.startswith(CHUNK_PREFIX) and data is not None:
        depth = len(key.split("/"))
        if depth != CHUNK_KEY_DEPTH or not set(data) <= CHUNK_FIELDS:
            raise UnreadableRecordError(f"{key}: {data}")


def limit_to_known_keys(actor: Any) -> None:
    """Limits an actor's view of the state service to the keys that the previous version follows."""
    original = actor.on_changed
    chunk_sizes: dict[str, int] = {}

    def on_changed(_: Actor, events: list[tuple], revision: int, is_snapshot: bool) -> None:
        if is_snapshot:
            chunk_sizes.clear()
        known = [event for event in events if is_known(event[0])]
        for key, data, _ in known:
            check_readable(key, data, chunk_sizes)
        original(known, revision, is_snapshot)

    actor.on_changed = types.MethodType(on_changed, actor)


def as_previous_version(controller: Controller) -> list[tuple[Actor, str]]:
    """The controller's actors that the previous version has, limited to the keys it follows."""
    upgrade = controller.format_upgrade
    upgrade._post = lambda *_: None  # it still receives the identity, but handles no message
    actors = [(actor, name) for actor, name in controller.actors() if actor is not upgrade]
    for actor, _ in actors:
        if hasattr(actor, "on_changed"):
            limit_to_known_keys(actor)
    return actors
