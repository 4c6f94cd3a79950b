"""Failover plans: which shards this controller takes, and when it takes leadership.

A claim is a shard's key, which the shard's owner writes, or the leader's key. Both planners decide
from the claims and a liveness view. Each planner keeps a history of the changes of its claims, and
the time since which a shard or the leadership has been free. The leader planner also keeps the last
leader that it saw.
"""

from collections.abc import Iterable, Mapping

from ..membership import NO_OWNER, Owner
from .view import LivenessView

NEVER = float("-inf")
LEADERSHIP = "leadership"  # the name of the leader's claim in the claim history
# Heartbeat intervals that a slow controller waits before it writes the missing leader's key, if
# some serving controller is not slow. One more interval is added if the previous leader is another
# controller that serves.
SLOW_DELAY_INTERVALS = 2


class ClaimHistory:
    """Records when this controller last saw each claim (a shard's key or the leader's key) change.

    The writer of a recent claim was alive when it wrote, whatever the last view shows. Suppose that
    a controller returns and takes shards. In the view of a peer, which may be a quarter of a second
    old, the returned controller does not serve yet. Without the check `is_recent`, that peer takes
    the shards from it again (tests/scenarios/failure_detection/beside_previous_version.txt).
    """

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self._mod_revisions: dict[int | str, int] = {}
        self._written_at: dict[int | str, float] = {}

    def note(self, claims: Mapping[int, Owner] | Mapping[str, Owner], now: float) -> None:
        """Notes the current claims, {name: Owner}; a claim first seen now is not recent."""
        for name, owner in claims.items():
            if self._mod_revisions.get(name, owner.mod_revision) != owner.mod_revision:
                self._written_at[name] = now
            self._mod_revisions[name] = owner.mod_revision

    def is_recent(self, name: int | str, now: float) -> bool:
        """Whether this controller saw the claim change less than a heartbeat interval ago."""
        return now - self._written_at.get(name, NEVER) < self.heartbeat_s


class ShardPlanner:
    """Decides which free shards this controller takes, and which home shards it takes back.

    A free shard goes to its home if that serves, else to a serving controller, preferably one that
    is not slow and owns few shards.

    A shard that this process owns is not free. A shard whose owner is a previous process of this
    controller is free. Any other shard is free if its claim is not recent
    (`ClaimHistory.is_recent`) and one of these conditions holds:
    - it has no owner, or its owner does not serve;
    - its owner is slow and is not the shard's home, and some serving controller is not slow.
    """

    def __init__(
        self, node: str, names: Iterable[str], shard_count: int, heartbeat_s: float
    ) -> None:
        self.node = node
        self.names = tuple(names)
        self.shard_count = shard_count
        self.heartbeat_s = heartbeat_s
        self.history = ClaimHistory(heartbeat_s)
        self._free_since: dict[int, float] = {}  # shard -> when it was first seen to be free

    def home(self, shard: int) -> str:
        """The controller that owns the shard while all controllers serve."""
        return self.names[shard % len(self.names)]

    def shards_to_take(
        self,
        incarnation: int | None,
        owners: Mapping[int, Owner],
        view: LivenessView,
        now: float,
    ) -> list[int]:
        """The shards that this controller should take now, in ascending order."""
        self.history.note(owners, now)
        free = self._free_shards(incarnation, owners, view, now)
        self._free_since = {shard: self._free_since.get(shard, now) for shard in free}
        counts = {name: 0 for name in view.serving}
        for shard, owner in owners.items():
            if shard not in free and owner.node in counts:
                counts[owner.node] += 1
        to_take = []
        for shard in range(self.shard_count):
            owner = owners.get(shard, NO_OWNER)
            if shard in free:
                successors = self._successors(shard, counts, view)
                counts[successors[0]] = counts.get(successors[0], 0) + 1
                if self._is_due(shard, owner, successors, view, now):
                    to_take.append(shard)
            elif self._is_failback_due(shard, owner, view):
                to_take.append(shard)
        return to_take

    def _free_shards(
        self,
        incarnation: int | None,
        owners: Mapping[int, Owner],
        view: LivenessView,
        now: float,
    ) -> set[int]:
        """The shards that are free, as the class defines it."""
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
        if self.history.is_recent(shard, now):
            return False
        if owner.node not in view.serving:
            return True
        return (
            owner.node in view.slow
            and owner.node != self.home(shard)
            and bool(view.serving - view.slow)
        )

    def _successors(self, shard: int, counts: Mapping[str, int], view: LivenessView) -> list[str]:
        """The serving controllers in the order in which they should take a free shard."""
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
            return True  # owned by a previous process of this controller, so there is no rival
        rank = successors.index(self.node)
        if not view.may_fail_over and not (owner is NO_OWNER and rank == 0):
            return False
        # The views of the controllers may differ briefly. Later successors wait longer, and take
        # the shard only if the earlier ones did not.
        return now - self._free_since[shard] >= rank * self.heartbeat_s

    def _is_failback_due(self, shard: int, owner: Owner, view: LivenessView) -> bool:
        """Whether this controller should take its home shard back from the current owner."""
        return (
            self.home(shard) == self.node
            and owner.node != self.node
            and view.may_fail_back
            and self.node not in view.slow
        )


class LeaderPlanner:
    """Decides when this controller takes leadership.

    It does so in each of these cases:
    - the leader is a previous process of this controller;
    - the leader's key has been missing for the delay that `_takeover_delay_s` returns;
    - the leader does not serve, its claim is not recent, the view allows failover
      (`may_fail_over`), and the controllers that come before this one in the order of succession
      have not taken leadership within one heartbeat interval each.
    """

    def __init__(self, node: str, heartbeat_s: float) -> None:
        self.node = node
        self.heartbeat_s = heartbeat_s
        self.history = ClaimHistory(heartbeat_s)
        self._previous_leader = NO_OWNER
        self._free_since: float | None = None

    def should_take(
        self, incarnation: int | None, leader: Owner | None, view: LivenessView, now: float
    ) -> bool:
        """Whether this controller should write the leader's key now.

        `leader` is the owner of the leader's key, or None if the key is missing.
        """
        if leader is not None:
            self._previous_leader = leader
            if leader.node == self.node:
                self._free_since = None
                return leader.incarnation != incarnation
            self.history.note({LEADERSHIP: leader}, now)
            if leader.node in view.serving or self.history.is_recent(LEADERSHIP, now):
                self._free_since = None
                return False
        if self._free_since is None:
            self._free_since = now
        waited_s = now - self._free_since
        if leader is None:
            return waited_s >= self._takeover_delay_s(view)
        return view.may_fail_over and waited_s >= self._rank(view) * self.heartbeat_s

    def _rank(self, view: LivenessView) -> int:
        """How many serving controllers come before this one in the order of succession."""
        successors = sorted(view.serving, key=lambda name: (name in view.slow, name))
        return successors.index(self.node)

    def _takeover_delay_s(self, view: LivenessView) -> float:
        """How long the leader's key must be missing before this controller writes it."""
        # A previous leader that still serves takes leadership again by itself: it may only have
        # lost its lease. One heartbeat interval is left to it.
        left_to_previous = (
            self._previous_leader.node != self.node and self._previous_leader.node in view.serving
        )
        others_are_faster = self.node in view.slow and bool(view.serving - view.slow)
        intervals = int(left_to_previous) + SLOW_DELAY_INTERVALS * int(others_are_faster)
        return self.heartbeat_s * intervals
