"""Demand for machines by pool, and the targets drawn for it."""

import logging
import math
import random

from ..config import Operators
from ..placement import MachineType, Pool
from ..sizing import Sizer, expert_family
from . import wire

log = logging.getLogger("emberglade.fleet")

# A new leader starts without weights and history, so its targets are bounded during this time.
NEW_LEADER_LIMIT_S = 300
NEW_LEADER_MAX_DEMAND_RATIO = 2  # a target is at most this multiple of the demand


class DemandTargets:
    """Records the demand of all controllers every second, and draws targets from it.

    Attributes:
        tables: The latest table of each controller that has a node key.
        sizers: The sizer of each pool that had demand since this leadership began.
        targets: The target of each pool, in machines.
    """

    def __init__(self, operators: Operators) -> None:
        self.operators = operators
        self.experts = expert_family(operators.min_lookback_s, operators.max_lookback_s)
        self.tables: dict[str, dict] = {}
        self.sizers: dict[Pool, Sizer] = {}
        self.targets: dict[Pool, int] = {}

    def begin_leadership(self) -> None:
        """Discards demand history, weights and targets."""
        self.sizers = {}
        self.targets = {}

    def apply_controller_record(self, node: str, data: dict | None) -> None:
        """Applies the record of a controller's key; None if the key was removed."""
        if data is None:
            self.tables.pop(node, None)
            return
        table = wire.read_table(data)
        if table:
            self.tables[node] = table

    def target(self, machine_type: str, spot: bool) -> int:
        """The target of a pool, in machines."""
        return self.targets.get(Pool(machine_type, spot), 0)

    def total(self) -> dict[Pool, float]:
        """The demand for each pool over all controllers, in machines."""
        total: dict[Pool, float] = {}
        for table in self.tables.values():
            for machine_type, spot, count in wire.read_demand(table):
                pool = Pool(machine_type, spot)
                total[pool] = total.get(pool, 0.0) + count
        return total

    def zone_shortages(self, machine_type: str) -> dict[tuple[bool, str], float]:
        """{(spot, zone): machines of a type missing there for tasks bound to that zone}."""
        shortages: dict[tuple[bool, str], float] = {}
        for table in self.tables.values():
            for type_name, spot, zone, count in wire.read_zone_shortages(table):
                if type_name == machine_type:
                    shortages[(spot, zone)] = shortages.get((spot, zone), 0.0) + count
        return shortages

    def record(self, total: dict[Pool, float], machine_types: dict[str, MachineType]) -> None:
        """Adds one second to the history of each pool, with the current price of a machine."""
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
        """Runs one cost round: updates the weights, and draws the target of each pool.

        Args:
            total: The current demand for each pool, in machines.
            machine_types: The catalog.
            led_for_s: How long this controller has been leader.
        """
        for pool, sizer in self.sizers.items():
            machine_type = machine_types.get(pool.machine_type)
            if machine_type is None or not sizer.workload_history:
                continue
            demand = total.get(pool, 0.0)
            expert, target = sizer.run_cost_round(
                machine_type.boot_s or self.operators.boot_guess_s
            )
            if led_for_s < NEW_LEADER_LIMIT_S:
                target = min(target, math.ceil(NEW_LEADER_MAX_DEMAND_RATIO * demand))
            log.info(
                "target %d machines for %s: drew expert %d%% x %g over %d s, demand %.2f",
                target,
                pool,
                expert.percentile,
                expert.multiplier,
                expert.lookback_s,
                demand,
            )
            self.targets[pool] = target
