"""A token bucket whose rate adapts: a node takes more than its even share while nobody objects."""

GROWTH_PER_S = 1.1  # the rate grows by this factor a second
MAX_GROWTH_S = 60.0  # a longer time without requests counts as this much
MAX_SHARE = 0.8  # of the whole service's rate; the rest is the others' least
TOKEN_TOLERANCE = 1e-9  # of a token


class TokenBucket:
    """Paces one kind of request, in requests (or writes) per second.

    `rate` is the whole service's rate, shared by `nodes` controllers; `burst` is the most that
    may be taken at once. The rate starts at the even share and grows by GROWTH_PER_S up to
    MAX_SHARE of the whole, until the service refuses.
    """

    def __init__(self, rate: float, nodes: int, burst: float) -> None:
        self._even_share = rate / nodes
        self._max_rate = max(self._even_share, rate * MAX_SHARE)
        self._rate = self._even_share
        self._burst = max(burst, 1.0)
        self._tokens = self._burst
        self._filled_at: float | None = None

    def _fill(self, now: float) -> None:
        """Adds the tokens of the time since the last call, and lets the rate grow."""
        if self._filled_at is not None:
            passed_s = now - self._filled_at
            limit = max(self._burst, self._rate)
            self._tokens = min(limit, self._tokens + passed_s * self._rate)
            growth = GROWTH_PER_S ** min(passed_s, MAX_GROWTH_S)
            self._rate = min(self._max_rate, self._rate * growth)
        self._filled_at = now

    def allows(self, now: float) -> bool:
        """Whether something may be sent now; what it takes too much is paid back by waiting."""
        self._fill(now)
        return self._tokens >= 1.0 - TOKEN_TOLERANCE

    def take(self, now: float, amount: int) -> None:
        """Takes `amount` at time `now` (seconds); the tokens may go below zero."""
        self._fill(now)
        self._tokens -= amount

    def back_off(self, now: float) -> None:
        """The service had too much: back to half the rate, at least the even share."""
        self._fill(now)
        self._rate = max(self._even_share, self._rate / 2)
        self._tokens = min(self._tokens, 0.0)
