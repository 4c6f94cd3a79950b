"""Membership: the leased node key, shard ownership, leader election and the record format."""

from .format import FORMAT_KEY, FormatUpgrade, is_raised
from .member import Member
from .owner import NO_OWNER, Owner
from .ownership import ownership_revision, shard_count

__all__ = [
    "FORMAT_KEY",
    "NO_OWNER",
    "FormatUpgrade",
    "Owner",
    "Member",
    "is_raised",
    "ownership_revision",
    "shard_count",
]
