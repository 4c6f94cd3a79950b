"""Failover plans: which shards this controller takes, and when it takes leadership.

Both planners decide from one liveness view of who serves; they are pure but for their memory of
how long a shard or the leader's key has been free.
"""

from collections.abc import Iterable, Mapping

from ..membership import NO_OWNER, Owner
from .view import LivenessView

NEVER = float("-inf")
LEADERSHIP = "leadership"  # the one claim that the leader's planner follows
SLOW_DELAY_INTERVALS = 2  # a slow controller leaves free leadership to faster ones for so long


class ClaimHistory:
    """When each claim's key was last written, as seen here.

    Whoever has just written a claim was alive a moment ago, whatever the last view says. Once
    broken: a controller that was back took its shards, and a peer whose view was a quarter of a
    second older took them again (failure_detection/beside_previous_version.txt).
    """

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self._mod_revisions: dict[int | str, int] = {}
        self._written_at: dict[int | str, float] = {}

    def note(self, claims: Mapping[int, Owner] | Mapping[str, Owner], now: float) -> None:
        """Takes in the claims as they are, {name: Owner}; what was there at first is old."""
        for name, owner in claims.items():
            if self._mod_revisions.get(name, owner.mod_revision) != owner.mod_revision:
                self._written_at[name] = now
            self._mod_revisions[name] = owner.mod_revision

    def is_fresh(self, name: int | str, now: float) -> bool:
        """Whether the claim was written less than a heartbeat's interval ago."""
        return now - self._written_at.get(name, NEVER) < self.heartbeat_s


class ShardPlanner:
    """Gives each free shard to the serving controller with the fewest, and home shards back."""

    def __init__(
        self, node: str, names: Iterable[str], shard_count: int, heartbeat_s: float
    ) -> None:
        self.node = node
        self.names = tuple(names)
        self.shard_count = shard_count
        self.heartbeat_s = heartbeat_s
        self.history = ClaimHistory(heartbeat_s)
        self._free_since: dict[int, float] = {}  # shard -> when no serving owner was first seen

    def home(self, shard: int) -> str:
        """The controller that holds the shard while all is well."""
        return self.names[shard % len(self.names)]

    def shards_to_take(
        self,
        incarnation: int | None,
        owners: Mapping[int, Owner],
        view: LivenessView,
        now: float,
    ) -> list[int]:
        """The shards that this controller should take now, in their order."""
        self.history.note(owners, now)
        free = self._free(incarnation, owners, view, now)
        self._free_since = {shard: self._free_since.get(shard, now) for shard in free}
        counts = {name: 0 for name in view.serving}
        for shard, owner in owners.items():
            if shard not in free and owner.node in counts:
                counts[owner.node] += 1
        taken = []
        for shard in range(self.shard_count):
            owner = owners.get(shard, NO_OWNER)
            if shard in free:
                successors = self._successors(shard, counts, view)
                counts[successors[0]] = counts.get(successors[0], 0) + 1
                if self._is_due(shard, owner, successors, view, now):
                    taken.append(shard)
            elif self._is_failback_due(shard, owner, view):
                taken.append(shard)
        return taken

    def _free(
        self,
        incarnation: int | None,
        owners: Mapping[int, Owner],
        view: LivenessView,
        now: float,
    ) -> set[int]:
        """Shards whose owner does not serve, is a former process of ours, or is slow."""
        return {
            shard
            for shard in range(self.shard_count)
            if self._is_free(shard, owners.get(shard, NO_OWNER), incarnation, view, now)
        }

    def _is_free(
        self,
        shard: int,
        owner: Owner,
        incarnation: int | None,
        view: LivenessView,
        now: float,
    ) -> bool:
        if owner.node == self.node:
            return owner.incarnation != incarnation
        if self.history.is_fresh(shard, now):
            return False
        if owner.node not in view.serving:
            return True
        return (
            owner.node in view.slow
            and owner.node != self.home(shard)
            and bool(view.serving - view.slow)
        )

    def _successors(self, shard: int, counts: Mapping[str, int], view: LivenessView) -> list[str]:
        """Who should take a free shard: the first, and who comes next should that one not."""
        home = self.home(shard)
        start = self.names.index(home)
        distance = {name: (self.names.index(name) - start) % len(self.names) for name in self.names}
        return sorted(
            (name for name in view.serving if name in distance),
            key=lambda name: (
                name != home,
                name in view.slow and name != home,
                counts.get(name, 0),
                distance[name],
            ),
        )

    def _is_due(
        self, shard: int, owner: Owner, successors: list[str], view: LivenessView, now: float
    ) -> bool:
        """Whether this controller should take a free shard now."""
        if owner.node == self.node:
            return True  # our former process held it; nobody else has it
        place = successors.index(self.node)
        if not view.may_fail_over and not (owner is NO_OWNER and place == 0):
            return False
        # Views differ for a moment: who comes next waits, so that a shard is not left to nobody.
        return now - self._free_since[shard] >= place * self.heartbeat_s

    def _is_failback_due(self, shard: int, owner: Owner, view: LivenessView) -> bool:
        """Whether this controller should take its home shard back from who serves it."""
        return (
            self.home(shard) == self.node
            and owner.node != self.node
            and view.may_fail_back
            and self.node not in view.slow
        )


class LeaderPlanner:
    """Says when to take leadership: if the leader's key is free, or its owner does not serve."""

    def __init__(self, node: str, heartbeat_s: float) -> None:
        self.node = node
        self.heartbeat_s = heartbeat_s
        self.history = ClaimHistory(heartbeat_s)
        self._former = NO_OWNER
        self._free_since: float | None = None

    def should_take(
        self, incarnation: int | None, leader: Owner | None, view: LivenessView, now: float
    ) -> bool:
        """Whether this controller should write the leader's key now.

        `leader` is the key's owner, or None if the key is missing.
        """
        if leader is not None:
            self._former = leader
            if leader.node == self.node:
                self._free_since = None
                return leader.incarnation != incarnation
            self.history.note({LEADERSHIP: leader}, now)
            if leader.node in view.serving or self.history.is_fresh(LEADERSHIP, now):
                self._free_since = None
                return False
        if self._free_since is None:
            self._free_since = now
        waited_s = now - self._free_since
        if leader is None:
            return waited_s >= self._delay_s(view)
        return view.may_fail_over and waited_s >= self._place(view) * self.heartbeat_s

    def _place(self, view: LivenessView) -> int:
        """How many serving controllers come first if the leader does not serve."""
        successors = sorted(view.serving, key=lambda name: (name in view.slow, name))
        return successors.index(self.node)

    def _delay_s(self, view: LivenessView) -> float:
        """How long a missing leader's key is left to others."""
        # Its lease expired, but the process goes on: it takes leadership again by itself.
        left_to_former = self._former.node != self.node and self._former.node in view.serving
        others_are_faster = self.node in view.slow and bool(view.serving - view.slow)
        intervals = int(left_to_former) + SLOW_DELAY_INTERVALS * int(others_are_faster)
        return self.heartbeat_s * intervals
