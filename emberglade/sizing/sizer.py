"""Multiplicative weights over the experts, as in Cackle, section 4.4.

Once a second the demand is recorded. Once a cost round every expert states a target, is charged
for what its earlier targets would have cost, and one expert is drawn by weight.
"""

import math
import random
from collections import deque
from typing import NamedTuple

from .experts import Expert, whole_machines

# Rounds of targets that are kept: an allocation is looked up as many rounds back as a boot takes.
MAX_TARGET_ROUNDS = 64


class Draw(NamedTuple):
    """The outcome of a cost round.

    Attributes:
        expert: The expert that was drawn.
        target: Its target, in machines.
    """

    expert: Expert
    target: int


class Sizer:
    """Weighs the experts by what they would have cost, and draws one each cost round.

    Attributes:
        workload_history: Demand of each second, in whole machines, the oldest first.
        prices: What a machine cost per hour in each second of the last cost round.
        target_history: The targets of all experts, by cost round, the oldest first.
        weights: The weight of each expert.
    """

    def __init__(
        self,
        experts: tuple[Expert, ...],
        epsilon: float,
        cost_round_s: float,
        pool_premium: float,
        cost_spread: float,
        share: float,
        rng: random.Random,
    ) -> None:
        """Begins without history, all weights alike.

        Args:
            experts: The family.
            epsilon: How fast weights learn, above 0 and at most 0.5.
            cost_round_s: Length of a cost round, in seconds.
            pool_premium: What unmet demand costs, in prices of a machine.
            cost_spread: Costs above this many times the best count as this.
            share: Share of all weight that is spread anew each round.
            rng: What draws experts.
        """
        self.experts = experts
        self.epsilon = epsilon
        self.cost_round_s = int(cost_round_s)
        self.pool_premium = pool_premium
        self.cost_spread = cost_spread
        self.share = share
        self.rng = rng
        self.weights = [1 / len(experts)] * len(experts)
        longest_s = max(self.cost_round_s, *(expert.lookback_s for expert in experts))
        self.workload_history: deque[int] = deque(maxlen=longest_s)
        self.prices: deque[float] = deque(maxlen=self.cost_round_s)
        self.target_history: deque[list[int]] = deque(maxlen=MAX_TARGET_ROUNDS)

    def record(self, demand: float, price: float) -> None:
        """Adds one second to the workload history.

        Args:
            demand: Machines that were asked for; rounded up.
            price: What one machine costs now, per hour.
        """
        self.workload_history.append(whole_machines(demand))
        self.prices.append(price)

    def run_cost_round(self, boot_s: float) -> Draw:
        """One cost round: charges the experts, records their targets, and draws one.

        Args:
            boot_s: The time from a rental until the machine runs tasks, in seconds.
        """
        costs = self.costs(boot_s)
        if costs is not None and max(costs) > 0:
            self._update_weights(costs)
            self._share_weight()
        targets = self.expert_targets()
        self.target_history.append(targets)
        number = self.rng.choices(range(len(targets)), self.weights)[0]
        return Draw(self.experts[number], targets[number])

    def expert_targets(self) -> list[int]:
        """The target of each expert now, in machines."""
        history = list(self.workload_history)
        ordered: dict[int, list[int]] = {}  # by lookback
        targets = []
        for expert in self.experts:
            demand = ordered.get(expert.lookback_s)
            if demand is None:
                demand = ordered[expert.lookback_s] = sorted(history[-expert.lookback_s :])
            targets.append(expert.target(demand))
        return targets

    def costs(self, boot_s: float) -> list[float] | None:
        """What each expert would have cost in the last round, or None without enough history.

        Args:
            boot_s: The time from a rental until the machine runs tasks, in seconds.
        """
        # What was allocated during this round was asked for a boot time earlier.
        rounds_back = max(1, math.ceil(boot_s / self.cost_round_s))
        if len(self.target_history) < rounds_back or len(self.workload_history) < self.cost_round_s:
            return None
        allocations = self.target_history[-rounds_back]
        seconds = self._last_round()
        cost_of = {allocation: self._cost(allocation, seconds) for allocation in set(allocations)}
        return [cost_of[allocation] for allocation in allocations]

    def _last_round(self) -> list[tuple[int, float]]:
        """Demand and price of each second of the last cost round."""
        demand = list(self.workload_history)[-self.cost_round_s :]
        return list(zip(demand, self.prices, strict=True))

    def _cost(self, allocation: int, seconds: list[tuple[int, float]]) -> float:
        """What an allocation costs in these seconds: its machines, and demand beyond them."""
        return sum(
            price * (allocation + self.pool_premium * max(0, demand - allocation))
            for demand, price in seconds
        )

    def _update_weights(self, costs: list[float]) -> None:
        """Takes weight from each expert by its regret: what it cost beyond the best one.

        Regrets are relative to the largest; as the 20-fold experts would make every other
        difference look small, the largest is bounded by `cost_spread`.
        """
        best = min(costs)
        largest = min(max(costs), self.cost_spread * best) - best
        if largest <= 0:
            # With nothing to do the best cost nothing: whoever paid at all pays in full.
            largest = min((cost - best for cost in costs if cost > best), default=1.0)
        self.weights = [
            weight * (1 - self.epsilon * min(1.0, (cost - best) / largest))
            for weight, cost in zip(self.weights, costs, strict=True)
        ]

    def _share_weight(self) -> None:
        """Spreads a share of all weight anew, or experts of another hour could not come back."""
        total = sum(self.weights)
        even = self.share / len(self.weights)
        self.weights = [weight / total * (1 - self.share) + even for weight in self.weights]
