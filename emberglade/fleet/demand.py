"""Demand for machines by pool, and the targets that the weighted draw sets for it."""

import logging
import math
import random

from ..config import Operators
from ..placement import MachineType, Pool
from ..sizing import Sizer, expert_family
from . import wire

log = logging.getLogger("emberglade.fleet")

# A new leader's weights and history begin anew; until it has some, targets are bounded.
NEW_LEADER_CAP_S = 300
NEW_LEADER_CAP = 2  # times the demand


class DemandTargets:
    """Follows the demand of all controllers, each second, and draws targets from it.

    Attributes:
        tables: The last table of each controller that has a key.
        sizers: The weighted draw of each pool that there was ever demand for.
        targets: Machines that each pool is to have.
    """

    def __init__(self, operators: Operators) -> None:
        self.operators = operators
        self.experts = expert_family(operators.min_lookback_s, operators.max_lookback_s)
        self.tables: dict[str, dict] = {}
        self.sizers: dict[Pool, Sizer] = {}
        self.targets: dict[Pool, int] = {}

    def begin_leadership(self) -> None:
        """Forgets demand history, weights and targets."""
        self.sizers = {}
        self.targets = {}

    def note_controller(self, node: str, data: dict | None) -> None:
        """Notes the record of a controller's key; None if it was removed."""
        if data is None:
            self.tables.pop(node, None)
            return
        table = wire.read_table(data)
        if table:
            self.tables[node] = table

    def target(self, machine_type: str, spot: bool) -> int:
        """Machines that a pool is to have."""
        return self.targets.get(Pool(machine_type, spot), 0)

    def total(self) -> dict[Pool, float]:
        """Machines demanded of each pool, over all controllers."""
        total: dict[Pool, float] = {}
        for table in self.tables.values():
            for machine_type, spot, count in wire.read_demand(table):
                pool = Pool(machine_type, spot)
                total[pool] = total.get(pool, 0.0) + count
        return total

    def zone_shortages(self, machine_type: str) -> dict[tuple[bool, str], float]:
        """{(spot, zone): machines of a type that tasks bound to that zone lack there}."""
        shortages: dict[tuple[bool, str], float] = {}
        for table in self.tables.values():
            for type_name, spot, zone, count in wire.read_zone_shortages(table):
                if type_name == machine_type:
                    shortages[(spot, zone)] = shortages.get((spot, zone), 0.0) + count
        return shortages

    def record(self, total: dict[Pool, float], machine_types: dict[str, MachineType]) -> None:
        """Adds one second to the history of each pool, with what a machine costs now."""
        for pool in total:
            if pool.machine_type in machine_types and pool not in self.sizers:
                self.sizers[pool] = self._sizer(pool)
        for pool, sizer in self.sizers.items():
            machine_type = machine_types.get(pool.machine_type)
            if machine_type is not None:
                price = machine_type.spot_price if pool.spot else machine_type.price
                sizer.record(total.get(pool, 0.0), price)

    def _sizer(self, pool: Pool) -> Sizer:
        return Sizer(
            self.experts,
            self.operators.epsilon,
            self.operators.cost_round_s,
            self.operators.pool_premium,
            self.operators.cost_spread,
            self.operators.share,
            random.Random(f"{self.operators.seed} {tuple(pool)}"),
        )

    def draw(
        self, total: dict[Pool, float], machine_types: dict[str, MachineType], led_for_s: float
    ) -> None:
        """One cost round: updates the weights, and draws the target of each pool.

        Args:
            total: Machines demanded of each pool now.
            machine_types: The catalog.
            led_for_s: How long this controller has been the leader.
        """
        for pool, sizer in self.sizers.items():
            machine_type = machine_types.get(pool.machine_type)
            if machine_type is None or not sizer.workload_history:
                continue
            demand = total.get(pool, 0.0)
            expert, target = sizer.run_cost_round(
                machine_type.boot_s or self.operators.boot_guess_s
            )
            if led_for_s < NEW_LEADER_CAP_S:
                target = min(target, math.ceil(NEW_LEADER_CAP * demand))
            log.info(
                "drew target %d for %s: expert %d%% x %g over %d s, demand %.2f",
                target,
                pool,
                expert.percentile,
                expert.multiplier,
                expert.lookback_s,
                demand,
            )
            self.targets[pool] = target
