"""Multiplicative weights over percentile experts, as in Cackle, section 4.4.

Once a second the demand is recorded; once a round every expert states a target, is charged for
what its earlier targets would have cost, and one expert is drawn by weight.
"""

import math
from collections import deque
from dataclasses import dataclass

MULTIPLIERS = (1.1, 1.2, 1.3, 1.4, 1.5, 1.6, 1.8, 2.0, 2.5, 3.0, 4.0, 5.0, 7.0, 10.0, 15.0, 20.0)


@dataclass(frozen=True)
class Expert:
    """A rule that turns recent demand into a target."""

    lookback_s: int
    percentile: int
    multiplier: float


def family(min_lookback_s, max_lookback_s):
    """The design's family; lookbacks double from the shortest to the longest."""
    lookbacks = []
    lookback = min_lookback_s
    while lookback < max_lookback_s:
        lookbacks.append(int(lookback))
        lookback *= 2
    lookbacks.append(int(max_lookback_s))
    return tuple(
        Expert(lookback, percentile, multiplier)
        for lookback in lookbacks
        for percentile, multiplier in [
            *((p, 1.0) for p in range(1, 101)),
            *((80, m) for m in MULTIPLIERS),
        ]
    )


def percentile(ordered, percent):
    """Nearest rank: the smallest value that at least `percent` of all do not exceed."""
    return ordered[max(0, math.ceil(percent / 100 * len(ordered)) - 1)]


class Sizer:
    """Weighs the experts by what they would have cost, and draws one each round."""

    def __init__(self, experts, epsilon, round_s, premium, spread, share, rng):
        self.spread, self.share = spread, share
        self.experts, self.epsilon, self.round_s, self.premium, self.rng = (
            experts,
            epsilon,
            int(round_s),
            premium,
            rng,
        )
        self.weights = [1 / len(experts)] * len(experts)
        self.history: deque[int] = deque(maxlen=max(self.round_s, *(e.lookback_s for e in experts)))
        self.prices: deque[float] = deque(maxlen=self.round_s)
        self.targets = []  # one row of targets per round, oldest first

    def record(self, demand, price):
        """One second of the workload history: whole machines, and what one costs now."""
        self.history.append(math.ceil(demand - 1e-9))
        self.prices.append(price)

    def expert_targets(self):
        history = list(self.history)
        ordered: dict[int, list[int]] = {}  # lookback -> its values, sorted
        row = []
        for expert in self.experts:
            values = ordered.get(expert.lookback_s)
            if values is None:
                values = ordered[expert.lookback_s] = sorted(history[-expert.lookback_s :])
            row.append(math.ceil(percentile(values, expert.percentile) * expert.multiplier - 1e-9))
        return row

    def costs(self, boot_s):
        """What each expert would have cost in the last round, or None without history."""
        back = max(1, math.ceil(boot_s / self.round_s))
        if len(self.targets) < back or len(self.history) < self.round_s:
            return None
        # What was there during this round was asked for a boot time earlier.
        allocated = self.targets[-back]
        seconds = list(zip(list(self.history)[-self.round_s :], self.prices, strict=False))
        by_target = {}
        for target in set(allocated):
            by_target[target] = sum(
                price * (target + self.premium * max(0, demand - target))
                for demand, price in seconds
            )
        return [by_target[target] for target in allocated]

    def round(self, boot_s):
        """One cost round; returns the drawn expert's number and its target."""
        costs = self.costs(boot_s)
        if costs is not None and max(costs) > 0:
            # What counts is what a round cost beyond the best expert's; the 20-fold experts would
            # make every other difference look small, so the largest is bounded.
            best = min(costs)
            largest = min(max(costs), self.spread * best) - best
            if largest <= 0:
                # With nothing to do the best cost nothing: whoever paid at all pays in full.
                largest = min((c - best for c in costs if c > best), default=1.0)
            self.weights = [
                w * (1 - self.epsilon * min(1.0, (c - best) / largest))
                for w, c in zip(self.weights, costs, strict=True)
            ]
            # A share of all weight is spread anew, or experts of another hour could not come back.
            total = sum(self.weights)
            even = self.share / len(self.weights)
            self.weights = [w / total * (1 - self.share) + even for w in self.weights]
        row = self.expert_targets()
        self.targets.append(row)
        del self.targets[:-64]
        number = self.rng.choices(range(len(row)), self.weights)[0]
        return number, row[number]
