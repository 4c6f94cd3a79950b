"""How much is written to the store: the rate of late, and how many keys one commit may write."""

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config import Settings

RATE_WINDOW_HEARTBEATS = 3  # the rate is an average that fades over so many agent heartbeats


class WriteBudget:
    """The rate of writes, and the size of commits.

    Attributes:
        max_writes: Keys that one commit may write; fewer while the store refuses.
    """

    def __init__(self, settings: "Settings") -> None:
        self._settings = settings
        self._share_per_s = settings.state_write_rps / settings.cluster_size
        self._recent_writes = 0.0
        self._counted_at = 0.0
        self.max_writes = settings.txn_ops

    def count_writes(self, now: float, count: int) -> float:
        """Counts keys written just now; returns the rate: keys written a second, of late."""
        window_s = RATE_WINDOW_HEARTBEATS * self._settings.agent_heartbeat_s
        fade = math.exp((self._counted_at - now) / window_s)
        self._recent_writes = self._recent_writes * fade + count
        self._counted_at = now
        return self._recent_writes / window_s

    def used_share(self, now: float) -> float:
        """The rate, as a fraction of what the store grants each controller."""
        return self.count_writes(now, 0) / self._share_per_s

    def grow(self) -> None:
        """A commit was carried out: the next may write twice as many keys, up to the limit."""
        self.max_writes = min(self._settings.txn_ops, 2 * self.max_writes)

    def shrink(self) -> None:
        """The store refused a commit for its rate: the next writes half as many keys."""
        self.max_writes = max(1, self.max_writes // 2)
