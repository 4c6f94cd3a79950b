"""A token bucket whose rate adapts: a node takes more than its even share while nobody objects."""

GROWTH = 1.1  # a second
CAUTION = 0.8  # of the whole service's rate; the rest is the others' least


class TokenBucket:
    """Paces one kind of request, in requests (or writes) per second.

    `rate` is the whole service's rate, shared by `nodes` controllers; `burst` is the most that
    may be taken at once. The rate starts at the even share and grows by GROWTH a second up to
    CAUTION of the whole, until the service refuses.
    """

    def __init__(self, rate, nodes, burst):
        self.share, self.most = rate / nodes, max(rate / nodes, rate * CAUTION)
        self.rate = self.share
        self.burst = max(burst, 1.0)
        self.level, self.at = self.burst, None

    def _fill(self, now):
        if self.at is not None:
            passed = now - self.at
            self.level = min(max(self.burst, self.rate), self.level + passed * self.rate)
            self.rate = min(self.most, self.rate * GROWTH ** min(passed, 60.0))
        self.at = now

    def has(self, now):
        """Whether something may be sent now; what it takes too much is paid back by waiting."""
        self._fill(now)
        return self.level >= 1.0 - 1e-9

    def take(self, now, amount):
        """Takes `amount` at time `now` (seconds); the level may go below zero."""
        self._fill(now)
        self.level -= amount

    def refused(self, now):
        """The service had too much: back to the even share."""
        self._fill(now)
        self.rate = max(self.share, self.rate / 2)
        self.level = min(self.level, 0.0)
