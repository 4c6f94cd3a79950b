"""Writes the leader's taints, one transaction at a time."""

import logging

from ..actors import callback, tell, tell_after
from ..state import LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS

log = logging.getLogger("emberglade.fleet")


class TaintWriter:
    """The part of the autoscaler that makes taints durable."""

    def taint(self, names, taint):
        """Wishes for a taint. A machine has one wish at a time, so each is for the taint that it
        was seen with.
        """
        self.wishes.update(
            (name, taint)
            for name in names
            if name not in self.tainting and (taint == "gone" or name not in self.wishes)
        )
        self.write_taints()

    def write_taints(self):
        """One transaction at a time, of all machines that anything is wished for: keys hold many
        taints.
        """
        if self.tainting or not self.wishes or not self.leading:
            return
        values, self.tainting = self.taints.with_changes(
            self.wishes, self.settings.value_bytes, self.settings.txn_ops, self.format_raised
        )
        if not self.tainting:
            return
        for name in self.tainting:
            del self.wishes[name]
        conditions = [(LIVE_PREFIX + "lead", self.leader[2])] + [
            (LIVE_PREFIX + key, mod_revision) for key, (mod_revision, _) in values.items()
        ]
        writes = [state_wire.put(LIVE_PREFIX + key, taints) for key, (_, taints) in values.items()]
        tell(
            self.store.on_commit,
            DECISIONS,
            conditions,
            writes,
            callback(self.on_tainted, self.leader),
        )

    def on_tainted(self, leader, status, revision, failed):
        tell(self.store.on_sync, callback(self.on_taint_seen, leader, status))

    def on_taint_seen(self, leader, status, revision):
        if self.leader != leader:
            return
        if revision is None:
            # The copy may not show what was written; the next taints are worked out from it.
            tell_after(0.5, self.on_tainted, leader, status, None, None)
            return
        tainting, self.tainting = self.tainting, {}
        if status != 200:
            # Others are wished for again as long as they are due; this one is the proof that came
            # once.
            self.wishes.update(
                (name, taint)
                for name, taint in tainting.items()
                if taint == "gone" and self.taints.get(name) != "gone"
            )
        self.write_taints()
