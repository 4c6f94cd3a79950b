"""Phi accrual failure detection: the intervals between one peer's heartbeats."""

import math
from collections import deque

WINDOW_INTERVALS = 64
MIN_SAMPLES = 4  # with fewer intervals, only the configured bounds apply
# Minimum standard deviation as a share of the heartbeat interval; timers are no more precise.
MIN_DEVIATION_SHARE = 0.1
QUANTILE_ITERATIONS = 4


class ArrivalWindow:
    """A sliding window of heartbeat intervals (Hayashibara et al. 2004)."""

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self.intervals_s: deque[float] = deque(maxlen=WINDOW_INTERVALS)

    def add(self, interval_s: float) -> None:
        """Adds the time between two consecutive heartbeats."""
        self.intervals_s.append(interval_s)

    def timeout_at_phi(self, phi: float) -> float:
        """Seconds without a heartbeat after which the suspicion level reaches `phi`.

        At that level, the estimated probability that the next heartbeat still arrives is 10^-phi.
        Returns zero while there are fewer than MIN_SAMPLES intervals.
        """
        count = len(self.intervals_s)
        if count < MIN_SAMPLES:
            return 0.0
        mean = sum(self.intervals_s) / count
        variance = sum((interval - mean) ** 2 for interval in self.intervals_s) / count
        deviation = max(math.sqrt(variance), MIN_DEVIATION_SHARE * self.heartbeat_s)
        return mean + deviation * normal_quantile_of_phi(phi)


def normal_quantile_of_phi(phi: float) -> float:
    """The value that a standard normal variable exceeds with probability 10^-phi.

    Solves an approximation of the tail, Q(x) = exp(-x*x/2) / (x*sqrt(2*pi)), by iteration. The
    result is above the exact value: by 15 % for phi = 1, and by at most 2.2 % for phi >= 2.
    """
    target = phi * math.log(10)
    quantile = math.sqrt(2 * target)
    for _ in range(QUANTILE_ITERATIONS):
        quantile = math.sqrt(max(1.0, 2 * (target - math.log(quantile * math.sqrt(2 * math.pi)))))
    return quantile
