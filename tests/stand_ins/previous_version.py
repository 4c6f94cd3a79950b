"""Controllers of the version before, written from its behaviour: what it reads, and what it can't.

It follows only the keys that it knows, reads exactly the fields of its own records, and announces
no format. Whatever it couldn't read or would rewrite wrongly fails the scenario. Keys and fields
are the stored ones; `emberglade/jobs` and `emberglade/state` say what they mean.
"""

import types
from typing import Any

from emberglade.actors import Actor
from emberglade.controller import Controller

KNOWN_KEYS = ("lead", "catalog")
JOB_PREFIX, CHUNK_PREFIX = "j/", "t/"
KNOWN_PREFIXES = (JOB_PREFIX, CHUNK_PREFIX, "s/", "m/", "n/", "r/", "f/")
SPEC_COLUMNS = 21
RECORD_FIELDS = {"s", "z", "w", "p"}  # spec, size of a chunk, whether cancelled, first chunk
CHUNK_FIELDS = {"d", "b", "t"}
CHUNK_KEY_DEPTH = 3  # t/<job>/<number>


class UnreadableRecordError(AssertionError):
    """The version before can't read a record that was written while it serves."""


def is_known(key: str) -> bool:
    """Whether the version before follows a key."""
    return key in KNOWN_KEYS or key.startswith(KNOWN_PREFIXES)


def check_readable(key: str, data: Any, chunk_sizes: dict[str, int]) -> None:
    """Checks that the version before reads a value rightly.

    Args:
        key: The key without its prefix.
        data: Its value; None: it was removed.
        chunk_sizes: The size of each job's chunks so far, which must not change.

    Raises:
        UnreadableRecordError: It does not.
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
            raise UnreadableRecordError(f"{key}: another size of chunks")
    elif key.startswith(CHUNK_PREFIX) and data is not None:
        depth = len(key.split("/"))
        if depth != CHUNK_KEY_DEPTH or not set(data) <= CHUNK_FIELDS:
            raise UnreadableRecordError(f"{key}: {data}")


def limit_to_known_keys(actor: Any) -> None:
    """Lets an actor see only what the version before sees of the state service."""
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
    """The actors of a controller that the version before has, seeing what it sees."""
    upgrade = controller.format_upgrade
    upgrade._post = lambda *_: None  # it is told who it is, and does nothing
    actors = [(actor, name) for actor, name in controller.actors() if actor is not upgrade]
    for actor, _ in actors:
        if hasattr(actor, "on_changed"):
            limit_to_known_keys(actor)
    return actors
