"""Scales the fleet out: asks for machines, up to the targets and for zones that lack some.

Names of requests hold this controller's name, its incarnation and a counter, so that none is ever
used for a second request, not even by another controller.
"""

import logging
import math
from http import HTTPStatus
from typing import Any, NamedTuple

from ..actors import ActorPart, callback, send_after
from ..config import Operators, Settings
from ..placement import MachineType
from ..state import ReplicaSubscriber
from ..transport import Client
from . import wire
from .balance import TypeBalance
from .leadership import Leadership
from .machines import FleetMachine, FleetMachines
from .wire import MAX_SCALE_OUT, ScaleOutRequest

log = logging.getLogger("emberglade.fleet")

REQUEST_TIMEOUT_S = 4.0
RETRY_S = 2.0
MAX_RETRIES = 20
BACK_OFF_ROUNDS = 4  # cost rounds without requests to a zone that gave less than was asked


class CapacityPool(NamedTuple):
    """What the cloud has or lacks capacity for by itself."""

    machine_type: str
    zone: str
    spot: bool


class ScaleOut(ActorPart):
    """Asks the cloud for machines.

    Attributes:
        pending: {name of a request: what it asks for}, until its outcome is known.
        back_off_until: {capacity pool: when it may be asked again}.
    """

    actor: ReplicaSubscriber

    def __init__(
        self,
        actor: ReplicaSubscriber,
        settings: Settings,
        operators: Operators,
        cloud: Client,
        leadership: Leadership,
        machines: FleetMachines,
        max_requests: int,
    ) -> None:
        super().__init__(actor)
        self.settings = settings
        self.operators = operators
        self.cloud = cloud
        self.leadership = leadership
        self.machines = machines
        self.max_requests = max_requests  # of one kind in a round
        self.requests = 0  # made by this process
        self.pending: dict[str, ScaleOutRequest] = {}
        self.back_off_until: dict[CapacityPool, float] = {}
        # Of each machine type, as of the last round: {(spot, zone): machines short}.
        self.shortages_before: dict[str, dict[tuple[bool, str], float]] = {}

    def begin_leadership(self) -> None:
        """Forgets what a former leadership asked for, and which zones refused."""
        self.pending = {}
        self.back_off_until = {}
        self.shortages_before = {}

    def pending_count(self, machine_type: str, spot: bool) -> int:
        """Machines of a pool that were asked for and not granted or refused yet."""
        return sum(
            request.number
            for request in self.pending.values()
            if (request.machine_type, request.spot) == (machine_type, spot)
        )

    def fill(self, balance: TypeBalance, now: float) -> None:
        """Asks for the machines that a type is short of.

        For demand that may use spot machines only while these are cheaper, and ordinary ones where
        every zone has refused spot machines lately.
        """
        machine_type = balance.machine_type
        if balance.ordinary_shortage > 0:
            self._scale_out(machine_type, False, balance.ordinary_shortage, None, now)
        if balance.spot_shortage > 0:
            spot_is_cheaper = machine_type.spot_price < machine_type.price
            asked = spot_is_cheaper and self._scale_out(
                machine_type, True, balance.spot_shortage, None, now
            )
            if not asked:
                self._scale_out(machine_type, False, balance.spot_shortage, None, now)

    def serve_zones(
        self,
        machine_type: MachineType,
        shortages: dict[tuple[bool, str], float],
        now: float,
    ) -> None:
        """Asks for machines for tasks that can run in one zone only, and find no capacity there.

        Once broken: enough machines by their count, all of them elsewhere, and such tasks waited
        for ever (combined_faults/zone_bound_jobs.txt). Tables are some seconds old, so a shortage
        counts once it is seen twice.

        Args:
            machine_type: The type that is short.
            shortages: {(spot, zone): machines short there}.
            now: The steady clock.
        """
        before = self.shortages_before.get(machine_type.name, {})
        self.shortages_before[machine_type.name] = shortages
        for (spot, zone), count in shortages.items():
            seen_twice = min(count, before.get((spot, zone), 0.0))
            available = self._available_in_zone(machine_type.name, zone, spot)
            missing = math.ceil(seen_twice) - available
            if missing <= 0:
                continue
            asked = spot and self._scale_out(machine_type, True, missing, zone, now)
            if not asked:
                self._scale_out(machine_type, False, missing, zone, now)

    def _available_in_zone(self, machine_type: str, zone: str, spot: bool) -> int:
        """Machines in a zone that boot, are idle or are asked for; spot ones only if `spot`."""
        booting_or_idle = sum(
            machine.zone == zone
            and (spot or not machine.spot)
            and (not machine.ever_heard or machine.is_idle)
            for machine in self.machines.counted(machine_type)
        )
        asked_for = sum(
            request.number
            for request in self.pending.values()
            if (request.machine_type, request.zone) == (machine_type, zone)
            and (spot or not request.spot)
        )
        return booting_or_idle + asked_for

    def _scale_out(
        self, machine_type: MachineType, spot: bool, count: int, only_zone: str | None, now: float
    ) -> bool:
        """Asks for machines in the zones that have fewest, or in one zone only.

        Returns:
            Whether it asked for any: False if every zone is in back-off.
        """
        zones = [
            zone
            for zone in machine_type.zones
            if only_zone in (None, zone)
            and self.back_off_until.get(CapacityPool(machine_type.name, zone, spot), 0) <= now
        ]
        if not zones:
            return False
        for zone, number in self._spread(machine_type, spot, zones, count).items():
            for first in range(0, number, MAX_SCALE_OUT):
                part = min(MAX_SCALE_OUT, number - first)
                self._request(ScaleOutRequest(machine_type.name, zone, spot, part), now)
        return True

    def _spread(
        self, machine_type: MachineType, spot: bool, zones: list[str], count: int
    ) -> dict[str, int]:
        """{zone: machines to ask for}: each goes where there are fewest, by spot or not."""
        in_zone = dict.fromkeys(machine_type.zones, 0)
        for machine in self.machines.by_name.values():
            if machine.zone in in_zone and machine.spot == spot:
                in_zone[machine.zone] += 1
        plan: dict[str, int] = {}
        requests_left = self.max_requests
        for _ in range(count):
            # A zone whose last request is not full takes a further machine without another one.
            open_zones = [
                zone for zone in zones if plan.get(zone, 0) % MAX_SCALE_OUT or requests_left > 0
            ]
            if not open_zones:
                break
            zone = min(open_zones, key=lambda zone: (in_zone[zone], zone))
            if plan.get(zone, 0) % MAX_SCALE_OUT == 0:
                requests_left -= 1
            in_zone[zone] += 1
            plan[zone] = plan.get(zone, 0) + 1
        return plan

    def _request(self, request: ScaleOutRequest, now: float) -> None:
        """Sends one request, under a name that is never used again."""
        self.requests += 1
        name = f"{self.settings.node}-{self.actor.incarnation}-{self.requests}"
        self.pending[name] = request
        log.info(
            "scaling out: %d %s %s in %s (request %s)",
            request.number,
            "spot" if request.spot else "ordinary",
            request.machine_type,
            request.zone,
            name,
        )
        self._send(name, request, now, 0)

    def _send(self, name: str, request: ScaleOutRequest, requested_at: float, retries: int) -> None:
        self.cloud.call(
            "POST",
            wire.SCALE_OUT_PATH,
            wire.scale_out_body(name, request),
            REQUEST_TIMEOUT_S,
            callback(self.on_scaled_out, name, requested_at, retries),
        )

    def on_scaled_out(
        self, name: str, requested_at: float, retries: int, status: int, body: Any
    ) -> None:
        """Handles the cloud's answer to a request: counts its machines, or asks again.

        Args:
            name: The request's name.
            requested_at: When it was first sent, by the steady clock.
            retries: How often it was sent again.
            status: The answer's status.
            body: The answer.
        """
        request = self.pending.get(name)
        if request is None:
            return
        machines = wire.read_scaled_out(body) if status == HTTPStatus.OK else None
        if machines is None and not wire.is_refusal(status, body):
            # Perhaps carried out: only the same name asked again tells, and adds nothing twice.
            if retries < MAX_RETRIES and self.leadership.is_leader:
                send_after(RETRY_S, self.on_retry, name, requested_at, retries)
            else:
                del self.pending[name]
            return
        del self.pending[name]
        self._take_over(name, request, machines or [], requested_at)

    def _take_over(
        self, name: str, request: ScaleOutRequest, machines: list[str], requested_at: float
    ) -> None:
        """Counts the machines that a request got; a zone that gave less is in back-off."""
        machine_type, zone, spot, number = request
        for machine in machines:
            self.machines.by_name.setdefault(
                machine, FleetMachine(machine, machine_type, zone, spot, requested_at)
            )
        if len(machines) < number:
            back_off_s = BACK_OFF_ROUNDS * self.operators.cost_round_s
            log.info(
                "scaled out %d of %d %s %s in %s (request %s); the zone is in back-off for %g s",
                len(machines),
                number,
                "spot" if spot else "ordinary",
                machine_type,
                zone,
                name,
                back_off_s,
            )
            self.back_off_until[CapacityPool(machine_type, zone, spot)] = self.now() + back_off_s

    def on_retry(self, name: str, requested_at: float, retries: int) -> None:
        """Handles `retry`, sent to itself: sends a request of unknown outcome again."""
        request = self.pending.get(name)
        if request is not None:
            self._send(name, request, requested_at, retries + 1)
