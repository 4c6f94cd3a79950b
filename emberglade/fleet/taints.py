"""The leader's taints on machines: `lost`, `ended`, `drain`, `gone`.

Many machines fall silent together, and each key that is written counts, so taints are kept in few
keys: whatever happens to however many machines is a handful of writes.
"""

import zlib

KEYS = 4  # fewer are fewer writes; a value holds some hundred taints
FRAME_BYTES = 2  # the braces of a value
# Of the values in one transaction: PROTOCOL's 64 KiB, less conditions and names of keys and fields.
MAX_CHANGE_BYTES = 48 * 1024


def key_of(machine):
    """The key that keeps a machine's taint, unless it has no room."""
    return f"m/{zlib.crc32(machine.encode()) % KEYS}"


def size(row):
    """Bytes of one machine's taint in a value."""
    return len(row[0]) + len(row[1]) + 6


class Taints:
    """The taints as committed."""

    def __init__(self):
        self.of = {}  # machine -> (taint, revision of it, when it was seen here)
        self.keys = {}  # key -> (stamp, {machine: taint})

    def apply(self, key, data, mod_revision, now):
        """Takes over one key; returns the machines whose taints changed."""
        old, new = self.keys.get(key, (0, {}))[1], data or {}
        changed = [machine for machine, taint in old.items() if new.get(machine) != taint]
        changed += [machine for machine in new if machine not in old]
        self.keys[key] = (mod_revision if data is not None else 0, new)
        for machine in changed:
            if machine in new:
                self.of[machine] = (new[machine], mod_revision, now)
            elif self.key_holding(machine) is None:
                # Else it was moved to another key, and that one was seen first.
                self.of.pop(machine, None)
        return changed

    def key_holding(self, machine):
        """The key that has a taint of this machine, or None."""
        return next((key for key, (_, taints) in self.keys.items() if machine in taints), None)

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

    def with_changes(self, wishes, value_bytes, most, may_move):
        """({key: (stamp, {machine: taint})}, the wishes that they carry out); what finds no room
        waits.

        At most `most` keys are written, none above `value_bytes`, and no more in all than a
        transaction takes. A key that a smaller limit finds
        too large passes taints on to others; `may_move`: whether every controller reads that
        rightly.
        """
        change = TaintChange(self, value_bytes, most, may_move)
        taken = {machine: taint for machine, taint in wishes.items() if change.put(machine, taint)}
        if may_move:
            change.shrink()
        return change.values(), taken


class TaintChange:
    """The new values of some keys, worked out change by change."""

    def __init__(self, taints, value_bytes, most, may_move):
        self.taints, self.value_bytes, self.most = taints, value_bytes, most
        self.may_move = may_move
        self.open = {}  # key -> {machine: taint}
        self.sizes = {}
        self.reserved = 0  # keys that those which are too large will pass taints on to

    def values(self):
        return {
            key: (self.taints.keys.get(key, (0, {}))[0], rows) for key, rows in self.open.items()
        }

    def take(self, key):
        """Whether the key is among those to be written; adds it if there is still room for one."""
        if key in self.open:
            return True
        rows = dict(self.taints.keys.get(key, (0, {}))[1])
        taken = FRAME_BYTES + sum(map(size, rows.items()))
        further = taken // self.value_bytes if taken > self.value_bytes else 0
        if len(self.open) + self.reserved + 1 + further > self.most:
            return False
        room = MAX_CHANGE_BYTES - sum(self.sizes.values()) - self.reserved * self.value_bytes
        if self.open and taken + further * self.value_bytes > room:
            return False
        self.open[key], self.sizes[key] = rows, taken
        self.reserved += further
        return True

    def put(self, machine, taint):
        """Carries one wish out, if there is room for it."""
        key = self.taints.key_holding(machine) or self.key_with_room(machine, taint)
        if key is None or not self.take(key):
            return False
        before = size((machine, self.open[key][machine])) if machine in self.open[key] else 0
        more = (size((machine, taint)) if taint is not None else 0) - before
        # Once broken: 4,000 machines fell silent together, their taints made a transaction above
        # the limit, and then, each a byte longer, values above theirs; these were refused again
        # and again (fleet/nearly_all_machines_fail.txt).
        if more > 0 and sum(self.sizes.values()) + more > MAX_CHANGE_BYTES:
            return False
        target = key
        if more > 0 and self.sizes[key] + more > self.value_bytes:
            target = self.key_with_room(machine, taint, full=key)
            if target is None or not self.take(target):
                return False
        self.sizes[key] -= before
        self.open[key].pop(machine, None)
        if taint is not None:
            self.open[target][machine] = taint
            self.sizes[target] += size((machine, taint))
        return True

    def key_with_room(self, machine, taint, full=None):
        """The machine's own key, or else the first further one that has room; None if too many
        would be written.
        """
        need = size((machine, taint or ""))
        # The version before looks for a machine's taint in its own key alone.
        last = KEYS + len(self.taints.keys) + 1 if self.may_move else KEYS
        further = [f"m/{number}" for number in range(KEYS, last)]
        for key in [key_of(machine), *further]:
            if key == full or (key not in self.open and len(self.open) >= self.most):
                continue
            rows = self.taints.keys.get(key, (0, {}))[1].items()
            taken = self.sizes.get(key, FRAME_BYTES + sum(map(size, rows)))
            if taken + need <= self.value_bytes:
                return key
        return None

    def shrink(self):
        """Moves taints from keys that are too large to others, in the same transaction."""
        self.reserved = 0
        for key in list(self.open):
            rows = self.open[key]
            for machine in list(rows):
                if self.sizes[key] <= self.value_bytes:
                    break
                target = self.key_with_room(machine, rows[machine], full=key)
                if target is None or not self.take(target):
                    break
                taint = rows.pop(machine)
                self.sizes[key] -= size((machine, taint))
                self.open[target][machine] = taint
                self.sizes[target] += size((machine, taint))
