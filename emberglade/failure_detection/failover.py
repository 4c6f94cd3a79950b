"""Failover plans: which shards this controller takes, and when it takes leadership.

Both planners decide from one liveness view of who serves; they are pure but for their memory of
how long a shard or the leader's key has been free.
"""

from ..membership import NOBODY


class ClaimHistory:
    """When each claim's key was last written, as seen here.

    Whoever has just written a claim was alive a moment ago, whatever the last view says. Once
    broken: a controller that was back took its shards, and a peer whose view was a quarter of a
    second older took them again (failure_detection/beside_previous_version.txt).
    """

    def __init__(self, heartbeat_s):
        self.heartbeat_s = heartbeat_s
        self.mod_revisions = {}
        self.written_at = {}

    def note(self, claims, now):
        """Takes in the claims as they are, {name: Holder}; what was there at first is old."""
        for name, holder in claims.items():
            if self.mod_revisions.get(name, holder.mod_revision) != holder.mod_revision:
                self.written_at[name] = now
            self.mod_revisions[name] = holder.mod_revision

    def is_fresh(self, name, now):
        """Whether the claim was written less than a heartbeat's interval ago."""
        return now - self.written_at.get(name, float("-inf")) < self.heartbeat_s


class ShardPlanner:
    """Gives each free shard to the serving controller with the fewest, and home shards back."""

    def __init__(self, node, names, shard_count, heartbeat_s):
        self.node, self.names = node, tuple(names)
        self.shard_count, self.heartbeat_s = shard_count, heartbeat_s
        self.free_since = {}  # shard -> when it was first seen without a holder that serves
        self.history = ClaimHistory(heartbeat_s)

    def home(self, shard):
        """The controller that holds the shard while all is well."""
        return self.names[shard % len(self.names)]

    def shards_to_take(self, incarnation, holders, view, now):
        """The shards that this controller should take now, in their order."""
        self.history.note(holders, now)
        free = self._free(incarnation, holders, view, now)
        self.free_since = {shard: self.free_since.get(shard, now) for shard in free}
        counts = {name: 0 for name in view.serving}
        for shard, holder in holders.items():
            if shard not in free and holder.node in counts:
                counts[holder.node] += 1
        taken = []
        for shard in range(self.shard_count):
            holder = holders.get(shard, NOBODY)
            if shard in free:
                line = self._line(shard, counts, view)
                counts[line[0]] = counts.get(line[0], 0) + 1
                if self._is_due(shard, holder, line, view, now):
                    taken.append(shard)
            elif self._is_due_back(shard, holder, view):
                taken.append(shard)
        return taken

    def _free(self, incarnation, holders, view, now):
        """Shards whose holder does not serve, is a former process of ours, or is slow."""
        free = set()
        for shard in range(self.shard_count):
            holder = holders.get(shard, NOBODY)
            if holder.node == self.node:
                if holder.incarnation != incarnation:
                    free.add(shard)
            elif self.history.is_fresh(shard, now):
                continue
            elif holder.node not in view.serving or (
                holder.node in view.slow
                and holder.node != self.home(shard)
                and view.serving - view.slow
            ):
                free.add(shard)
        return free

    def _line(self, shard, counts, view):
        """Who should take a free shard: the first, and who comes next should that one not."""
        home = self.home(shard)
        start = self.names.index(home)
        turn = {name: (self.names.index(name) - start) % len(self.names) for name in self.names}
        return sorted(
            (name for name in view.serving if name in turn),
            key=lambda name: (
                name != home,
                name in view.slow and name != home,
                counts.get(name, 0),
                turn[name],
            ),
        )

    def _is_due(self, shard, holder, line, view, now):
        if holder.node == self.node:
            return True  # our former process held it; nobody else has it
        place = line.index(self.node)
        if not view.may_fail_over and not (holder is NOBODY and place == 0):
            return False
        # Views differ for a moment: who comes next waits, so that a shard is not left to nobody.
        return now - self.free_since[shard] >= place * self.heartbeat_s

    def _is_due_back(self, shard, holder, view):
        return (
            self.home(shard) == self.node
            and holder.node != self.node
            and view.may_return
            and self.node not in view.slow
        )


class LeaderPlanner:
    """Says when to take leadership: if the leader's key is free, or its holder does not serve."""

    def __init__(self, node, names, heartbeat_s):
        self.node, self.names, self.heartbeat_s = node, tuple(names), heartbeat_s
        self.former = NOBODY
        self.free_since = None
        self.history = ClaimHistory(heartbeat_s)

    def should_take(self, incarnation, leader, view, now):
        """Whether this controller should write the leader's key now.

        `leader` is the key's holder, or None if the key is missing.
        """
        if leader is not None:
            self.former = leader
            if leader.node == self.node:
                self.free_since = None
                return leader.incarnation != incarnation
            self.history.note({"lead": leader}, now)
            if leader.node in view.serving or self.history.is_fresh("lead", now):
                self.free_since = None
                return False
        if self.free_since is None:
            self.free_since = now
        waited = now - self.free_since
        if leader is None:
            # Its lease expired, but the process goes on: it takes leadership again by itself.
            left_to_former = self.former.node != self.node and self.former.node in view.serving
            return waited >= self._delay(left_to_former, view)
        line = sorted(view.serving, key=lambda name: (name in view.slow, name))
        return view.may_fail_over and waited >= line.index(self.node) * self.heartbeat_s

    def _delay(self, left_to_former, view):
        others_are_faster = self.node in view.slow and view.serving - view.slow
        return self.heartbeat_s * (int(left_to_former) + 2 * int(bool(others_are_faster)))
