"""A token bucket whose rate grows, and is halved whenever the service refuses a request."""

GROWTH_PER_S = 1.1  # factor by which the rate grows per second
MAX_GROWTH_S = 60.0  # at most this much of the time between two calls increases the rate
MAX_SHARE = 0.8  # maximum share of the service's total rate; the rest is for other controllers
TOKEN_TOLERANCE = 1e-9  # rounding error, in tokens


class TokenBucket:
    """Limits one kind of request, in requests (or writes) per second.

    `rate` is the total rate of the service, shared by `nodes` controllers; `burst` is the size of
    the bucket in tokens. The bucket's rate starts at the even share (`rate / nodes`) and grows by
    GROWTH_PER_S up to MAX_SHARE of the total. `back_off` lowers it, and it grows again from there.
    """

    def __init__(self, rate: float, nodes: int, burst: float) -> None:
        self._even_share = rate / nodes
        self._max_rate = max(self._even_share, rate * MAX_SHARE)
        self._rate = self._even_share
        self._burst = max(burst, 1.0)
        self._tokens = self._burst
        self._filled_at: float | None = None

    def _fill(self, now: float) -> None:
        """Adds the tokens for the time since the last call, and increases the rate."""
        if self._filled_at is not None:
            elapsed_s = now - self._filled_at
            limit = max(self._burst, self._rate)
            self._tokens = min(limit, self._tokens + elapsed_s * self._rate)
            growth = GROWTH_PER_S ** min(elapsed_s, MAX_GROWTH_S)
            self._rate = min(self._max_rate, self._rate * growth)
        self._filled_at = now

    def allows(self, now: float) -> bool:
        """Whether a request may be sent now; a large one may overdraw the bucket."""
        self._fill(now)
        return self._tokens >= 1.0 - TOKEN_TOLERANCE

    def take(self, now: float, amount: int) -> None:
        """Takes `amount` tokens at time `now` (seconds); the balance may become negative."""
        self._fill(now)
        self._tokens -= amount

    def back_off(self, now: float) -> None:
        """Lowers the rate and empties the bucket, after the service refused a request.

        The rate is halved, but not below the even share.
        """
        self._fill(now)
        self._rate = max(self._even_share, self._rate / 2)
        self._tokens = min(self._tokens, 0.0)
