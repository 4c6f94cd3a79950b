"""Empties surplus machines that run only a few service replicas.

Replicas run longer than other tasks and end one at a time, which leaves machines mostly empty. A
move interrupts a replica for one to two seconds, so few replicas are moved, and only to machines
that have their image.
"""

import logging
from typing import TYPE_CHECKING

from ..actors import Actor, ActorPart, callback, send
from ..config import Operators
from .catalog import MachineCatalog
from .demand import DemandTargets
from .leadership import Leadership
from .machines import FleetMachines
from .states import Taint
from .taint_writer import TaintWriter

if TYPE_CHECKING:
    from ..jobs import JobManager

log = logging.getLogger("emberglade.fleet")

# Share of all replicas that may be moved per second. As a move interrupts a replica for 1 to 2 s,
# replicas lose about 0.0005 of their run time.
MOVED_SHARE_PER_S = 1 / 3000
MAX_BUDGET_S = 60  # an unused budget accumulates for this long


class Consolidation(ActorPart):
    """Drains ordinary machines whose replicas fit on other machines.

    Attributes:
        move_budget: Number of replicas that may be moved now.
    """

    def __init__(
        self,
        actor: Actor,
        operators: Operators,
        job_manager: "JobManager",
        leadership: Leadership,
        machines: FleetMachines,
        catalog: MachineCatalog,
        demand: DemandTargets,
        taint_writer: TaintWriter,
    ) -> None:
        super().__init__(actor)
        self.operators = operators
        self.job_manager = job_manager
        self.leadership = leadership
        self.machines = machines
        self.catalog = catalog
        self.demand = demand
        self.taint_writer = taint_writer
        self.move_budget = 0.0

    def begin_leadership(self) -> None:
        """Resets the budget to zero."""
        self.move_budget = 0.0

    def consolidate(self, machine_type: str) -> None:
        """Asks the job manager for a machine to empty, if a type has enough surplus machines.

        These must outnumber the idle ones: idle machines are removed first, as that moves no
        replica. No machine is emptied before this controller has been leader for the type's boot
        time, so that requested machines have had time to boot.
        """
        machines = self.machines.counted(machine_type)
        spot = sum(machine.spot for machine in machines)
        ordinary = len(machines) - spot
        spot_shortage = self.demand.target(machine_type, True) - spot
        ordinary_surplus = ordinary - self.demand.target(machine_type, False)
        surplus = ordinary_surplus - max(0, spot_shortage)
        idle = sum(machine.is_idle and not machine.spot for machine in machines)
        send(self.job_manager.on_replicas, callback(self.on_replicas))
        boot_s = self.catalog.machine_types[machine_type].boot_s
        led_for_s = self.now() - self.leadership.since
        if surplus > idle and self.move_budget >= 1 and boot_s < led_for_s:
            send(
                self.job_manager.on_underused_machine,
                machine_type,
                int(self.move_budget),
                callback(self.on_candidate),
            )

    def on_replicas(self, total: int) -> None:
        """Handles the job manager's answer, the number of bound replicas: adds to the budget."""
        per_second = MOVED_SHARE_PER_S * total
        self.move_budget = min(
            self.move_budget + per_second * self.operators.cost_round_s,
            max(1.0, per_second * MAX_BUDGET_S),
        )

    def on_candidate(self, machine: str | None, replicas: int) -> None:
        """Handles the job manager's answer: drains a machine whose replicas fit on others."""
        if machine is None or not self.leadership.is_leader or machine not in self.machines.by_name:
            return
        self.move_budget -= replicas
        log.info(
            "draining machine %s: surplus, and its %d service replicas fit on other machines",
            machine,
            replicas,
        )
        self.taint_writer.change([machine], Taint.DRAIN)
