"""A token bucket."""


class Budget:
    def __init__(self, rate, burst):
        self.rate, self.burst = rate, max(burst, 1.0)
        self.level, self.at = self.burst, None

    def _fill(self, now):
        if self.at is not None:
            self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now

    def has(self, now, amount):
        self._fill(now)
        return self.level >= min(amount, self.burst)

    def take(self, now, amount):
        self._fill(now)
        self.level -= amount
