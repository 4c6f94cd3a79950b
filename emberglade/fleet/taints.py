"""The leader's taints on machines, as the replica shows them.

Many machines can fail at once, and the state service limits the keys written per second and per
transaction. So the taints of all machines are stored in a few keys, and a change of any number of
taints takes few writes (`taint_change.py`).
"""

from collections.abc import Iterator
from typing import NamedTuple

from .states import Taint
from .wire import read_taint

__all__ = ["KeyTaints", "MachineTaint", "Taint", "Taints"]


class MachineTaint(NamedTuple):
    """The taint of a machine.

    Attributes:
        taint: A Taint, or a stored value that is unknown to this version.
        mod_revision: The mod revision of its key after the change that set the taint.
        seen_at: When this controller's replica first showed it, by the monotonic clock.
    """

    taint: str
    mod_revision: int
    seen_at: float


class KeyTaints(NamedTuple):
    """The value of one key, {machine: stored taint}, and its mod revision."""

    mod_revision: int
    taints: dict[str, str]


MISSING_KEY = KeyTaints(0, {})  # a key that does not exist


class Taints:
    """All committed taints.

    Attributes:
        by_machine: {machine: MachineTaint} of all tainted machines.
        by_key: {key: KeyTaints}; a removed key stays, without taints.
    """

    def __init__(self) -> None:
        self.by_machine: dict[str, MachineTaint] = {}
        self.by_key: dict[str, KeyTaints] = {}

    def apply(self, key: str, data: dict | None, mod_revision: int, now: float) -> list[str]:
        """Applies the new value of one key; `data` is None if the key was removed.

        Returns:
            The machines whose taints changed.
        """
        old, new = self.key_taints(key).taints, data or {}
        changed = [machine for machine, taint in old.items() if new.get(machine) != taint]
        changed += [machine for machine in new if machine not in old]
        self.by_key[key] = KeyTaints(mod_revision if data is not None else 0, new)
        # Machines with the same new taint share one object, as thousands may change at once.
        taint_by_value = {
            value: MachineTaint(read_taint(value), mod_revision, now) for value in set(new.values())
        }
        for machine in changed:
            if machine in new:
                self.by_machine[machine] = taint_by_value[new[machine]]
            elif self.key_containing(machine) is None:
                # No key contains the machine any more. If another key did, the taint would have
                # moved there, and `by_machine` would already have that key's entry.
                self.by_machine.pop(machine, None)
        return changed

    def key_taints(self, key: str) -> KeyTaints:
        """The taints in a key; empty if the key does not exist."""
        return self.by_key.get(key, MISSING_KEY)

    def key_containing(self, machine: str) -> str | None:
        """The key that contains a taint of this machine, or None."""
        return next((key for key, row in self.by_key.items() if machine in row.taints), None)

    def forget(self) -> None:
        """Removes all taints, before a snapshot of the replica is applied."""
        self.by_machine = {}
        self.by_key = {}

    def __contains__(self, machine: str) -> bool:
        return machine in self.by_machine

    def __iter__(self) -> Iterator[str]:
        return iter(self.by_machine)

    def get(self, machine: str) -> str | None:
        """The taint of a machine: a Taint, a value unknown to this version, or None."""
        row = self.by_machine.get(machine)
        return None if row is None else row.taint

    def items(self) -> list[tuple[str, str]]:
        """Pairs `(machine, taint)`."""
        return [(machine, row.taint) for machine, row in self.by_machine.items()]
