"""Scales the fleet out: requests machines to reach the targets, and for tasks bound to one zone.

The name of a request contains this controller's name, its incarnation and a counter, so that no
name is ever reused, not even by another controller.
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
BACK_OFF_ROUNDS = 4  # cost rounds without requests to a zone that provided too few machines


class CapacityPool(NamedTuple):
    """A machine type in one zone, spot or ordinary; the cloud has separate capacity for each."""

    machine_type: str
    zone: str
    spot: bool


class ScaleOut(ActorPart):
    """Requests machines from the cloud.

    Attributes:
        request_count: Number of requests made by this process.
        pending: {name of a request: the request}, until its outcome is known.
        back_off_until: {capacity pool: end of its back-off, by the monotonic clock}.
        previous_shortages: {machine type: {(spot, zone): machines missing in the last round}}.
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
        self.max_requests = max_requests  # per call of `_scale_out`
        self.request_count = 0
        self.pending: dict[str, ScaleOutRequest] = {}
        self.back_off_until: dict[CapacityPool, float] = {}
        self.previous_shortages: dict[str, dict[tuple[bool, str], float]] = {}

    def begin_leadership(self) -> None:
        """Discards requests, back-offs and shortages of an earlier leadership."""
        self.pending = {}
        self.back_off_until = {}
        self.previous_shortages = {}

    def pending_count(self, machine_type: str, spot: bool) -> int:
        """Machines of a type, spot or ordinary, in requests whose outcome is not known yet."""
        return sum(
            request.number
            for request in self.pending.values()
            if (request.machine_type, request.spot) == (machine_type, spot)
        )

    def fill_shortage(self, balance: TypeBalance, now: float) -> None:
        """Requests the machines that are missing to reach the targets of a type.

        Demand that may use spot machines gets spot machines if they are cheaper than ordinary ones
        and not every zone is in back-off for them; otherwise it gets ordinary machines.
        """
        machine_type = balance.machine_type
        if balance.ordinary_shortage > 0:
            self._scale_out(machine_type, False, balance.ordinary_shortage, None, now)
        if balance.spot_shortage > 0:
            spot_is_cheaper = machine_type.spot_price < machine_type.price
            requested = spot_is_cheaper and self._scale_out(
                machine_type, True, balance.spot_shortage, None, now
            )
            if not requested:
                self._scale_out(machine_type, False, balance.spot_shortage, None, now)

    def fill_zone_shortages(
        self,
        machine_type: MachineType,
        shortages: dict[tuple[bool, str], float],
        now: float,
    ) -> None:
        """Requests machines for tasks that can run in one zone only and find no capacity there.

        The targets alone don't suffice: with enough machines, but all in other zones, such tasks
        wait indefinitely (combined_faults/zone_bound_jobs.txt). The controllers' tables are some
        seconds old, so only a shortage that is found in two consecutive rounds leads to requests.

        Args:
            machine_type: The machine type.
            shortages: {(spot, zone): machines missing there}.
            now: The time by the monotonic clock.
        """
        previous = self.previous_shortages.get(machine_type.name, {})
        self.previous_shortages[machine_type.name] = shortages
        for (spot, zone), count in shortages.items():
            confirmed = min(count, previous.get((spot, zone), 0.0))
            available = self._available_in_zone(machine_type.name, zone, spot)
            missing = math.ceil(confirmed) - available
            if missing <= 0:
                continue
            requested = spot and self._scale_out(machine_type, True, missing, zone, now)
            if not requested:
                self._scale_out(machine_type, False, missing, zone, now)

    def _available_in_zone(self, machine_type: str, zone: str, spot: bool) -> int:
        """Booting, idle and requested machines in a zone; includes spot machines only if `spot`."""
        booting_or_idle = sum(
            machine.zone == zone
            and (spot or not machine.spot)
            and (not machine.has_sent_heartbeat or machine.is_idle)
            for machine in self.machines.counted(machine_type)
        )
        requested = sum(
            request.number
            for request in self.pending.values()
            if (request.machine_type, request.zone) == (machine_type, zone)
            and (spot or not request.spot)
        )
        return booting_or_idle + requested

    def _scale_out(
        self, machine_type: MachineType, spot: bool, count: int, only_zone: str | None, now: float
    ) -> bool:
        """Requests machines in the zones that have the fewest machines, or only in `only_zone`.

        Returns:
            Whether there was a zone to request machines in; False if all are in back-off.
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
                batch = min(MAX_SCALE_OUT, number - first)
                self._request(ScaleOutRequest(machine_type.name, zone, spot, batch), now)
        return True

    def _spread(
        self, machine_type: MachineType, spot: bool, zones: list[str], count: int
    ) -> dict[str, int]:
        """{zone: machines to request}, so that the zones have similar numbers of machines.

        Each machine is added to the zone that has the fewest, counting those added before. Only
        spot machines are counted if `spot`, else only ordinary ones.
        """
        in_zone = dict.fromkeys(machine_type.zones, 0)
        for machine in self.machines.by_name.values():
            if machine.zone in in_zone and machine.spot == spot:
                in_zone[machine.zone] += 1
        plan: dict[str, int] = {}
        requests_left = self.max_requests
        for _ in range(count):
            # A zone whose last request is not full can get a machine without another request.
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
        """Sends one request, under a name that is never reused."""
        self.request_count += 1
        name = f"{self.settings.node}-{self.actor.incarnation}-{self.request_count}"
        self.pending[name] = request
        log.info(
            "requesting %d %s machines of type %s in zone %s (request %s)",
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
        """Handles the cloud's answer to a request: records its machines, or retries.

        Args:
            name: The request's name.
            requested_at: When it was first sent, by the monotonic clock.
            retries: The number of retries so far.
            status: The answer's status.
            body: The answer's body.
        """
        request = self.pending.get(name)
        if request is None:
            return
        machines = wire.read_scaled_out(body) if status == HTTPStatus.OK else None
        if machines is None and not wire.is_refusal(status, body):
            # The cloud may have carried out the request. A retry under the same name returns the
            # outcome and provides no machines twice.
            if retries < MAX_RETRIES and self.leadership.is_leader:
                send_after(RETRY_S, self.on_retry, name, requested_at, retries)
            else:
                del self.pending[name]
            return
        del self.pending[name]
        self._record_outcome(name, request, machines or [], requested_at)

    def _record_outcome(
        self, name: str, request: ScaleOutRequest, machines: list[str], requested_at: float
    ) -> None:
        """Records a request's machines; a pool that provided too few goes into back-off."""
        machine_type, zone, spot, number = request
        for machine in machines:
            self.machines.by_name.setdefault(
                machine, FleetMachine(machine, machine_type, zone, spot, requested_at)
            )
        if len(machines) < number:
            back_off_s = BACK_OFF_ROUNDS * self.operators.cost_round_s
            log.info(
                "got %d of %d %s machines of type %s in zone %s (request %s); "
                "no such requests to the zone for %g s",
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
        """Handles `retry`, sent to itself: repeats a request whose outcome is not known yet."""
        request = self.pending.get(name)
        if request is not None:
            self._send(name, request, requested_at, retries + 1)
