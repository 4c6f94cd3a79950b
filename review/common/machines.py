"""Stand-ins for the cloud and for the workers on its machines, as PROTOCOL-emberglade has them."""

import asyncio
import collections
import random
import time
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from . import http1

ANSWER_TIMEOUT_S = 4.0
MIN_CHANGE_GAP_S = 0.5
NEXT_NODE_S = 1.0
REDIRECT_S = 0.1
TICK_S = 0.05


@dataclass
class Task:
    """One attempt on a machine."""

    strike: int
    glow: str
    cause: str | None = None
    stored: bool = False
    timer: asyncio.TimerHandle | None = None

    @property
    def on_machine(self) -> bool:
        """Whether it counts as being on its machine."""
        return self.glow in ("running", "saving")

    @property
    def takes_room(self) -> bool:
        """Whether it takes resources; a fetching task does."""
        return self.glow != "exited"


class Worker:
    """One machine and its worker.

    Attributes:
        mute: Its reports reach no controller now.
        hung: It executes nothing now.
    """

    def __init__(self, fleet: "Fleet", name: str, zone: str, spot: bool) -> None:
        self.fleet, self.name, self.zone, self.spot = fleet, name, zone, spot
        self.address = ""
        self.server: asyncio.Server | None = None
        self.rented_at = time.monotonic()
        self.up, self.gone = False, False
        self.span, self.tally, self.torch = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self.session_at = 0.0  # when the last answered report was sent, or the session began
        self.changed = asyncio.Event()
        self.node = 0
        self.clients: dict[str, http1.Client] = {}
        self.jobs: list[asyncio.Task] = []

    # --- the machine

    async def boot(self, delay_s: float) -> None:
        """Comes up after a delay."""
        await asyncio.sleep(delay_s)
        if self.gone:
            return
        self.server, port = await http1.serve(
            self._handle, too_long=lambda size: self._too_long("a direct command", size)
        )
        self.address = f"{http1.LOOPBACK}:{port}"
        self.up = True
        self.session_at = time.monotonic()
        self.node = random.randrange(len(self.fleet.nodes))
        loop = asyncio.get_running_loop()
        self.jobs = [loop.create_task(self._report_loop()), loop.create_task(self._lease_loop())]

    def end(self) -> None:
        """Is gone, with everything on it."""
        self.gone, self.up = True, False
        self._kill_all("the machine is gone")
        for job in self.jobs:
            job.cancel()
        if self.server is not None:
            self.server.close()

    def _kill_all(self, why: str) -> None:
        for (ember, _), task in self.tasks.items():
            if task.timer is not None:
                task.timer.cancel()
            if task.on_machine:
                self.fleet.left(ember, self, why)
        self.tasks = {}

    def usage(self) -> tuple[float, float]:
        """(cpus, GB) that its tasks take."""
        counts = collections.Counter(
            ember.rpartition("/")[0] for (ember, _), task in self.tasks.items() if task.takes_room
        )
        rows = [(self.fleet.specs[job], count) for job, count in counts.items()]
        return (
            sum(spec["cpus"] * count for spec, count in rows),
            sum(spec["ram_gb"] * count for spec, count in rows),
        )

    # --- reports

    def report(self) -> dict[str, Any]:
        """The next report, or body of a response."""
        self.tally += 1
        embers = []
        for (ember, strike), task in self.tasks.items():
            row: dict[str, Any] = {"ember": ember, "strike": strike, "glow": task.glow}
            if task.cause:
                row["ashcause"] = task.cause
            if task.stored:
                row["stored"] = True
            embers.append(row)
        return {
            "hearth": self.name,
            "addr": self.address,
            "hearth_kind": self.fleet.kind["label"],
            "glade": self.zone,
            "driftwood": self.spot,
            "kindling_span": self.span,
            "tally": self.tally,
            "torch": self.torch,
            "reclaim_s": None,
            "embers": embers,
        }

    async def _report_loop(self) -> None:
        while True:
            self.changed.clear()
            sent_at, span = time.monotonic(), self.span
            name = self.fleet.nodes[self.node]
            client = self.clients.get(name)
            if client is None:
                client = self.clients[name] = http1.Client(
                    self.fleet.fronts[name], lambda size: self._too_long("an answer", size)
                )
            report = self.report()
            size = len(http1.encode(report))
            if size > http1.MAX_BYTES:
                # PROTOCOL: a request body may hold at most 64 KiB, and a report names all tasks.
                self.fleet.note(f"{self.name}: cannot report {len(self.tasks)} tasks, {size} bytes")
                await asyncio.sleep(NEXT_NODE_S)
                continue
            status, body = await client.call("POST", "/agent/beat", report, ANSWER_TIMEOUT_S)
            pause_s = self.fleet.report_s * random.uniform(0.75, 1.25)
            if status == 200:
                self._accept(body, sent_at, span)
            else:
                client.close()
                pause_s = self._next_node(name, status, body)
                await asyncio.sleep(pause_s)
                continue
            try:
                await asyncio.wait_for(self.changed.wait(), pause_s)
            except TimeoutError:
                continue
            left = sent_at + MIN_CHANGE_GAP_S - time.monotonic()
            await asyncio.sleep(max(0.0, left))

    def _too_long(self, what: str, size: int) -> None:
        self.fleet.broken("too_long", f"{self.name} gets {what} of {size} bytes in one line")

    def _next_node(self, name: str, status: int, body: Any) -> float:
        """Chooses the node for the next report; returns the seconds until then."""
        target = body.get("firekeeper") if status == 421 and isinstance(body, dict) else None
        if target in self.fleet.nodes and target != name:
            self.node = self.fleet.nodes.index(target)
            return REDIRECT_S
        self.node = (self.node + 1) % len(self.fleet.nodes)
        return NEXT_NODE_S

    def _accept(self, body: Any, sent_at: float, span: int) -> None:
        torch = body.get("torch") if isinstance(body, dict) else None
        if torch is None or torch < self.torch or span != self.span:
            return
        self.torch = torch
        self.session_at = max(self.session_at, sent_at)
        for command in body.get("bellows") or ():
            self._execute(command)

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if time.monotonic() - self.session_at > self.fleet.lease_s:
                self.fleet.note(f"{self.name}: lease over, session {self.span + 1} begins")
                self._kill_all("its lease is over")
                self.span += 1
                self.session_at = time.monotonic()
                self.changed.set()

    # --- commands

    async def _handle(self, method: str, path: str, body: Any) -> tuple[int, Any] | None:
        if self.gone:
            return None  # also on a connection that was open before
        if path == "/status":
            return 200, self.report()
        if path != "/commands" or not isinstance(body, dict):
            return 404, {}
        if body.get("torch") is None or body.get("kindling_span") is None:
            return 400, {}
        if body["torch"] < self.torch or body["kindling_span"] != self.span:
            return 409, self.report()
        self.torch = body["torch"]
        for command in body.get("bellows") or ():
            self._execute(command)
        return 200, self.report()

    def _execute(self, command: dict[str, Any]) -> None:
        key = command["ember"], command["strike"]
        task = self.tasks.get(key)
        if command["blast"] == "start":
            if task is None:
                self._start(*key)
        elif task is None:
            return
        elif command["blast"] == "clear":
            if task.glow == "exited":
                del self.tasks[key]
                self.changed.set()
        elif task.glow != "exited":
            self._halt(key, task, command.get("smother_s", 0))

    def _start(self, ember: str, strike: int) -> None:
        job, _, number = ember.rpartition("/")
        spec = self.fleet.specs.get(job)
        task = self.tasks[(ember, strike)] = Task(strike, "fetching")
        self.changed.set()
        if spec is None or not 0 <= int(number) < spec["embers"]:
            self._exit((ember, strike), task, "no_such")
            return
        others = [row for key, row in self.tasks.items() if key[0] == ember and row is not task]
        if any(row.takes_room for row in others):
            self._exit((ember, strike), task, "busy")
            return
        cpus, ram_gb = self.usage()
        if cpus > self.fleet.kind["cpus"] + 1e-9 or ram_gb > self.fleet.kind["ram_gb"] + 1e-9:
            self._exit((ember, strike), task, "full")
            return
        fetch_s = 0.0
        if spec["kindling"] not in self.images:
            fetch_s = spec["image_gb"] / self.fleet.kind["fetch_gb_per_s"]
        self._after(fetch_s, (ember, strike), task, self._run)

    def _after(
        self, delay_s: float, key: tuple[str, int], task: Task, step: Callable[..., None]
    ) -> None:
        def fire() -> None:
            if self.tasks.get(key) is task:
                step(key, task)

        task.timer = asyncio.get_running_loop().call_later(delay_s, fire)

    def _run(self, key: tuple[str, int], task: Task) -> None:
        spec = self.fleet.specs[key[0].rpartition("/")[0]]
        self.images.add(spec["kindling"])
        self.changed.set()
        if key[0] in self.fleet.completed:
            self._exit(key, task, "done")
            return
        task.glow = "running"
        self.fleet.began(key[0], key[1], self)
        if spec["shape"] != "standing":
            self._after(self.fleet.run_s(key[0]), key, task, self._complete)

    def _complete(self, key: tuple[str, int], task: Task) -> None:
        self.fleet.completed.add(key[0])
        self.fleet.left(key[0], self, "done")
        self._exit(key, task, "done")

    def _halt(self, key: tuple[str, int], task: Task, smother_s: float) -> None:
        spec = self.fleet.specs[key[0].rpartition("/")[0]]
        if task.glow == "running" and spec["bank_s"] and smother_s >= spec["banking_s"]:
            task.glow = "saving"
            self.changed.set()
            self._after(spec["banking_s"], key, task, self._saved)
        elif task.glow != "saving" or smother_s == 0:
            self._end_halted(key, task)

    def _saved(self, key: tuple[str, int], task: Task) -> None:
        task.stored = True
        self._end_halted(key, task)

    def _end_halted(self, key: tuple[str, int], task: Task) -> None:
        if task.on_machine:
            self.fleet.left(key[0], self, "halted")
        self._exit(key, task, "halted")

    def _exit(self, key: tuple[str, int], task: Task, cause: str) -> None:
        if task.timer is not None:
            task.timer.cancel()
        task.glow, task.cause = "exited", cause
        self.changed.set()
        if cause not in ("done", "halted"):
            self.fleet.note(f"{self.name}: {key[0]} attempt {key[1]} refused: {cause}")


