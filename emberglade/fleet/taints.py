"""The leader's taints on machines: `lost`, `ended`, `drain`, `gone`.

Many machines fall silent together, and each key that is written counts, so taints are kept in few
keys: whatever happens to however many machines is a handful of writes.
"""

import zlib

KEYS = 4  # fewer are fewer writes; a value holds some hundred taints


def key_of(machine):
    return f"m/{zlib.crc32(machine.encode()) % KEYS}"


def size(row):
    """Bytes of one machine's taint in a value."""
    return len(row[0]) + len(row[1]) + 6


class Taints:
    """The taints as committed."""

    def __init__(self):
        self.of = {}  # machine -> (taint, revision of it, when it was seen here)
        self.keys = {}  # key -> (stamp, {machine: taint})

    def apply(self, key, data, stamp, now):
        """Takes over one key; returns the machines whose taints changed."""
        old, new = self.keys.get(key, (0, {}))[1], data or {}
        changed = [machine for machine, taint in old.items() if new.get(machine) != taint]
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
        """({key: (stamp, {machine: taint})}, the wishes that they carry out); what finds no room waits."""
        values, taken, sizes = {}, {}, {}
        for machine, taint in wishes.items():
            key = key_of(machine)
            if key not in values:
                if len(values) >= most:
                    continue
                stamp, taints = self.keys.get(key, (0, {}))
                values[key] = (stamp, dict(taints))
                sizes[key] = sum(map(size, taints.items()))
            if taint is not None:
                sizes[key] += size((machine, taint))
                if sizes[key] > value_bytes:
                    continue
            taken[machine] = taint
            if taint is None:
                values[key][1].pop(machine, None)
            else:
                values[key][1][machine] = taint
        return values, taken
