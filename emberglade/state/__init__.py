"""The state service's client: a synced local replica of the live keys, commits, reads, budgets."""

from .follower import Follower
from .store import FINAL, LIVE, Store
from .wire import read_since

DRIFT = 1.001  # steady clocks of two machines, each off by up to 0.05 %

__all__ = ["DRIFT", "LIVE", "FINAL", "Follower", "Store", "read_since"]
