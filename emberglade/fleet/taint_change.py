"""Plans which keys to write for changes of taints, within the limits of the state service."""

import zlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from . import wire
from .states import Taint
from .taints import KeyTaints, Taints

HOME_KEY_COUNT = 4  # few keys mean few writes; a value holds hundreds of taints
VALUE_OVERHEAD_BYTES = 2  # the braces
ROW_OVERHEAD_BYTES = 6  # quotes, colon and comma of a machine's taint
# Maximum size of all values in one transaction: PROTOCOL's 64 KiB, less conditions and names of
# keys and fields.
MAX_CHANGE_BYTES = 48 * 1024


class ChangeLimits(NamedTuple):
    """The limits of one transaction.

    Attributes:
        value_bytes: Maximum size of one value.
        keys: Maximum number of keys written.
        may_move: Whether taints may be stored in other keys than their home key. Requires that
            every controller runs a version that reads them there.
    """

    value_bytes: int
    keys: int
    may_move: bool


class PlannedChange(NamedTuple):
    """A transaction that changes taints.

    Attributes:
        values: The new value of each key, and the mod revision of its current value.
        applied: {machine: new taint} for the changes that the values contain; None removes a taint.
    """

    values: dict[str, KeyTaints]
    applied: dict[str, Taint | None]


def plan_change(
    taints: Taints, pending: Mapping[str, Taint | None], limits: ChangeLimits
) -> PlannedChange:
    """The transaction for as many of the pending changes as the limits allow.

    If the value of a key in the transaction is above the size limit, for example because the limit
    was lowered, some of its taints move to other keys, provided that `limits.may_move`.
    """
    change = TaintChange(taints, limits)
    applied = {machine: taint for machine, taint in pending.items() if change.put(machine, taint)}
    if limits.may_move:
        change.shrink()
    return PlannedChange(change.values(), applied)


def home_key(machine: str) -> str:
    """The key that stores a machine's taint unless that key is full."""
    return wire.taint_key(zlib.crc32(machine.encode()) % HOME_KEY_COUNT)


def row_bytes(machine: str, taint: str) -> int:
    """The size of one machine's taint in a value."""
    return len(machine) + len(taint) + ROW_OVERHEAD_BYTES


def value_bytes(rows: Iterable[tuple[str, str]]) -> int:
    """The size of a value that consists of these `(machine, taint)`."""
    return VALUE_OVERHEAD_BYTES + sum(row_bytes(machine, taint) for machine, taint in rows)


class TaintChange:
    """The new values of some keys, built change by change.

    Attributes:
        rows: {key to be written: {machine: stored taint}}.
        sizes: {key to be written: size of its value in bytes}.
        reserved_keys: Number of overflow keys reserved for taints that `shrink` moves out of values
            above the limit.
    """

    def __init__(self, taints: Taints, limits: ChangeLimits) -> None:
        self.taints = taints
        self.limits = limits
        self.rows: dict[str, dict[str, str]] = {}
        self.sizes: dict[str, int] = {}
        self.reserved_keys = 0

    def values(self) -> dict[str, KeyTaints]:
        """The new value of each key, with the mod revision of its current value."""
        return {
            key: KeyTaints(self.taints.key_taints(key).mod_revision, rows)
            for key, rows in self.rows.items()
        }

    def put(self, machine: str, taint: Taint | None) -> bool:
        """Adds one change, if it fits; `taint` None removes the machine's taint."""
        key = self.taints.key_containing(machine) or self.find_key(machine, taint)
        if key is None or not self._include(key):
            return False
        old = self.rows[key].get(machine)
        before = row_bytes(machine, old) if old is not None else 0
        after = row_bytes(machine, taint) if taint is not None else 0
        growth = after - before
        # Without these limits, the taints of 4,000 machines that are lost together exceed the size
        # limit of a transaction. When they change from `lost` to `ended`, each grows by a byte, and
        # values exceed their own limit. The state service rejects these writes at every retry
        # (fleet/nearly_all_machines_fail.txt).
        if growth > 0 and sum(self.sizes.values()) + growth > MAX_CHANGE_BYTES:
            return False
        target: str | None = key
        if growth > 0 and self.sizes[key] + growth > self.limits.value_bytes:
            target = self.find_key(machine, taint, full_key=key)
        if target is None or not self._include(target):
            return False
        self._remove_row(key, machine)
        if taint is not None:
            self._add_row(target, machine, taint.value)
        return True

    def find_key(self, machine: str, taint: str | None, full_key: str | None = None) -> str | None:
        """The key for a machine's taint: its home key, or the first overflow key where it fits.

        Args:
            machine: The machine's name.
            taint: The taint to be written.
            full_key: A key known to be full.

        Returns:
            The key; None if the taint fits in no key that the transaction may write.
        """
        needed_bytes = row_bytes(machine, taint or "")
        for key in [home_key(machine), *self._overflow_keys()]:
            if key == full_key or (key not in self.rows and len(self.rows) >= self.limits.keys):
                continue
            if self._value_bytes(key) + needed_bytes <= self.limits.value_bytes:
                return key
        return None

    def shrink(self) -> None:
        """Moves taints out of values above the limit to other keys."""
        self.reserved_keys = 0
        for key in list(self.rows):
            self._shrink_key(key)

    def _shrink_key(self, key: str) -> None:
        for machine, taint in list(self.rows[key].items()):
            if self.sizes[key] <= self.limits.value_bytes:
                return
            target = self.find_key(machine, taint, full_key=key)
            if target is None or not self._include(target):
                return
            self._remove_row(key, machine)
            self._add_row(target, machine, taint)

    def _include(self, key: str) -> bool:
        """Adds the key to those to be written, if the limits allow it.

        Returns whether the key is among them now.
        """
        if key in self.rows:
            return True
        rows = dict(self.taints.key_taints(key).taints)
        size = value_bytes(rows.items())
        limit = self.limits.value_bytes
        overflow_keys = size // limit if size > limit else 0  # for the taints that `shrink` moves
        if len(self.rows) + self.reserved_keys + 1 + overflow_keys > self.limits.keys:
            return False
        free = MAX_CHANGE_BYTES - sum(self.sizes.values()) - self.reserved_keys * limit
        if self.rows and size + overflow_keys * limit > free:
            return False
        self.rows[key] = rows
        self.sizes[key] = size
        self.reserved_keys += overflow_keys
        return True

    def _overflow_keys(self) -> list[str]:
        # Overflow keys have the numbers after those of the home keys. They are not used while
        # controllers of the previous version may be running, which look for a machine's taint only
        # in its home key.
        last = (
            HOME_KEY_COUNT + len(self.taints.by_key) + 1 if self.limits.may_move else HOME_KEY_COUNT
        )
        return [wire.taint_key(number) for number in range(HOME_KEY_COUNT, last)]

    def _value_bytes(self, key: str) -> int:
        """The size of a key's new value, or of its current value if it is not to be written."""
        size = self.sizes.get(key)
        return value_bytes(self.taints.key_taints(key).taints.items()) if size is None else size

    def _remove_row(self, key: str, machine: str) -> None:
        taint = self.rows[key].pop(machine, None)
        if taint is not None:
            self.sizes[key] -= row_bytes(machine, taint)

    def _add_row(self, key: str, machine: str, taint: str) -> None:
        self.rows[key][machine] = taint
        self.sizes[key] += row_bytes(machine, taint)
