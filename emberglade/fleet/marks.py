"""The leader's marks on machines: `lost`, `ended`, `drain`, `gone`.

Many machines fall silent together, and each key that is written counts, so marks are kept in few
keys: whatever happens to however many machines is a handful of writes.
"""

import zlib

KEYS = 4  # fewer are fewer writes; a value holds some hundred marks


def key_of(machine):
    return f"m/{zlib.crc32(machine.encode()) % KEYS}"


def size(row):
    """Bytes of one machine's mark in a value."""
    return len(row[0]) + len(row[1]) + 6


class Marks:
    """The marks as committed."""

    def __init__(self):
        self.of = {}  # machine -> (mark, revision of it, when it was seen here)
        self.keys = {}  # key -> (stamp, {machine: mark})

    def apply(self, key, data, stamp, now):
        """Takes over one key; returns the machines whose marks changed."""
        old, new = self.keys.get(key, (0, {}))[1], data or {}
        changed = [machine for machine, mark in old.items() if new.get(machine) != mark]
        changed += [machine for machine in new if machine not in old]
        self.keys[key] = (stamp if data is not None else 0, new)
        for machine in changed:
            if machine in new:
                self.of[machine] = (new[machine], stamp, now)
            else:
                self.of.pop(machine, None)
        return changed

    def forget(self):
        """Before everything is read anew; what is there will be told again."""
        self.of, self.keys = {}, {}

    def __contains__(self, machine):
        return machine in self.of

    def __iter__(self):
        return iter(self.of)

    def get(self, machine):
        return self.of.get(machine, (None, 0, 0.0))[0]

    def items(self):
        return [(machine, row[0]) for machine, row in self.of.items()]

    def with_changes(self, wishes, value_bytes, most):
        """({key: (stamp, {machine: mark})}, the wishes that they carry out); what finds no room waits."""
        values, taken, sizes = {}, {}, {}
        for machine, mark in wishes.items():
            key = key_of(machine)
            if key not in values:
                if len(values) >= most:
                    continue
                stamp, marks = self.keys.get(key, (0, {}))
                values[key] = (stamp, dict(marks))
                sizes[key] = sum(map(size, marks.items()))
            if mark is not None:
                sizes[key] += size((machine, mark))
                if sizes[key] > value_bytes:
                    continue
            taken[machine] = mark
            if mark is None:
                values[key][1].pop(machine, None)
            else:
                values[key][1][machine] = mark
        return values, taken
