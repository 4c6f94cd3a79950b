"""Checks who holds the shards and the lead, over the whole history of the state service."""

from typing import NamedTuple

LIVE_PREFIX = "eg/l/"
JOB_KEYS = (LIVE_PREFIX + "j/", LIVE_PREFIX + "t/")
# Times as shares of a worker's lease.
ABLE_SHARE = 2 / 9  # a controller served by the state service within it can do its shards' work
LEFT_SHARE = 1.0  # what a controller that has ended held must be others' after that
BOUNCE_WINDOW_S, MOST_IN_WINDOW = 60.0, 4


class Change(NamedTuple):
    """A shard's or the lead's key was written or removed."""

    at: float
    what: str  # "s/3" or "lead"
    node: str | None
    before: str | None


class Ownership:
    """Follows each transaction; `watch` adds rules on takeovers to the observer's."""

    def __init__(self, cluster):
        self.cluster, self.world, self.state = cluster, cluster.world, cluster.state
        self.changes = []
        self.served_at = {}  # controller -> when the state service last served it
        self.first_served = {}  # process -> when the state service served it first
        self.watching = False
        self.left_since = {}  # what -> since when its holder's process is no more
        self._wrap()

    def watch(self):
        """Also notes takeovers from controllers that could work, what is left, and bounces."""
        self.watching = True
        self.world.at(1.0, self.look)

    def _wrap(self):
        state, handle, txn = self.state, self.state.handle, self.state.txn

        def followed_handle(method, path, body, source, reply):
            def answered(status, data=None):
                if status == 200 and source in self.cluster.processes:
                    self.served_at[source] = self.world.now
                    self.first_served.setdefault(self.cluster.processes[source], self.world.now)
                reply(status, data)

            handle(method, path, body, source, answered)

        def followed_txn(data, source):
            before = {key: self.holder(key) for key in self.claims(data)}
            existed = {key for key in self.job_writes(data) if key in state.keys}
            holders = {what: self.holder(what) for what in self.conditions(data)}
            result = txn(data, source)
            if result[0] == 200:
                self.check_writer(data, source, existed, holders)
                for what, former in before.items():
                    self.note(what, former, self.holder(what))
            return result

        state.txn = followed_txn
        self.world.hosts["state"] = followed_handle

    @staticmethod
    def claims(data):
        """What of a transaction writes shards or the lead."""
        names = [write.get("put", "")[len(LIVE_PREFIX) :] for write in data.get("writes", [])]
        return [name for name in names if name == "lead" or name.startswith("s/")]

    @staticmethod
    def conditions(data):
        """The shards on whose epoch a transaction hangs."""
        keys = [row["key"] for row in data.get("when", [])]
        return [key[len(LIVE_PREFIX) :] for key in keys if key.startswith(LIVE_PREFIX + "s/")]

    @staticmethod
    def job_writes(data):
        keys = [write.get("put") or write.get("remove") for write in data.get("writes", [])]
        return [key for key in keys if key.startswith(JOB_KEYS)]

    def holder(self, what):
        row = self.state.keys.get(LIVE_PREFIX + what)
        return None if row is None else row[0]["node"]

    def check_writer(self, data, source, existed, holders):
        """What a job's record already held is changed by the holder of its shard, or called off."""
        claimed = self.claims(data)
        former = {
            what: node for what, node in holders.items() if node != source and what not in claimed
        }
        if former:
            self.breach("stale_holder_write", f"{source} commits on the epoch of {former}")
        # Parts that no record names any more are removed without.
        changed = [
            write
            for write in data.get("writes", [])
            if (write.get("put") or write.get("remove")) in existed
            and not write.get("remove", "").startswith(LIVE_PREFIX + "t/")
        ]
        calls_off = all("put" in write and write["data"].get("w") for write in changed)
        if changed and not holders and not calls_off:
            self.breach("stale_holder_write", f"{source} changes {existed} on no shard's epoch")

    def note(self, what, before, node):
        change = Change(self.world.now, what, node, before)
        self.changes.append(change)
        if not self.watching or before in (None, node):
            return
        if what != "lead" and node == self.home(what):
            return
        if self.able(before):
            self.breach("false_failover", f"{node} takes {what} from {before}, which could work")
        lately = [
            row
            for row in self.moves(0.0)
            if row.what == what and row.at > self.world.now - BOUNCE_WINDOW_S
        ]
        if len(lately) > MOST_IN_WINDOW:
            self.breach("shard_flapping", f"{what} changed hands {len(lately)} times in a minute")

    def breach(self, rule, text):
        self.cluster.observer.breach(rule, text)

    def home(self, what):
        return self.cluster.names[int(what[2:]) % len(self.cluster.names)]

    def able(self, node):
        """Whether the controller runs, stands not still, and the state service serves it; for long
        enough that others could know.
        """
        process, now = self.cluster.processes[node], self.world.now
        fresh = self.cluster.limits["lease_s"] * ABLE_SHARE
        return (
            process.alive
            and process.frozen_until <= now
            and self.world.blocked(node, "state") is None
            and now - self.first_served.get(process, now) >= fresh
            and now - self.served_at.get(node, -1e9) < fresh
        )

    def look(self):
        """What is held by a process that is no more must find another holder in time."""
        self.world.at(0.5, self.look)
        now, anyone = self.world.now, any(map(self.able, self.cluster.names))
        whats = ["lead", *(key[len(LIVE_PREFIX) :] for key in self.state.keys if key[5:7] == "s/")]
        for what in whats:
            holder = self.holder(what)
            alive = holder is not None and self.cluster.processes[holder].alive
            if alive or not anyone or now < 10:
                self.left_since.pop(what, None)
                continue
            since = self.left_since.setdefault(what, now)
            if now - since > LEFT_SHARE * self.cluster.limits["lease_s"]:
                self.breach(
                    "left_unowned", f"{what} is {holder}'s, which is no more, since {since}"
                )

    # --- what scenarios ask

    def moves(self, since):
        """Changes of hands from then on."""
        return [
            row for row in self.changes if row.at >= since and row.before not in (None, row.node)
        ]

    def losses(self, node, since):
        """What others took from the controller from then on; but for shards not its own."""
        return [
            row
            for row in self.moves(since)
            if row.before == node and (row.what == "lead" or row.node != self.home(row.what))
        ]

    def held_at(self, node, moment):
        """What the controller held at that moment."""
        held = {}
        for row in self.changes:
            if row.at <= moment:
                held[row.what] = row.node
        return {what for what, name in held.items() if name == node}

    def taken_over(self, node, moment):
        """How long it took until all that the controller held was others'; infinite if it isn't."""
        waiting = self.held_at(node, moment)
        assert waiting, f"{node} held nothing at {moment}"
        for row in self.changes:
            if row.at > moment and row.node != node:
                waiting.discard(row.what)
                if not waiting:
                    return row.at - moment
        return float("inf")

    def most_held(self, node, since):
        """The most shards that the controller ever held from then on."""
        held, most = set(), 0
        for row in self.changes:
            if row.what == "lead":
                continue
            (held.add if row.node == node else held.discard)(row.what)
            if row.at >= since:
                most = max(most, len(held))
        return most

    def away_from_home(self):
        """Shards whose holder is not their home in the end."""
        shards = [
            key[len(LIVE_PREFIX) :] for key in self.state.keys if key.startswith(LIVE_PREFIX + "s/")
        ]
        return {what: self.holder(what) for what in shards if self.holder(what) != self.home(what)}
