"""Membership: the leased node key, who holds which shard, who leads, the record format."""

from .claims import NOBODY, Holder, claims_revision, shard_count
from .format import FORMAT_KEY, FormatUpgrade, is_raised
from .member import Member

__all__ = [
    "FORMAT_KEY",
    "NOBODY",
    "FormatUpgrade",
    "Holder",
    "Member",
    "claims_revision",
    "is_raised",
    "shard_count",
]
