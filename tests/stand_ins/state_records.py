"""What the state service keeps: keys, leases, and what is left of a rate."""

from dataclasses import dataclass
from typing import Any


@dataclass
class StoredKey:
    """The value of a key."""

    data: Any
    mod_revision: int
    lease: int | None


@dataclass
class Lease:
    """A lease that keys hang on."""

    life_s: float
    expires_at: float


@dataclass
class TokenBucket:
    """What is left of a rate's burst, which is one second's worth."""

    tokens: float
    updated_at: float = 0.0

    def take(self, amount: int, rate: float, now: float) -> bool:
        """Takes an amount if the rate allows it."""
        tokens = min(rate, self.tokens + (now - self.updated_at) * rate)
        allowed = tokens >= amount
        self.tokens = tokens - amount if allowed else tokens
        self.updated_at = now
        return allowed
