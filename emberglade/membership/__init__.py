"""Membership: the leased node key, shard ownership, leader election, the record format."""

from .format import FORMAT_KEY, FormatUpgrade, is_raised
from .holder import NOBODY, Holder
from .member import Member
from .ownership import ownership_revision, shard_count

__all__ = [
    "FORMAT_KEY",
    "NOBODY",
    "FormatUpgrade",
    "Holder",
    "Member",
    "is_raised",
    "ownership_revision",
    "shard_count",
]
