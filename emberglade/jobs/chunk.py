"""A chunk of a job's tasks: what one key holds of them."""

from dataclasses import dataclass, field

from .binding import Binding


@dataclass
class Chunk:
    """The tasks of one chunk that are done, bound, or were tried before.

    Pending tasks that never ran take no space, and finished ones are stored as ranges, so 100,000
    tasks fit the value limit chunk by chunk.

    Attributes:
        done: Tasks that have completed.
        bindings: The bound tasks.
        last_attempts: The last attempt of tasks that were tried, and are neither bound nor done.
        mod_revision: Of the chunk's key, as last seen or written; 0: none; -1: not known.
    """

    done: set[int] = field(default_factory=set)
    bindings: dict[int, Binding] = field(default_factory=dict)
    last_attempts: dict[int, int] = field(default_factory=dict)
    mod_revision: int = 0
