"""A stand-in for the cloud: rents out machines, lists them with a lag, and reclaims some."""

import urllib.parse
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

import orjson

from . import wire
from .observer import Observer
from .worker import Worker, WorkerSettings
from .world import Reply, World

HOST = "cloud"
LISTING_INTERVAL_S = 1.0
KEPT_LISTINGS = 60
# The ranges of a machine's boot time and of the list's lag, as shares of the nominal values.
MIN_BOOT_SHARE, MAX_BOOT_SHARE = 0.6, 1.5
MIN_LAG_SHARE, MAX_LAG_SHARE = 1, 2


@dataclass(frozen=True)
class MachineType:
    """A machine type of the catalog."""

    label: str = "box"
    cpus: float = 8.0
    ram_gb: float = 32.0
    local_gb: float = 30.0
    fetch_gb_per_s: float = 0.2
    price: float = 0.6
    spot_price: float = 0.2
    boot_s: float = 15.0
    zones: list[str] = field(default_factory=list)

    def row(self) -> dict[str, Any]:
        """The row of this type in the catalog."""
        row = asdict(self)
        row["glades"] = row.pop("zones")
        return row


Pool = tuple[str, bool]  # (zone, spot)


class Cloud:
    """Rents out machines of one type.

    Attributes:
        capacity: The number of machines that each pool has left.
        outage_until: The end of the current outage, in which every request gets a 503.
        boot_failure_share: The share of machines that never boot.
    """

    def __init__(
        self,
        world: World,
        machine_type: MachineType,
        capacity: dict[Pool, int],
        list_lag_s: float,
        worker_settings: WorkerSettings,
        observer: Observer,
    ) -> None:
        self.world = world
        self.machine_type = machine_type
        self.capacity = capacity
        self.list_lag_s = list_lag_s
        self.worker_settings = worker_settings
        self.observer = observer
        self.machines: dict[str, Worker] = observer.machines
        self.machine_count = 0
        self.answered_requests: dict[str, list[str]] = {}
        self.listings: list[tuple[float, list[dict[str, Any]]]] = []
        self.outage_until = -1.0
        self.boot_failure_share = 0.0
        world.hosts[HOST] = self.handle
        world.at(0, self.take_listing)

    def take_listing(self) -> None:
        """Records the current machine list, periodically; requests see it after the lag."""
        rows = [machine.listed_row() for machine in self.machines.values() if machine.listed]
        self.listings.append((self.world.now, rows))
        self.listings = self.listings[-KEPT_LISTINGS:]
        self.world.at(LISTING_INTERVAL_S, self.take_listing)

    # --- requests

    def handle(self, method: str, path: str, body: bytes, source: str, reply: Reply) -> None:
        """Answers a controller's request."""
        if self.world.now < self.outage_until:
            reply(503, {"error": "trouble"})
            return
        path, _, query = path.partition("?")
        data = orjson.loads(body) if body else {}
        if path == wire.CATALOG_PATH:
            reply(200, wire.write_catalog([self.machine_type.row()]))
        elif path == wire.MACHINES_PATH and method == "GET":
            reply(200, self.list_machines(dict(urllib.parse.parse_qsl(query)).get("since", "")))
        elif path == wire.MACHINES_PATH:
            reply(*self.scale_out(wire.read_scale_out(data)))
        elif path == wire.SCALE_IN_PATH:
            for name in wire.read_scale_in(data):
                self.remove(name)
            reply(200, {})
        else:
            reply(404, {})

    def list_machines(self, after: str) -> dict[str, Any]:
        """Returns one page of a machine list that is a random lag old."""
        lag_s = self.list_lag_s * self.world.random.uniform(MIN_LAG_SHARE, MAX_LAG_SHARE)
        shown = self.world.now - lag_s
        rows: list[dict[str, Any]] = next(
            (rows for taken_at, rows in reversed(self.listings) if taken_at <= shown), []
        )
        return wire.write_machine_list(rows, after)

    def scale_out(self, request: wire.ScaleOutRequest) -> tuple[int, dict[str, Any]]:
        """Rents out machines; a repeated request gets the same answer."""
        if request.name in self.answered_requests:
            return 200, wire.write_scaled_out(self.answered_requests[request.name])
        pool = (request.zone, request.spot)
        count = min(request.machines, self.capacity.get(pool, 0))
        if count <= 0:
            return 503, {"error": "no capacity"}
        self.capacity[pool] -= count
        names = [self.add(*pool, self.draw_boot_s()) for _ in range(count)]
        self.answered_requests[request.name] = names
        return 200, wire.write_scaled_out(names)

    def draw_boot_s(self) -> float:
        """Draws a machine's boot time."""
        share = self.world.random.uniform(MIN_BOOT_SHARE, MAX_BOOT_SHARE)
        return self.machine_type.boot_s * share

    # --- machines

    def add(self, zone: str, spot: bool, boot_s: float) -> str:
        """Adds a machine, which boots after `boot_s` unless it is drawn as a boot failure."""
        name = f"vm-{self.machine_count:06d}"
        self.machine_count += 1
        machine = Worker(
            self.world, self.observer, self.worker_settings, self.machine_type, name, zone, spot
        )
        self.machines[name] = machine
        if self.world.random.random() >= self.boot_failure_share:
            self.world.at(boot_s, machine.boot)
        return name

    def remove(self, name: str) -> None:
        """Stops a machine and removes it from the list."""
        machine = self.machines.get(name)
        if machine is not None and machine.listed:
            pool = (machine.zone, machine.spot)
            self.capacity[pool] = self.capacity.get(pool, 0) + 1
            machine.end()
            machine.listed = False

    def running(self) -> Iterator[Worker]:
        """The listed machines that are up."""
        return (machine for machine in self.machines.values() if machine.up and machine.listed)

    # --- faults

    def kill_machines(self, count: int) -> None:
        """Kills random machines with their tasks; they remain in the machine list."""
        for machine in self.sample_running(count):
            machine.end()

    def hang_machines(self, count: int, seconds: float) -> None:
        """Hangs random machines."""
        for machine in self.sample_running(count):
            machine.hang(seconds)

    def sample_running(self, count: int) -> list[Worker]:
        """Draws `count` of the machines that are up, or all if there are fewer."""
        running = list(self.running())
        return self.world.random.sample(running, min(count, len(running)))

    def reclaim_spot(self, share: float, notice_s: float) -> None:
        """Reclaims a share of the spot machines, after `notice_s` or at once."""
        spots = [machine for machine in self.running() if machine.spot]
        for machine in spots[: max(1, int(len(spots) * share))]:
            if notice_s:
                machine.reclaim_at = self.world.now + notice_s
                machine.schedule_change_heartbeat()
            self.world.at(notice_s, self.remove, machine.name)

    def begin_outage(self, seconds: float) -> None:
        """Refuses all requests for a while."""
        self.outage_until = self.world.now + seconds
