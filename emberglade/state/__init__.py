"""The client of the state service: reads, commits, budgets, and a replica of the live keys.

The live keys are those that every controller follows; the budgets limit the rate of requests.
"""

from .replica_subscriber import ReplicaSubscriber
from .requests import Priority
from .store import FINAL_PREFIX, LIVE_PREFIX, Store
from .wire import Change, KeyValue, read_changes_request

CLOCK_DRIFT = 1.001  # maximum ratio of two monotonic clocks' rates, each off by up to 0.05 %

__all__ = [
    "CLOCK_DRIFT",
    "FINAL_PREFIX",
    "LIVE_PREFIX",
    "Change",
    "KeyValue",
    "Priority",
    "ReplicaSubscriber",
    "Store",
    "read_changes_request",
]
