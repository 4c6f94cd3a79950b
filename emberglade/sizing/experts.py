"""The family of percentile experts of the Cackle paper, section 4.4.5."""

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

PERCENTILES = range(1, 101)  # each with the multiplier 1
MULTIPLIED_PERCENTILE = 80  # combined with each of the multipliers below
MULTIPLIERS = (1.1, 1.2, 1.3, 1.4, 1.5, 1.6, 1.8, 2.0, 2.5, 3.0, 4.0, 5.0, 7.0, 10.0, 15.0, 20.0)
ROUNDING_TOLERANCE = 1e-9  # in machines; floating-point sums are not exact


@dataclass(frozen=True)
class Expert:
    """A rule that computes a target from the workload history.

    Attributes:
        lookback_s: Length of the history that it uses, in seconds.
        percentile: Percentile of the demand in this history, 1 to 100.
        multiplier: Ratio of the target to that percentile.
    """

    lookback_s: int
    percentile: int
    multiplier: float

    def target(self, ordered_demand: Sequence[int]) -> int:
        """The expert's target, in machines.

        Args:
            ordered_demand: The demand of each second of its lookback, in ascending order.
        """
        return whole_machines(nearest_rank(ordered_demand, self.percentile) * self.multiplier)


def expert_family(min_lookback_s: float, max_lookback_s: float) -> tuple[Expert, ...]:
    """All experts. Lookbacks double from the shortest; the last one is exactly the longest."""
    return tuple(
        expert
        for lookback_s in _lookbacks(min_lookback_s, max_lookback_s)
        for expert in (
            *(Expert(lookback_s, percentile, 1.0) for percentile in PERCENTILES),
            *(Expert(lookback_s, MULTIPLIED_PERCENTILE, multiplier) for multiplier in MULTIPLIERS),
        )
    )


def _lookbacks(min_lookback_s: float, max_lookback_s: float) -> Iterator[int]:
    lookback_s = min_lookback_s
    while lookback_s < max_lookback_s:
        yield int(lookback_s)
        lookback_s *= 2
    yield int(max_lookback_s)


def nearest_rank(ordered: Sequence[int], percent: float) -> int:
    """The nearest-rank percentile of values in ascending order.

    That is the smallest value such that at least `percent` % of all values are less than or equal
    to it.
    """
    return ordered[max(0, math.ceil(percent / 100 * len(ordered)) - 1)]


def whole_machines(amount: float) -> int:
    """An amount of machines, rounded up to an integer."""
    return math.ceil(amount - ROUNDING_TOLERANCE)
