"""Membership: the leased node key, who holds which shard, who leads, the record format."""

from .format import FORMAT_KEY, FormatUpgrade, is_raised
from .member import Member, shard_count

__all__ = ["FORMAT_KEY", "FormatUpgrade", "Member", "is_raised", "shard_count"]
