"""The state service's client: a synced local replica of the live keys, commits, reads, budgets."""

from .replica_subscriber import ReplicaSubscriber
from .store import FINAL_PREFIX, LIVE_PREFIX, Store
from .wire import read_since

CLOCK_DRIFT = 1.001  # steady clocks of two machines, each off by up to 0.05 %

__all__ = ["CLOCK_DRIFT", "LIVE_PREFIX", "FINAL_PREFIX", "ReplicaSubscriber", "Store", "read_since"]
