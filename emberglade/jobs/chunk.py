"""A chunk: the state of a range of a job's tasks that is stored in one key."""

from dataclasses import dataclass, field

from .binding import Binding


@dataclass
class Chunk:
    """The tasks of one chunk that are done, bound, or have been attempted before.

    Pending tasks that were never attempted take no space, and done tasks are stored as ranges, so
    that the chunks of 100,000 tasks fit the store's limit on the size of a value.

    Attributes:
        done: Tasks that have completed.
        bindings: task -> Binding of the bound tasks.
        last_attempts: task -> last attempt of the tasks that were attempted and are neither bound
            nor done.
        mod_revision: Mod revision of the chunk's key, as last seen or written; 0: the key does not
            exist; -1: unknown.
    """

    done: set[int] = field(default_factory=set)
    bindings: dict[int, Binding] = field(default_factory=dict)
    last_attempts: dict[int, int] = field(default_factory=dict)
    mod_revision: int = 0
