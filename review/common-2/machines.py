"""A cloud and the workers on its machines, as the protocol page says."""

import random
import threading
import time
import urllib.parse
from dataclasses import dataclass
from typing import Any

from servers import NO_ANSWER, Connection, HttpServer, Record
from state import TokenBucket

REPORT_TIMEOUT_S = 4.0
NEXT_NODE_S = 1.0
CHANGE_GAP_S = 0.5
STEP_S = 0.02
LISTING_S = 0.5
LISTED_DEAD_S = 30.0
CLOUD_BURST_S = 2.0
TOLERANCE = 1e-9

Key = tuple[str, int]  # (task, attempt)


class Ledger:
    """What users submitted, where tasks run, and each breach of a rule that workers can show.

    Attributes:
        jobs: {job id: the submission's body, with fields for the workers alone: `run_s`, the real
            run time of its tasks, and `faulty_from`, from which number on they end in error}.
        places: {task: {machine: zone}} of the tasks that are on machines now.
        done: The tasks that have completed.
        breaches: The breaches so far, as text.
        log: (time, event, task, attempt, machine) of each start and end.
    """

    def __init__(self, record: Record) -> None:
        """Begins empty."""
        self.record = record
        self.lock = threading.RLock()
        self.jobs: dict[str, dict[str, Any]] = {}
        self.places: dict[str, dict[str, str]] = {}
        self.done: set[str] = set()
        self.breaches: list[str] = []
        self.log: list[tuple[float, str, str, int, str]] = []

    def note(self, event: str, task: str, attempt: int, machine: str) -> None:
        """Records an event of a task."""
        with self.lock:
            self.log.append((self.record.now(), event, task, attempt, machine))
            self.record.note(f"{machine}: {event} {task} attempt {attempt}")

    def started(self, task: str, attempt: int, machine: "Worker") -> None:
        """A task has its image, so it is on its machine from now on."""
        with self.lock:
            self.note("starts", task, attempt, machine.name)
            places = self.places.setdefault(task, {})
            if places:
                self.breach(f"ran_twice: {task} starts on {machine.name} while on {list(places)}")
            places[machine.name] = machine.zone

    def left(self, task: str, attempt: int, machine: str, cause: str) -> None:
        """A task is not on its machine any more."""
        with self.lock:
            self.note(f"ended ({cause})", task, attempt, machine)
            self.places.get(task, {}).pop(machine, None)
            if cause == "done":
                self.done.add(task)

    def breach(self, text: str) -> None:
        """Records a breach."""
        with self.lock:
            self.breaches.append(text)
            self.record.note("BREACH " + text)

    def on_machines(self, job_id: str) -> dict[str, list[str]]:
        """{task: machines} of a job's tasks that are on machines now."""
        with self.lock:
            return {
                task: list(places)
                for task, places in self.places.items()
                if places and task.rpartition("/")[0] == job_id
            }


@dataclass
class Attempt:
    """One attempt of a task on a machine; times are of the monotonic clock."""

    task: str
    number: int
    job: dict[str, Any]
    glow: str = "fetching"
    cause: str | None = None
    stored: bool = False
    due: float = float("inf")  # when the present state ends

    def row(self) -> dict[str, Any]:
        """The row in reports."""
        row: dict[str, Any] = {"ember": self.task, "strike": self.number, "glow": self.glow}
        if self.cause is not None:
            row["ashcause"] = self.cause
        if self.stored:
            row["stored"] = True
        return row


