"""The cost round: draws targets, scales machine types out or in, and reviews all machines.

Requests to the cloud are batched: a round makes a bounded number of them.
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


def requests_per_round(settings: Settings, operators: Operators) -> int:
    """How many requests of one kind a cost round may make to the cloud.

    A third of what the cloud answers in it, and at least one for each zone.
    """
    a_third = settings.cloud_rps * operators.cost_round_s / 3
    return max(len(settings.zones), int(a_third))


class CostRound:
    """Plays the cost rounds of the leader, with the parts that scale out, in and consolidate."""

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
        requests = requests_per_round(settings, operators)
        self.scale_out = ScaleOut(actor, settings, operators, cloud, leadership, machines, requests)
        self.scale_in = ScaleIn(
            actor, settings, operators, cloud, leadership, machines, catalog, taint_writer, requests
        )
        self.consolidation = Consolidation(
            actor, operators, job_manager, leadership, machines, catalog, demand, taint_writer
        )

    def begin_leadership(self) -> None:
        """Forgets what a former leadership asked for and was granted."""
        self.scale_out.begin_leadership()
        self.consolidation.begin_leadership()

    def play(self, total: dict[Pool, float], now: float) -> None:
        """Plays one round: draws targets, and scales each machine type out or in towards them.

        Args:
            total: Machines demanded of each pool now.
            now: The steady clock.
        """
        machine_types = self.catalog.machine_types
        self.demand.draw(total, machine_types, now - self.leadership.since)
        for name, machine_type in machine_types.items():
            balance = self._balance(machine_type)
            self._log_balance(balance)
            self.scale_out.fill(balance, now)
            self.scale_in.drain_idle(balance, now)
            self.scale_out.serve_zones(machine_type, self.demand.zone_shortages(name), now)
            self.consolidation.consider(name)
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
            "%s: %d ordinary and %d spot machines, %d and %d of them idle; targets %d and %d",
            balance.machine_type.name,
            balance.ordinary,
            balance.spot,
            balance.idle(False),
            balance.idle(True),
            balance.ordinary_target,
            balance.spot_target,
        )
