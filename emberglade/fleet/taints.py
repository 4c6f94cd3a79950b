"""The leader's taints on machines, as the replica shows them.

Many machines fall silent together, and each key that is written counts, so taints are kept in few
keys: whatever happens to however many machines is a handful of writes (`taint_change.py`).
"""

from collections.abc import Iterator
from typing import NamedTuple

from .states import Taint
from .wire import read_taint

__all__ = ["KeyTaints", "MachineTaint", "Taint", "Taints"]


class MachineTaint(NamedTuple):
    """The taint of a machine.

    Attributes:
        taint: A Taint, or a stored value that this version does not know.
        mod_revision: The revision of the store that wrote it.
        seen_at: When it was seen here, by the steady clock.
    """

    taint: str
    mod_revision: int
    seen_at: float


class KeyTaints(NamedTuple):
    """The value of one key: {machine: stored taint}, and the revision that last wrote it."""

    mod_revision: int
    taints: dict[str, str]


NO_KEY = KeyTaints(0, {})  # a key that does not exist


class Taints:
    """The taints as committed.

    Attributes:
        by_machine: The taint of each tainted machine.
        by_key: The keys that hold them.
    """

    def __init__(self) -> None:
        self.by_machine: dict[str, MachineTaint] = {}
        self.by_key: dict[str, KeyTaints] = {}

    def apply(self, key: str, data: dict | None, mod_revision: int, now: float) -> list[str]:
        """Takes over the new value of one key, None if it was removed.

        Returns:
            The machines whose taints changed.
        """
        old, new = self.key_taints(key).taints, data or {}
        changed = [machine for machine, taint in old.items() if new.get(machine) != taint]
        changed += [machine for machine in new if machine not in old]
        self.by_key[key] = KeyTaints(mod_revision if data is not None else 0, new)
        # Machines that get the same taint share one row: thousands may change at once.
        rows = {
            value: MachineTaint(read_taint(value), mod_revision, now) for value in set(new.values())
        }
        for machine in changed:
            if machine in new:
                self.by_machine[machine] = rows[new[machine]]
            elif self.key_holding(machine) is None:
                # Else it was moved to another key, and that one was seen first.
                self.by_machine.pop(machine, None)
        return changed

    def key_taints(self, key: str) -> KeyTaints:
        """What a key holds; nothing if it does not exist."""
        return self.by_key.get(key, NO_KEY)

    def key_holding(self, machine: str) -> str | None:
        """The key that has a taint of this machine, or None."""
        return next((key for key, row in self.by_key.items() if machine in row.taints), None)

    def forget(self) -> None:
        """Forgets everything, before the whole replica is told anew."""
        self.by_machine = {}
        self.by_key = {}

    def __contains__(self, machine: str) -> bool:
        return machine in self.by_machine

    def __iter__(self) -> Iterator[str]:
        return iter(self.by_machine)

    def get(self, machine: str) -> str | None:
        """The taint of a machine, or None: a Taint, or a value that this version does not know."""
        row = self.by_machine.get(machine)
        return None if row is None else row.taint

    def items(self) -> list[tuple[str, str]]:
        """Pairs `(machine, taint)`."""
        return [(machine, row.taint) for machine, row in self.by_machine.items()]