class Fleet:
    """The cloud, all its machines, and what runs on them.

    Attributes:
        specs: {job id: its submission}, as users upload it.
        places: {ember: the machines that it is on}.
        run_s: The run time of a task, by its name.
    """

    def __init__(
        self,
        kind: dict[str, Any],
        settings: dict[str, float],
        note: Callable[[str], None],
        broken: Callable[[str, str], None],
    ) -> None:
        self.kind, self.note, self.broken = kind, note, broken
        self.report_s, self.lease_s = settings["report_s"], settings["lease_s"]
        self.list_lag_s = settings["list_lag_s"]
        self.nodes: list[str] = []
        self.fronts: dict[str, str] = {}
        self.machines: dict[str, Worker] = {}
        self.room = 0  # machines that may still be rented
        self.boot_s = 2.0
        self.answers: dict[str, list[str]] = {}
        self.specs: dict[str, dict[str, Any]] = {}
        self.completed: set[str] = set()
        self.places: dict[str, set[str]] = {}
        self.starts: dict[str, int] = {}
        self.on_machines: collections.Counter[str] = collections.Counter()  # tasks by job
        self.limits: dict[str, float] = {}  # {team: its limit of CPUs}
        self.run_s: Callable[[str], float] = lambda ember: 10.0
        self.listings: list[tuple[float, list[dict[str, Any]]]] = []

    async def begin(self) -> str:
        """Serves the cloud's interface; returns its address."""
        _, port = await http1.serve(self._handle)
        asyncio.get_running_loop().create_task(self._list_loop())
        return f"{http1.LOOPBACK}:{port}"

    def add(self, zone: str, spot: bool, boot_s: float) -> str:
        """Adds a machine."""
        name = f"vm-{len(self.machines):06d}"
        worker = self.machines[name] = Worker(self, name, zone, spot)
        asyncio.get_running_loop().create_task(worker.boot(boot_s))
        return name

    # --- what runs

    def began(self, ember: str, strike: int, worker: Worker) -> None:
        """A task is on its machine from now on; checks the rules that concern this."""
        places = self.places.setdefault(ember, set())
        self.starts[ember] = self.starts.get(ember, 0) + 1
        spec = self.specs[ember.rpartition("/")[0]]
        used = self.team_cpus(spec["crew"]) + spec["cpus"]
        self.note(
            f"{worker.name}: {ember} attempt {strike} begins; "
            f"{spec['crew']} uses {used:g} CPUs, limit {self.limits.get(spec['crew'], 0):g}"
        )
        if places:
            self.broken("ran_twice", f"{ember} begins on {worker.name} while on {sorted(places)}")
        places.add(worker.name)
        self.on_machines[spec["id"]] += 1
        limit = self.limits.get(spec["crew"], 0)
        if limit and used > limit + 1e-6:
            self.broken("quota", f"{spec['crew']} uses {used:g} CPUs, its limit is {limit:g}")

    def left(self, ember: str, worker: Worker, why: str) -> None:
        """A task is no longer on its machine."""
        if worker.name in self.places.get(ember, ()):
            self.places[ember].discard(worker.name)
            self.on_machines[ember.rpartition("/")[0]] -= 1
        self.note(f"{worker.name}: {ember} leaves: {why}")

    def team_cpus(self, team: str) -> float:
        """The CPUs of a team's tasks that are on machines."""
        rows = [(self.specs[job], count) for job, count in self.on_machines.items() if count]
        return sum(spec["cpus"] * count for spec, count in rows if spec["crew"] == team)

    # --- the cloud's interface

    async def _list_loop(self) -> None:
        while True:
            now = time.monotonic()
            rows = [
                {
                    "id": worker.name,
                    "addr": worker.address,
                    "hearth_kind": self.kind["label"],
                    "glade": worker.zone,
                    "driftwood": worker.spot,
                    "glow": "running" if worker.up else "starting",
                    "age_s": round(now - worker.rented_at, 1),
                }
                for worker in self.machines.values()
                if not worker.gone
            ]
            self.listings = [*self.listings[-60:], (now, rows)]
            await asyncio.sleep(0.5)

    async def _handle(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        await asyncio.sleep(0.1)
        path, _, query = path.partition("?")
        if path == "/catalog":
            return 200, {"hearth_kinds": [self.kind]}
        if path == "/hosts" and method == "GET":
            return 200, self._page(dict(urllib.parse.parse_qsl(query)))
        if path == "/hosts":
            return self._rent(body)
        if path == "/hosts/return":
            for name in body["hearths"]:
                if name in self.machines and not self.machines[name].gone:
                    self.note(f"{name}: returned to the cloud")
                    self.machines[name].end()
                    self.room += 1
            return 200, {}
        return 404, {}

    def _page(self, options: dict[str, str]) -> dict[str, Any]:
        shown = time.monotonic() - self.list_lag_s
        rows = next((rows for at, rows in reversed(self.listings) if at <= shown), [])
        after, limit = options.get("since", ""), int(options.get("limit", 500))
        following = [row for row in rows if row["id"] > after]
        return {"hearths": following[:limit], "has_next": len(following) > limit}

    def _rent(self, body: dict[str, Any]) -> tuple[int, Any]:
        name = body["woodcall"]
        if name not in self.answers:
            count = min(body["number"], self.room, 50)
            if count <= 0:
                return 503, {"error": "no capacity"}
            self.room -= count
            self.answers[name] = [
                self.add(body["glade"], body["driftwood"], self.boot_s) for _ in range(count)
            ]
        return 200, {"hearths": self.answers[name]}
