"""Membership: the leased node key, who holds which shard, who leads."""

from .member import Member, shard_count

__all__ = ["Member", "shard_count"]
