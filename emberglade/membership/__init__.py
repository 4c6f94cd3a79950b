"""Membership: the leased node key, shard ownership, leader election, the record format."""

from .format import FORMAT_KEY, FormatUpgrade, is_raised
from .member import Member
from .ownership import NOBODY, Holder, ownership_revision, shard_count

__all__ = [
    "FORMAT_KEY",
    "NOBODY",
    "FormatUpgrade",
    "Holder",
    "Member",
    "ownership_revision",
    "is_raised",
    "shard_count",
]
