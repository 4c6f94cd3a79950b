"""Scales the fleet in: drains surplus machines, and returns empty ones to the cloud."""

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
MAX_BOOT_TIMES = 3  # boot times of its type until a machine that never sent a heartbeat is drained
DRAIN_AFTER_LEASES = 6  # lease durations since the last heartbeat until a machine is drained
REPLACE_AFTER_LEASES = 4  # lease durations until a lost or unreachable machine is replaced


class Step(Enum):
    """The next step in the removal of a machine."""

    DRAIN = auto()
    SCALE_IN = auto()


class ScaleIn(ActorPart):
    """Decides which machines to remove, and returns them to the cloud when they are empty."""

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
        self.max_requests = max_requests  # per cost round

    def drain_idle(self, balance: TypeBalance, now: float) -> None:
        """Drains machines above the targets that have been idle for the hold time.

        Ordinary machines are drained before spot machines, since they cost more. Within each of the
        two pools, the machines that have been idle for longest are drained first.
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
            log.info(
                "draining surplus machines %s: idle for at least %g s", shorten_names(names), hold_s
            )
            self.taint_writer.change(names, Taint.DRAIN)

    def review(self, now: float) -> None:
        """Takes the next step for drained, failed, unresponsive and permanently lost machines."""
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
            return Step.SCALE_IN if self._is_permanently_lost(machine, now) else None
        if taint == Taint.LOST and self._is_permanently_unreachable(machine, now):
            return Step.DRAIN
        if taint != Taint.GONE and machine.state == MachineState.FAILED:
            return Step.SCALE_IN
        return None

    def _next_step_untainted(self, machine: FleetMachine, now: float) -> Step | None:
        if machine.state == MachineState.FAILED:
            # It has stopped, so nothing runs there; the cloud's answer to the scale-in proves it.
            return Step.SCALE_IN
        if machine.has_sent_heartbeat:
            is_unresponsive = (
                now - machine.last_heartbeat_at > DRAIN_AFTER_LEASES * self.settings.lease_s
            )
            return Step.DRAIN if is_unresponsive else None
        waiting_since = max(machine.requested_at, self.leadership.since)
        if now - waiting_since > MAX_BOOT_TIMES * self._boot_s(machine):
            log.info("draining machine %s: no heartbeat since it was requested", machine.name)
            return Step.DRAIN
        return None

    def _boot_s(self, machine: FleetMachine) -> float:
        machine_type = self.catalog.machine_types.get(machine.type)
        boot_s = machine_type.boot_s if machine_type is not None else 0
        return boot_s or self.operators.boot_guess_s

    def _is_permanently_lost(self, machine: FleetMachine, now: float) -> bool:
        """Whether a machine with an expired lease has been lost so long that it is replaced."""
        # A new leader's records contain no heartbeats yet. If it did not count from the start of
        # its leadership, it would return machines behind a network partition to the cloud at once,
        # though the partition may end (fleet/partition_across_failover.txt).
        no_heartbeat_since = max(machine.last_heartbeat_at, self.leadership.since)
        return (
            now - no_heartbeat_since > REPLACE_AFTER_LEASES * self.settings.lease_s
            or self._is_permanently_unreachable(machine, now)
        )

    def _is_permanently_unreachable(self, machine: FleetMachine, now: float) -> bool:
        """Whether a machine has been unreachable for so long that it is replaced."""
        return (
            machine.unreachable_since is not None
            and now - machine.unreachable_since > REPLACE_AFTER_LEASES * self.settings.lease_s
        )

    def _request(self, names: list[str]) -> None:
        """Returns up to MAX_SCALE_IN machines to the cloud."""
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
        """Handles the cloud's answer: status 200 proves that these machines are gone.

        After any other answer nothing changes, and the next cost round retries.
        """
        self.machines.scaling_in.difference_update(names)
        if status != HTTPStatus.OK or not self.leadership.is_leader:
            return
        now = self.now()
        for name in names:
            self.machines.by_name.pop(name, None)
            self.machines.scaled_in_at[name] = now
        self.taint_writer.change(names, Taint.GONE)
