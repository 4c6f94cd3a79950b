"""Arrival times of one peer's heartbeats, and how surprising a silence is (phi accrual)."""

import math
from collections import deque

WINDOW = 64  # intervals that are remembered
MIN_SAMPLES = 4  # with fewer, only the bounds of the settings speak
# The least standard deviation, as a share of the heartbeat interval: timers are that exact at best.
LEAST_DEVIATION = 0.1


class ArrivalWindow:
    """The last intervals between heartbeats, after Hayashibara et al. 2004."""

    def __init__(self, heartbeat_s):
        self.heartbeat_s = heartbeat_s
        self.intervals: deque[float] = deque(maxlen=WINDOW)

    def add(self, interval_s):
        """Notes the time between two heartbeats that came one after the other."""
        self.intervals.append(interval_s)

    def quiet_for_phi(self, phi):
        """The silence at which the chance that a heartbeat is still to come falls to 10^-phi.

        Zero while too little is known.
        """
        count = len(self.intervals)
        if count < MIN_SAMPLES:
            return 0.0
        mean = sum(self.intervals) / count
        variance = sum((interval - mean) ** 2 for interval in self.intervals) / count
        deviation = max(math.sqrt(variance), LEAST_DEVIATION * self.heartbeat_s)
        return mean + deviation * normal_quantile_of_phi(phi)


def normal_quantile_of_phi(phi):
    """Standard deviations above the mean that a normal variable exceeds with chance 10^-phi.

    An approximation of the tail, Q(x) = exp(-x*x/2) / (x*sqrt(2*pi)), solved by iteration; within
    2 % for phi of at least 1.
    """
    target = phi * math.log(10)
    quantile = math.sqrt(2 * target)
    for _ in range(4):
        quantile = math.sqrt(max(1.0, 2 * (target - math.log(quantile * math.sqrt(2 * math.pi)))))
    return quantile
