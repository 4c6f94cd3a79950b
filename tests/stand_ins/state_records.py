"""Records of the state service's stand-in: stored keys, leases and token buckets."""

from dataclasses import dataclass
from typing import Any


@dataclass
class StoredKey:
    """A key's value, the revision of its last change, and the lease it is attached to."""

    data: Any
    mod_revision: int
    lease: int | None


@dataclass
class Lease:
    """A lease that keys can be attached to."""

    life_s: float
    expires_at: float


@dataclass
class TokenBucket:
    """A rate limiter whose burst is one second of its rate."""

    tokens: float
    updated_at: float = 0.0

    def take(self, amount: int, rate: float, now: float) -> bool:
        """Refills the bucket and takes an amount if there are enough tokens."""
        tokens = min(rate, self.tokens + (now - self.updated_at) * rate)
        allowed = tokens >= amount
        self.tokens = tokens - amount if allowed else tokens
        self.updated_at = now
        return allowed
