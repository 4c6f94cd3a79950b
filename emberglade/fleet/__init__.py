"""Fleet: the catalog, rentals, returns, drains, boot failures; the leader's work."""

from .autoscaler import Autoscaler

__all__ = ["Autoscaler"]
