"""Multiplicative weights over the experts, as in the Cackle paper, section 4.4.

The demand is recorded every second. In each cost round, an expert's weight is reduced the more, the
more its earlier target would have cost. Then every expert computes a new target, and one expert is
drawn with a probability proportional to its weight.
"""

import math
import random
from collections import deque
from typing import NamedTuple

from .experts import Expert, whole_machines

# Number of cost rounds whose targets are kept. A round's cost is computed from the targets of one
# boot time earlier, since machines that are requested then are available in this round.
MAX_TARGET_ROUNDS = 64


class Draw(NamedTuple):
    """The result of a cost round.

    Attributes:
        expert: The drawn expert.
        target: Its target, in machines.
    """

    expert: Expert
    target: int


class Sizer:
    """Weights the experts by what their targets would have cost, and draws one each round.

    Attributes:
        workload_history: The demand of each second, in whole machines, the oldest first.
        prices: The price of a machine per hour in each second of the last cost round.
        target_history: The targets of all experts in each cost round, the oldest first.
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
        """Creates a sizer without history and with equal weights.

        Args:
            experts: The family of experts.
            epsilon: The learning rate of the weights, above 0 and at most 0.5.
            cost_round_s: Length of a cost round, in seconds.
            pool_premium: The cost of unmet demand, as a multiple of a machine's price.
            cost_spread: Costs are capped at this multiple of the lowest one.
            share: The fraction of the total weight that is redistributed evenly each round.
            rng: The random generator for draws.
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
            demand: The demand in machines; it is rounded up.
            price: The current price of one machine, per hour.
        """
        self.workload_history.append(whole_machines(demand))
        self.prices.append(price)

    def run_cost_round(self, boot_s: float) -> Draw:
        """Runs one cost round: updates the weights, records all targets, and draws an expert.

        Args:
            boot_s: The time from the request of a machine until it can run tasks, in seconds.
        """
        costs = self.costs(boot_s)
        if costs is not None and max(costs) > 0:
            self._update_weights(costs)
            self._share_weight()
        targets = self.expert_targets()
        self.target_history.append(targets)
        index = self.rng.choices(range(len(targets)), self.weights)[0]
        return Draw(self.experts[index], targets[index])

    def expert_targets(self) -> list[int]:
        """The current target of each expert, in machines."""
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
        """What each expert's target would have cost in the last round; None without enough history.

        Args:
            boot_s: The time from the request of a machine until it can run tasks, in seconds.
        """
        # The targets that determine how many machines the last round had are those of a boot time
        # earlier.
        rounds_back = max(1, math.ceil(boot_s / self.cost_round_s))
        if len(self.target_history) < rounds_back or len(self.workload_history) < self.cost_round_s:
            return None
        allocations = self.target_history[-rounds_back]
        seconds = self._last_round()
        cost_of = {allocation: self._cost(allocation, seconds) for allocation in set(allocations)}
        return [cost_of[allocation] for allocation in allocations]

    def _last_round(self) -> list[tuple[int, float]]:
        """The demand and price of each second of the last cost round."""
        demand = list(self.workload_history)[-self.cost_round_s :]
        return list(zip(demand, self.prices, strict=True))

    def _cost(self, allocation: int, seconds: list[tuple[int, float]]) -> float:
        """The cost of an allocation in these seconds: its machines, and the unmet demand."""
        return sum(
            price * (allocation + self.pool_premium * max(0, demand - allocation))
            for demand, price in seconds
        )

    def _update_weights(self, costs: list[float]) -> None:
        """Reduces each expert's weight in proportion to its regret: its cost minus the lowest cost.

        Costs are capped at `cost_spread` times the lowest one, and regrets are divided by the
        largest. Without the cap, the cost of the experts with multiplier 20 would make all other
        differences negligible.
        """
        best = min(costs)
        largest = min(max(costs), self.cost_spread * best) - best
        if largest <= 0:
            # Without demand the lowest cost is 0, and so is the cap. Regrets are then divided by
            # the smallest positive one: every expert with a cost above 0 gets the full reduction.
            largest = min((cost - best for cost in costs if cost > best), default=1.0)
        self.weights = [
            weight * (1 - self.epsilon * min(1.0, (cost - best) / largest))
            for weight, cost in zip(self.weights, costs, strict=True)
        ]

    def _share_weight(self) -> None:
        """Redistributes a share of the total weight evenly (fixed share).

        Without it, experts whose weight has become tiny can't recover when the workload changes.
        """
        total = sum(self.weights)
        uniform_weight = self.share / len(self.weights)
        self.weights = [
            weight / total * (1 - self.share) + uniform_weight for weight in self.weights
        ]
