"""The cost round: draws targets, scales machine types out or in, and reviews all machines.

Requests to the cloud are batched, and each round makes a bounded number of them.
"""

import logging
from typing import TYPE_CHECKING

from ..config import Operators, Settings
from ..placement import MachineType
from ..state import ReplicaSubscriber
from ..transport import Client
from .balance import TypeBalance
from .catalog import MachineCatalog
from .consolidation import Consolidation
from .demand import DemandTargets, Pool
from .leadership import Leadership
from .machines import FleetMachines
from .scale_in import ScaleIn
from .scale_out import ScaleOut
from .taint_writer import TaintWriter

if TYPE_CHECKING:
    from ..jobs import JobManager

log = logging.getLogger("emberglade.fleet")


def cloud_request_limit(settings: Settings, operators: Operators) -> int:
    """The maximum number of requests to the cloud for one scale-out or one scale-in.

    A scale-out is one call of `ScaleOut._scale_out`, a scale-in one call of `ScaleIn.review`. The
    limit is a third of the requests that the cloud's rate limit allows per cost round, but at
    least one per zone.
    """
    third_of_rate = settings.cloud_rps * operators.cost_round_s / 3
    return max(len(settings.zones), int(third_of_rate))


class CostRound:
    """Runs the leader's cost rounds, with the parts that scale out, scale in and consolidate."""

    def __init__(
        self,
        actor: ReplicaSubscriber,
        settings: Settings,
        operators: Operators,
        cloud: Client,
        job_manager: "JobManager",
        leadership: Leadership,
        machines: FleetMachines,
        catalog: MachineCatalog,
        demand: DemandTargets,
        taint_writer: TaintWriter,
    ) -> None:
        self.leadership = leadership
        self.machines = machines
        self.catalog = catalog
        self.demand = demand
        max_requests = cloud_request_limit(settings, operators)
        self.scale_out = ScaleOut(
            actor, settings, operators, cloud, leadership, machines, max_requests
        )
        self.scale_in = ScaleIn(
            actor,
            settings,
            operators,
            cloud,
            leadership,
            machines,
            catalog,
            taint_writer,
            max_requests,
        )
        self.consolidation = Consolidation(
            actor, operators, job_manager, leadership, machines, catalog, demand, taint_writer
        )

    def begin_leadership(self) -> None:
        """Discards requests and budgets of an earlier leadership."""
        self.scale_out.begin_leadership()
        self.consolidation.begin_leadership()

    def run(self, total: dict[Pool, float], now: float) -> None:
        """Runs one round: draws targets, and scales each machine type out or in towards them.

        Args:
            total: The current demand for each pool, in machines.
            now: The time by the monotonic clock.
        """
        machine_types = self.catalog.machine_types
        self.demand.draw(total, machine_types, now - self.leadership.since)
        for name, machine_type in machine_types.items():
            balance = self._balance(machine_type)
            self._log_balance(balance)
            self.scale_out.fill_shortage(balance, now)
            self.scale_in.drain_idle(balance, now)
            self.scale_out.fill_zone_shortages(machine_type, self.demand.zone_shortages(name), now)
            self.consolidation.consolidate(name)
        self.scale_in.review(now)

    def _balance(self, machine_type: MachineType) -> TypeBalance:
        name = machine_type.name
        machines = self.machines.counted(name)
        spot = sum(machine.spot for machine in machines)
        return TypeBalance(
            machine_type,
            machines,
            len(machines) - spot + self.scale_out.pending_count(name, False),
            spot + self.scale_out.pending_count(name, True),
            self.demand.target(name, False),
            self.demand.target(name, True),
        )

    @staticmethod
    def _log_balance(balance: TypeBalance) -> None:
        log.info(
            "machine type %s: %d ordinary and %d spot machines (%d and %d idle), targets %d and %d",
            balance.machine_type.name,
            balance.ordinary,
            balance.spot,
            balance.idle(False),
            balance.idle(True),
            balance.ordinary_target,
            balance.spot_target,
        )
