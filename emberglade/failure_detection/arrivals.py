"""Arrival times of one peer's heartbeats, and how surprising a silence is (phi accrual)."""

import math
from collections import deque

WINDOW = 64  # intervals that are remembered
MIN_SAMPLES = 4  # with fewer, only the bounds of the settings speak
# The least standard deviation, as a share of the heartbeat interval: timers are that exact at best.
MIN_DEVIATION_SHARE = 0.1
ITERATIONS = 4  # of the approximation of a quantile


class ArrivalWindow:
    """The last intervals between heartbeats, after Hayashibara et al. 2004."""

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self.intervals_s: deque[float] = deque(maxlen=WINDOW)

    def add(self, interval_s: float) -> None:
        """Notes the time between two heartbeats that came one after the other."""
        self.intervals_s.append(interval_s)

    def silence_at_phi(self, phi: float) -> float:
        """The silence in seconds at which the suspicion level reaches `phi`.

        The chance that a heartbeat is still to come is 10^-phi then. Zero while too little is
        known.
        """
        count = len(self.intervals_s)
        if count < MIN_SAMPLES:
            return 0.0
        mean = sum(self.intervals_s) / count
        variance = sum((interval - mean) ** 2 for interval in self.intervals_s) / count
        deviation = max(math.sqrt(variance), MIN_DEVIATION_SHARE * self.heartbeat_s)
        return mean + deviation * normal_quantile_of_phi(phi)


def normal_quantile_of_phi(phi: float) -> float:
    """Standard deviations above the mean that a normal variable exceeds with chance 10^-phi.

    An approximation of the tail, Q(x) = exp(-x*x/2) / (x*sqrt(2*pi)), solved by iteration; within
    2 % for phi of at least 1.
    """
    target = phi * math.log(10)
    quantile = math.sqrt(2 * target)
    for _ in range(ITERATIONS):
        quantile = math.sqrt(max(1.0, 2 * (target - math.log(quantile * math.sqrt(2 * math.pi)))))
    return quantile
