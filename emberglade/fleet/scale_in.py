"""Scales the fleet in: drains machines beyond need, and gives empty ones back to the cloud."""

import logging
from enum import Enum, auto
from http import HTTPStatus
from typing import Any

from ..actors import Actor, ActorPart, callback
from ..config import Operators, Settings
from ..transport import Client
from . import wire
from .balance import TypeBalance
from .catalog import MachineCatalog
from .leadership import Leadership
from .machines import FleetMachine, FleetMachines, shorten_names
from .states import MachineState, Taint
from .taint_writer import TaintWriter
from .wire import MAX_SCALE_IN

log = logging.getLogger("emberglade.fleet")

REQUEST_TIMEOUT_S = 4.0
MAX_BOOTS = 3  # boot times of its type after which a machine has failed to come up
SILENT_LEASES = 6  # after which a machine that nothing was bound to is drained
REPLACED_LEASES = 4  # after which a machine that is lost is replaced for good


class Step(Enum):
    """What is to become of a machine."""

    DRAIN = auto()
    SCALE_IN = auto()


class ScaleIn(ActorPart):
    """Decides which machines go, and gives them back once nothing needs them any more."""

    def __init__(
        self,
        actor: Actor,
        settings: Settings,
        operators: Operators,
        cloud: Client,
        leadership: Leadership,
        machines: FleetMachines,
        catalog: MachineCatalog,
        taint_writer: TaintWriter,
        max_requests: int,
    ) -> None:
        super().__init__(actor)
        self.settings = settings
        self.operators = operators
        self.cloud = cloud
        self.leadership = leadership
        self.machines = machines
        self.taints = machines.taints
        self.catalog = catalog
        self.taint_writer = taint_writer
        self.max_requests = max_requests  # in a round

    def drain_idle(self, balance: TypeBalance, now: float) -> None:
        """Drains machines above the targets that were idle for the hold time.

        Ordinary machines go first, since they cost more, and those idle for longest.
        """
        hold_s = self.operators.hold_idle_s
        idle = [
            machine
            for machine in balance.machines
            if machine.idle_since is not None and now - machine.idle_since >= hold_s
        ]
        idle.sort(key=lambda machine: machine.idle_since or 0.0)
        ordinary = [machine.name for machine in idle if not machine.spot]
        spot = [machine.name for machine in idle if machine.spot]
        ordinary_surplus = min(-balance.ordinary_shortage, balance.surplus)
        spot_surplus = min(balance.spot, balance.surplus)
        names = ordinary[: max(0, ordinary_surplus)]
        names += spot[: max(0, spot_surplus - len(names))]
        if names:
            log.info("draining %s: idle for %g s above the target", shorten_names(names), hold_s)
            self.taint_writer.change(names, Taint.DRAIN)

    def review(self, now: float) -> None:
        """Takes the next step for machines that are drained, failed, silent or lost for good."""
        drain = []
        scale_in = []
        for machine in self.machines.by_name.values():
            step = self._next_step(machine, now)
            if step is Step.DRAIN:
                drain.append(machine.name)
            elif step is Step.SCALE_IN:
                scale_in.append(machine.name)
        self.taint_writer.change(drain, Taint.DRAIN)
        for first in range(0, len(scale_in), MAX_SCALE_IN)[: self.max_requests]:
            self._request(scale_in[first : first + MAX_SCALE_IN])

    def _next_step(self, machine: FleetMachine, now: float) -> Step | None:
        if machine.name in self.machines.scaling_in:
            return None
        taint = self.taints.get(machine.name)
        if taint is None:
            return self._next_step_untainted(machine, now)
        occupied = machine.name in self.machines.occupied
        if taint == Taint.DRAIN:
            return None if occupied else Step.SCALE_IN
        if taint == Taint.ENDED:
            return Step.SCALE_IN if self._is_lost_for_good(machine, now) else None
        if taint == Taint.LOST and self._is_unreachable_for_good(machine, now):
            return Step.DRAIN
        if taint != Taint.GONE and machine.state == MachineState.FAILED:
            return Step.SCALE_IN
        return None

    def _next_step_untainted(self, machine: FleetMachine, now: float) -> Step | None:
        if machine.state == MachineState.FAILED:
            # It has stopped: nothing runs there, and the cloud's answer will prove it.
            return Step.SCALE_IN
        if machine.ever_heard:
            silent = now - machine.last_heard > SILENT_LEASES * self.settings.lease_s
            return Step.DRAIN if silent else None
        waiting_since = max(machine.requested_at, self.leadership.since)
        if now - waiting_since > MAX_BOOTS * self._boot_s(machine):
            log.info("draining %s: it never came up", machine.name)
            return Step.DRAIN
        return None

    def _boot_s(self, machine: FleetMachine) -> float:
        machine_type = self.catalog.machine_types.get(machine.type)
        boot_s = machine_type.boot_s if machine_type is not None else 0
        return boot_s or self.operators.boot_guess_s

    def _is_lost_for_good(self, machine: FleetMachine, now: float) -> bool:
        """Whether a machine whose lease is over has been away so long that it is replaced."""
        # A new leader has heard of nobody yet; a machine behind a cut may well come back.
        # Once broken: it gave such machines back at once (fleet/partition_across_failover.txt).
        silent_since = max(machine.last_heard, self.leadership.since)
        return (
            now - silent_since > REPLACED_LEASES * self.settings.lease_s
            or self._is_unreachable_for_good(machine, now)
        )

    def _is_unreachable_for_good(self, machine: FleetMachine, now: float) -> bool:
        """Whether answers have not reached a machine for so long that it is replaced."""
        return (
            machine.unreachable_since is not None
            and now - machine.unreachable_since > REPLACED_LEASES * self.settings.lease_s
        )

    def _request(self, names: list[str]) -> None:
        """Gives up to MAX_SCALE_IN machines back to the cloud."""
        self.machines.scaling_in.update(names)
        log.info("scaling in %d machines: %s", len(names), shorten_names(names))
        self.cloud.call(
            "POST",
            wire.SCALE_IN_PATH,
            wire.scale_in_body(names),
            REQUEST_TIMEOUT_S,
            callback(self.on_scaled_in, names),
        )

    def on_scaled_in(self, names: list[str], status: int, body: Any) -> None:
        """Handles the cloud's answer: its 200 proves that these machines are gone.

        Without it they stay as they are, and the next round asks again.
        """
        self.machines.scaling_in.difference_update(names)
        if status != HTTPStatus.OK or not self.leadership.is_leader:
            return
        now = self.now()
        for name in names:
            self.machines.by_name.pop(name, None)
            self.machines.scaled_in_at[name] = now
        self.taint_writer.change(names, Taint.GONE)
