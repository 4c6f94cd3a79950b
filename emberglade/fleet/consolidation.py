"""Empties machines above the target that hold but a few replicas of services.

Replicas outlive all other work and end one by one, so machines stay that are mostly empty. A move
costs a replica a second or two, so few are moved, and only to where their image is.
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

# Of all replicas a second: with a second or two each, a loss of about 0.0005.
MOVED_SHARE = 1 / 3000
MAX_SAVED_S = 60  # of moves that were not needed may be made later at once


class Consolidation(ActorPart):
    """Drains ordinary machines whose replicas find capacity elsewhere.

    Attributes:
        moves: Replicas that may be moved by now.
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
        self.moves = 0.0

    def begin_leadership(self) -> None:
        """Begins without any moves granted."""
        self.moves = 0.0

    def consider(self, machine_type: str) -> None:
        """Looks for a machine of a type to empty, if there are more than are needed.

        Idle machines go first, without a move; and none is moved before new machines could be up.
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
        if surplus > idle and self.moves >= 1 and boot_s < led_for_s:
            send(
                self.job_manager.on_underused_machine,
                machine_type,
                int(self.moves),
                callback(self.on_candidate),
            )

    def on_replicas(self, total: int) -> None:
        """Handles the job manager's answer, how many replicas are bound: grants a round's moves."""
        per_second = MOVED_SHARE * total
        self.moves = min(
            self.moves + per_second * self.operators.cost_round_s,
            max(1.0, per_second * MAX_SAVED_S),
        )

    def on_candidate(self, machine: str | None, replicas: int) -> None:
        """Handles the job manager's answer: drains the machine whose replicas fit elsewhere."""
        if machine is None or not self.leadership.is_leader or machine not in self.machines.by_name:
            return
        self.moves -= replicas
        log.info(
            "draining %s: above the target, and its %d replicas find capacity elsewhere",
            machine,
            replicas,
        )
        self.taint_writer.change([machine], Taint.DRAIN)
