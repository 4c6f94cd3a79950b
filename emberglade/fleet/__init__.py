"""Fleet: the catalog, rentals, returns, drains, boot failures; the leader's work."""

from .steward import Steward

__all__ = ["Steward"]
