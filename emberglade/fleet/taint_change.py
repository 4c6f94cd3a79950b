"""Works out which keys to write for changes of taints, within the limits of the state service."""

import zlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from . import wire
from .states import Taint
from .taints import KeyTaints, Taints

KEYS = 4  # fewer are fewer writes; a value holds some hundred taints
FRAME_BYTES = 2  # the braces of a value
ROW_BYTES = 6  # of a machine's taint in a value: quotes, colon and comma
# Of the values in one transaction: PROTOCOL's 64 KiB, less conditions and names of keys and fields.
MAX_CHANGE_BYTES = 48 * 1024


class ChangeLimits(NamedTuple):
    """What one transaction may do.

    Attributes:
        value_bytes: The most that one value may take.
        keys: The most keys that may be written.
        may_move: Whether a taint may be in another key than its machine's own: whether every
            controller's version looks for it there.
    """

    value_bytes: int
    keys: int
    may_move: bool


class PlannedChange(NamedTuple):
    """A transaction that changes taints.

    Attributes:
        values: The new value of each key, and the revision at which the key was read.
        carried_out: The changes that the values carry out, None where a taint is removed.
    """

    values: dict[str, KeyTaints]
    carried_out: dict[str, Taint | None]


def plan_change(
    taints: Taints, pending: Mapping[str, Taint | None], limits: ChangeLimits
) -> PlannedChange:
    """The transaction that carries out what it can of the pending changes; the rest waits.

    A key that a smaller limit of values finds too large passes taints on to others.
    """
    change = TaintChange(taints, limits)
    carried_out = {
        machine: taint for machine, taint in pending.items() if change.put(machine, taint)
    }
    if limits.may_move:
        change.shrink()
    return PlannedChange(change.values(), carried_out)


def home_key(machine: str) -> str:
    """The key that keeps a machine's taint, unless that key is full."""
    return wire.taint_key(zlib.crc32(machine.encode()) % KEYS)


def row_bytes(machine: str, taint: str) -> int:
    """Bytes of one machine's taint in a value."""
    return len(machine) + len(taint) + ROW_BYTES


def value_bytes(rows: Iterable[tuple[str, str]]) -> int:
    """Bytes of a value that holds these `(machine, taint)`."""
    return FRAME_BYTES + sum(row_bytes(machine, taint) for machine, taint in rows)


class TaintChange:
    """The new values of some keys, worked out change by change.

    Attributes:
        rows: {key to be written: {machine: stored taint}}.
        sizes: {key to be written: bytes of its value}.
        reserved: How many further keys those which are too large will pass taints on to.
    """

    def __init__(self, taints: Taints, limits: ChangeLimits) -> None:
        self.taints = taints
        self.limits = limits
        self.rows: dict[str, dict[str, str]] = {}
        self.sizes: dict[str, int] = {}
        self.reserved = 0

    def values(self) -> dict[str, KeyTaints]:
        """The new value of each key, with the revision at which the key was read."""
        return {
            key: KeyTaints(self.taints.key_taints(key).mod_revision, rows)
            for key, rows in self.rows.items()
        }

    def put(self, machine: str, taint: Taint | None) -> bool:
        """Carries out one change, if it fits; None removes the machine's taint."""
        key = self.taints.key_holding(machine) or self.find_key(machine, taint)
        if key is None or not self._include(key):
            return False
        old = self.rows[key].get(machine)
        before = row_bytes(machine, old) if old is not None else 0
        after = row_bytes(machine, taint) if taint is not None else 0
        growth = after - before
        # Once broken: 4,000 machines fell silent together, their taints made a transaction above
        # the limit, and then, each a byte longer, values above theirs; these were refused again
        # and again (fleet/nearly_all_machines_fail.txt).
        if growth > 0 and sum(self.sizes.values()) + growth > MAX_CHANGE_BYTES:
            return False
        target: str | None = key
        if growth > 0 and self.sizes[key] + growth > self.limits.value_bytes:
            target = self.find_key(machine, taint, full=key)
        if target is None or not self._include(target):
            return False
        self._remove_row(key, machine)
        if taint is not None:
            self._add_row(target, machine, taint.value)
        return True

    def find_key(self, machine: str, taint: str | None, full: str | None = None) -> str | None:
        """The key for a machine's taint: its home, or else the first further one where it fits.

        Args:
            machine: The machine's name.
            taint: The taint that is to be written.
            full: A key that is known to be full.

        Returns:
            The key; None if too many keys would be written.
        """
        need = row_bytes(machine, taint or "")
        for key in [home_key(machine), *self._further_keys()]:
            if key == full or (key not in self.rows and len(self.rows) >= self.limits.keys):
                continue
            if self._value_bytes(key) + need <= self.limits.value_bytes:
                return key
        return None

    def shrink(self) -> None:
        """Moves taints from keys that are too large to others, in the same transaction."""
        self.reserved = 0
        for key in list(self.rows):
            self._shrink_key(key)

    def _shrink_key(self, key: str) -> None:
        for machine, taint in list(self.rows[key].items()):
            if self.sizes[key] <= self.limits.value_bytes:
                return
            target = self.find_key(machine, taint, full=key)
            if target is None or not self._include(target):
                return
            self._remove_row(key, machine)
            self._add_row(target, machine, taint)

    def _include(self, key: str) -> bool:
        """Whether the key is among those to be written; adds it if the limits allow it."""
        if key in self.rows:
            return True
        rows = dict(self.taints.key_taints(key).taints)
        size = value_bytes(rows.items())
        limit = self.limits.value_bytes
        further = size // limit if size > limit else 0  # keys that it will pass taints on to
        if len(self.rows) + self.reserved + 1 + further > self.limits.keys:
            return False
        free = MAX_CHANGE_BYTES - sum(self.sizes.values()) - self.reserved * limit
        if self.rows and size + further * limit > free:
            return False
        self.rows[key] = rows
        self.sizes[key] = size
        self.reserved += further
        return True

    def _further_keys(self) -> list[str]:
        # The version before looks for a machine's taint in its home key alone.
        last = KEYS + len(self.taints.by_key) + 1 if self.limits.may_move else KEYS
        return [wire.taint_key(number) for number in range(KEYS, last)]

    def _value_bytes(self, key: str) -> int:
        """Bytes of a key's value: as it is to be written, or as it is."""
        size = self.sizes.get(key)
        return value_bytes(self.taints.key_taints(key).taints.items()) if size is None else size

    def _remove_row(self, key: str, machine: str) -> None:
        taint = self.rows[key].pop(machine, None)
        if taint is not None:
            self.sizes[key] -= row_bytes(machine, taint)

    def _add_row(self, key: str, machine: str, taint: str) -> None:
        self.rows[key][machine] = taint
        self.sizes[key] += row_bytes(machine, taint)
