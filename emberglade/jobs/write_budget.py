"""The recent rate of writes to the store, and how many keys one commit may write."""

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..config import Settings

# Time constant of the exponential moving average of the rate, in agent heartbeat intervals.
RATE_WINDOW_HEARTBEATS = 3


class WriteBudget:
    """Tracks the rate of writes and limits the size of commits.

    Attributes:
        max_writes: Keys that one commit may write; reduced while the store refuses commits, either
            because of their rate of writes or because one of their records is invalid.
    """

    def __init__(self, settings: "Settings") -> None:
        self._settings = settings
        self._granted_writes_per_s = settings.state_write_rps / settings.cluster_size
        self._recent_writes = 0.0
        self._counted_at = 0.0
        self.max_writes = settings.txn_ops

    def count_writes(self, now: float, count: int) -> float:
        """Counts keys written at `now`; returns the recent rate in keys per second."""
        window_s = RATE_WINDOW_HEARTBEATS * self._settings.agent_heartbeat_s
        decay = math.exp((self._counted_at - now) / window_s)
        self._recent_writes = self._recent_writes * decay + count
        self._counted_at = now
        return self._recent_writes / window_s

    def used_share(self, now: float) -> float:
        """The recent rate as a fraction of the rate granted to each controller."""
        return self.count_writes(now, 0) / self._granted_writes_per_s

    def grow(self) -> None:
        """Doubles `max_writes`, up to the store's limit, after a commit was executed."""
        self.max_writes = min(self._settings.txn_ops, 2 * self.max_writes)

    def shrink(self) -> None:
        """Halves `max_writes`, after the store refused a commit."""
        self.max_writes = max(1, self.max_writes // 2)
