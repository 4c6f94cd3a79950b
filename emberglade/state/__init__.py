"""The state service's client: a synced copy of the live keys, commits, reads, budgets."""

from .follower import Follower
from .ledger import LIVE, OVER, Ledger

__all__ = ["LIVE", "OVER", "Follower", "Ledger"]