class Worker:
    """A machine with its worker.

    A report lists the attempts that have not exited first, then those that have, as the example in
    the protocol page does; a row is an attempt of a task.

    Attributes:
        nodes: The addresses of the controllers by name, in the order in which they are tried.
        node: The controller that gets the reports.
        on_start: Called with (task, attempt) when a start command was executed.
    """

    def __init__(
        self,
        name: str,
        kind: dict[str, Any],
        zone: str,
        spot: bool,
        nodes: dict[str, str],
        node: str,
        settings: dict[str, Any],
        ledger: Ledger,
    ) -> None:
        """Creates a machine that is not up; `settings` is the table `settings.workers`."""
        self.name, self.kind, self.zone, self.spot = name, kind, zone, spot
        self.nodes, self.node, self.settings, self.ledger = nodes, node, settings, ledger
        self.on_start = lambda task, attempt: None
        self.up = self.dead = False
        self.died_at = 0.0
        self.is_cut = False  # its connections fail, in both directions
        self.rented_at = time.monotonic()
        self.attempts: dict[Key, Attempt] = {}
        self.images: set[str] = set()
        self.session, self.tally, self.token = 1, 0, 0
        self._lock = threading.RLock()
        self._changed = threading.Event()
        self._renewed_at = 0.0
        self._server = HttpServer(self._serve)
        self.addr = self._server.address

    def boot(self) -> None:
        """The machine comes up: its worker reports and takes commands."""
        with self._lock:
            if self.dead:
                return
            self.up = True
            self._renewed_at = time.monotonic()
        for run in (self._report_forever, self._step_forever):
            threading.Thread(target=run, daemon=True).start()

    def die(self, cause: str = "the machine stops") -> None:
        """The machine stops with all that is on it."""
        with self._lock:
            self.dead, self.up, self.died_at = True, False, time.monotonic()
            self._kill_all(cause)
        self._server.stop()

    def running_tasks(self) -> list[str]:
        """The tasks that run."""
        with self._lock:
            return [row.task for row in self.attempts.values() if row.glow == "running"]

    def used_cpus(self) -> float:
        """The processors of all tasks that have not exited, those that fetch included."""
        with self._lock:
            live = [row for row in self.attempts.values() if row.glow != "exited"]
            return sum(row.job.get("cpus", 0.0) for row in live)

    def listed_glow(self) -> str:
        """The state in the cloud's list; a machine that died is listed as running at first."""
        if self.dead:
            return "running" if time.monotonic() - self.died_at < LISTED_DEAD_S else "failed"
        return "running" if self.up else "starting"

    def row(self) -> dict[str, Any]:
        """The fields that reports and the cloud's list share."""
        return {
            "addr": self.addr,
            "hearth_kind": self.kind["label"],
            "glade": self.zone,
            "driftwood": self.spot,
        }

    # --- commands

    def _serve(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        with self._lock:
            if not self.up or self.is_cut:
                return NO_ANSWER, None
            if path == "/status":
                return 200, self._report()
            if body.get("torch") is None or body.get("kindling_span") is None:
                return 400, {"error": "torch or kindling_span is missing"}
            if body["torch"] < self.token or body["kindling_span"] != self.session:
                return 409, self._report()
            self._execute(body["torch"], body.get("bellows") or [])
            report = self._report()
            self.ledger.record.note(
                f"{self.name}: direct commands {body['bellows']}, "
                f"answers {[row for row in report['embers'] if self._is_noted(row['ember'])]}"
            )
            return 200, report

    def _is_noted(self, task: str) -> bool:
        """Whether the rows of a task are worth a line of the record."""
        return not self.ledger.jobs[task.rpartition("/")[0]].get("filler")

    def _execute(self, token: int, commands: list[dict[str, Any]]) -> None:
        self.token = max(self.token, token)
        for command in commands:
            key = (command["ember"], command["strike"])
            attempt = self.attempts.get(key)
            if command["blast"] == "start":
                if attempt is None:
                    self._start(*key)
                    self.on_start(*key)
            elif attempt is None:
                continue
            elif command["blast"] == "halt":
                self._halt(attempt, command["smother_s"])
            elif attempt.glow == "exited":
                del self.attempts[key]

    def _start(self, task: str, number: int) -> None:
        job = self.ledger.jobs.get(task.rpartition("/")[0], {})
        attempt = self.attempts[(task, number)] = Attempt(task, number, job)
        live = [row for row in self.attempts.values() if row.glow != "exited"]
        cpus = sum(row.job.get("cpus", 0.0) for row in live)
        ram_gb = sum(row.job.get("ram_gb", 0.0) for row in live)
        if not job:
            self._exit(attempt, "no_such")
        elif any(row.task == task and row is not attempt for row in live):
            self._exit(attempt, "busy")
        elif cpus > self.kind["cpus"] + TOLERANCE or ram_gb > self.kind["ram_gb"] + TOLERANCE:
            self._exit(attempt, "full")
        else:
            cached = job["kindling"] in self.images
            fetch_s = 0.0 if cached else job["image_gb"] / self.kind["fetch_gb_per_s"]
            attempt.due = time.monotonic() + fetch_s
            if cached:
                self._run(attempt)
        self._changed.set()

    def _run(self, attempt: Attempt) -> None:
        attempt.glow = "running"
        self.images.add(attempt.job["kindling"])
        attempt.due = time.monotonic() + attempt.job.get("run_s", float("inf"))
        if attempt.task in self.ledger.done:
            attempt.due = time.monotonic()
        self.ledger.started(attempt.task, attempt.number, self)

    def _halt(self, attempt: Attempt, smother_s: float) -> None:
        job = attempt.job
        if attempt.glow == "exited" or (attempt.glow == "saving" and smother_s > 0):
            return
        saves = job.get("bank_s", 0) > 0 and smother_s >= job["banking_s"]
        if attempt.glow == "running" and saves:
            attempt.glow = "saving"
            attempt.due = time.monotonic() + job["banking_s"]
            self.ledger.note("saves", attempt.task, attempt.number, self.name)
        else:
            self._exit(attempt, "halted")
        self._changed.set()

    def _exit(self, attempt: Attempt, cause: str) -> None:
        if attempt.glow in ("running", "saving"):
            self.ledger.left(attempt.task, attempt.number, self.name, cause)
        attempt.stored = attempt.glow == "saving" and cause == "halted"
        attempt.glow, attempt.cause, attempt.due = "exited", cause, float("inf")
        self._changed.set()

    def _kill_all(self, cause: str) -> None:
        for attempt in self.attempts.values():
            if attempt.glow in ("running", "saving"):
                self.ledger.left(attempt.task, attempt.number, self.name, cause)
        self.attempts = {}

    # --- time

    def _step_forever(self) -> None:
        while not self.dead:
            time.sleep(STEP_S)
            now = time.monotonic()
            with self._lock:
                if now - self._renewed_at > self.settings["lease_s"]:
                    self._kill_all("the lease has run out")
                    self.session += 1
                    self._renewed_at = now
                    self._changed.set()
                for attempt in list(self.attempts.values()):
                    if attempt.due <= now:
                        self._end_state(attempt)

    def _end_state(self, attempt: Attempt) -> None:
        if attempt.glow == "fetching":
            self._run(attempt)
            self._changed.set()
        elif attempt.glow == "saving":
            self._exit(attempt, "halted")
        else:
            faulty = int(attempt.task.rpartition("/")[2]) >= attempt.job.get("faulty_from", 1e9)
            self._exit(attempt, "error" if faulty else "done")

    # --- reports

    def _report(self) -> dict[str, Any]:
        self.tally += 1
        attempts = sorted(self.attempts.values(), key=lambda row: row.glow == "exited")
        return {
            "hearth": self.name,
            **self.row(),
            "kindling_span": self.session,
            "tally": self.tally,
            "torch": self.token,
            "reclaim_s": None,
            "embers": [attempt.row() for attempt in attempts],
        }

    def _report_forever(self) -> None:
        connections = {name: Connection(address) for name, address in self.nodes.items()}
        while not self.dead:
            sent_at = time.monotonic()
            with self._lock:
                self._changed.clear()
                body, session = self._report(), self.session
            status, answer = NO_ANSWER, None
            if not self.is_cut:
                connection = connections[self.node]
                status, answer = connection.request("POST", "/agent/beat", body, REPORT_TIMEOUT_S)
            if self.dead:
                return
            if self.is_cut:
                status = NO_ANSWER
            if status == 200:
                self._renew(sent_at, session, answer)
                self._wait_for_next(sent_at)
            else:
                self._change_node(status, answer)

    def _renew(self, sent_at: float, session: int, answer: dict[str, Any]) -> None:
        with self._lock:
            token = answer.get("torch")
            if token is None or token < self.token or session != self.session:
                return
            self._renewed_at = max(self._renewed_at, sent_at)
            self._execute(token, answer.get("bellows") or [])

    def _wait_for_next(self, sent_at: float) -> None:
        until = sent_at + self.settings["report_s"] * random.uniform(0.75, 1.25)
        self._changed.wait(max(0.0, until - time.monotonic()))
        time.sleep(max(0.0, min(until, sent_at + CHANGE_GAP_S) - time.monotonic()))

    def _change_node(self, status: int, answer: Any) -> None:
        names = list(self.nodes)
        target = answer.get("firekeeper") if status == 421 and isinstance(answer, dict) else None
        if target in names and target != self.node:
            self.node = target
            time.sleep(0.1)
        else:
            self.node = names[(names.index(self.node) + 1) % len(names)]
            time.sleep(NEXT_NODE_S)


class Cloud:
    """The cloud, with a port for each controller.

    Attributes:
        machines: All machines by name.
        capacity: {zone: machines that can still be rented there}; spot machines have none.
        boot_s: How long a rented machine takes to come up.
        calls: (time, controller, path, body) of each request but lists and the catalog.
        listed_by: The controllers that have asked for the list, the last one last.
        returned_busy: (time, controller, machine, its running tasks) of each return of a machine on
            which tasks ran.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        kind: dict[str, Any],
        nodes: dict[str, str],
        ledger: Ledger,
        capacity: dict[str, int],
        boot_s: float,
    ) -> None:
        """Starts a port for each controller; `settings` is the table `settings`."""
        self.settings, self.kind, self.nodes, self.ledger = settings, kind, nodes, ledger
        self.capacity, self.boot_s = capacity, boot_s
        self.machines: dict[str, Worker] = {}
        self.calls: list[tuple[float, str, str, Any]] = []
        self.listed_by: list[str] = []
        self.returned_busy: list[tuple[float, str, str, list[str]]] = []
        self._count = 0
        self._answered: dict[str, list[str]] = {}
        self._listings: list[tuple[float, list[dict[str, Any]]]] = []
        self._lock = threading.RLock()
        self._bucket = TokenBucket(settings["cloud"]["rps"], CLOUD_BURST_S)
        self.servers = {name: HttpServer(self._handler(name)) for name in nodes}
        threading.Thread(target=self._list_forever, daemon=True).start()

    def address(self, controller: str) -> str:
        """The address for one controller."""
        return self.servers[controller].address

    def add(self, zone: str, node: str | None = None) -> Worker:
        """Adds an ordinary machine, which is not up; it reports to `node` first."""
        with self._lock:
            self._count += 1
            worker = Worker(
                f"vm-{self._count:06d}",
                self.kind,
                zone,
                False,
                self.nodes,
                node or random.choice(list(self.nodes)),
                self.settings["workers"],
                self.ledger,
            )
            self.machines[worker.name] = worker
            return worker

    def _handler(self, controller: str) -> Any:
        return lambda method, path, body: self._handle(controller, method, path, body)

    def _handle(self, controller: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        path, _, query = path.partition("?")
        with self._lock:
            if not self._bucket.take(1):
                return 429, {"error": "too many requests"}
            if path == "/catalog":
                return 200, {"hearth_kinds": [self.kind]}
            if path == "/hosts" and method == "GET":
                self.listed_by = [name for name in self.listed_by if name != controller]
                self.listed_by.append(controller)
                return 200, self._list(dict(urllib.parse.parse_qsl(query)))
            self.calls.append((self.ledger.record.now(), controller, path, body))
            answer = self._rent(body) if path == "/hosts" else self._return(controller, body)
            self.ledger.record.note(f"cloud: {controller} {path} {body}: {answer}")
            return answer

    def _list(self, options: dict[str, str]) -> dict[str, Any]:
        lag_s = self.settings["cloud"]["list_lag_s"] * random.uniform(1.0, 2.0)
        shown = time.monotonic() - lag_s
        rows = next((rows for at, rows in reversed(self._listings) if at <= shown), [])
        rows = [row for row in rows if row["id"] > options.get("since", "")]
        limit = int(options.get("limit", 500))
        return {"hearths": rows[:limit], "has_next": len(rows) > limit}

    def _list_forever(self) -> None:
        while True:
            now = time.monotonic()
            with self._lock:
                rows = [
                    {
                        "id": name,
                        **worker.row(),
                        "glow": worker.listed_glow(),
                        "age_s": round(now - worker.rented_at, 3),
                    }
                    for name, worker in sorted(self.machines.items())
                ]
                self._listings.append((now, rows))
                del self._listings[:-200]
            time.sleep(LISTING_S)

    def _rent(self, body: dict[str, Any]) -> tuple[int, Any]:
        if body["woodcall"] in self._answered:
            return 200, {"hearths": self._answered[body["woodcall"]]}
        zone = body["glade"]
        number = 0 if body["driftwood"] else min(body["number"], self.capacity.get(zone, 0))
        if number <= 0:
            return 503, {"error": "no capacity"}
        self.capacity[zone] -= number
        workers = [self.add(zone) for _ in range(number)]
        for worker in workers:
            threading.Timer(self.boot_s, worker.boot).start()
        names = self._answered[body["woodcall"]] = [worker.name for worker in workers]
        return 200, {"hearths": names}

    def _return(self, controller: str, body: dict[str, Any]) -> tuple[int, Any]:
        for name in body["hearths"]:
            worker = self.machines.pop(name, None)
            if worker is not None:
                tasks = worker.running_tasks()
                if tasks:
                    at = self.ledger.record.now()
                    self.returned_busy.append((at, controller, name, tasks))
                self.capacity[worker.zone] = self.capacity.get(worker.zone, 0) + 1
                worker.die("the machine was returned")
        return 200, {}
