"""Controllers as separate processes, users, and the frame of a case."""

import json
import os
import shlex
import shutil
import signal
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from machines import Cloud, Ledger
from servers import LOOPBACK, Forwarder, Record, free_port, request
from state import StateService

ROOT = Path(__file__).resolve().parents[2]
MAX_RUN_S = 118.0
BROKEN, HELD, NOT_RUN = 1, 0, 2
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S = 5.0, 2.0
RETRY_S, RETRY_LIMIT_S = 1.0, 60.0
# Fields of a job that its user does not send: for the workers, and for the record.
WORKER_FIELDS = ("run_s", "faulty_from", "filler")


class CannotRunError(Exception):
    """The case can't run: its preparations failed."""


def toml_value(value: Any) -> str:
    """A number, text or list as TOML."""
    return json.dumps(value)


class Controller:
    """One controller's process."""

    def __init__(self, name: str, file: Path, log: Path, record: Record) -> None:
        """Creates it with its settings file; it is not started."""
        self.name, self.file, self.log, self.record = name, file, log, record
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        with open(ROOT / "deploy/service.toml", "rb") as source:
            command = shlex.split(tomllib.load(source)["run"])
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [*command, str(self.file)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": "info"},
            )
        self.record.note(f"{self.name}: started, process {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Sends the process a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.record.note(f"{self.name}: {number.name}")

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """The stand-ins and controllers of one case.

    Attributes:
        links: {(controller, other end): Forwarder}; the other end is a controller or "state".
        fronts: The addresses of the controllers for users, by name, in round-robin order.
    """

    def __init__(
        self,
        record: Record,
        controllers: dict[str, str],
        settings: dict[str, Any],
        kind: dict[str, Any],
        capacity: dict[str, int],
        boot_s: float,
        with_links: bool = False,
    ) -> None:
        """Starts the stand-ins.

        Args:
            record: The case's record.
            controllers: {name: zone}.
            settings: The table `settings` of the controllers' files.
            kind: The only machine type, a row of the catalog.
            capacity: {zone: machines that can be rented there}.
            boot_s: How long a rented machine takes to come up.
            with_links: Whether controllers reach each other and the state service by forwarders.
        """
        self.record, self.settings = record, settings
        self.ledger = Ledger(record)
        self.fronts = {name: f"{LOOPBACK}:{free_port()}" for name in controllers}
        internals = {name: f"{LOOPBACK}:{free_port()}" for name in controllers}
        self.state = StateService(settings["state"], list(controllers), record)
        self.cloud = Cloud(settings, kind, self.fronts, self.ledger, capacity, boot_s)
        self.links: dict[tuple[str, str], Forwarder] = {}
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.controllers: dict[str, Controller] = {}
        self._turn = 0
        for name, zone in controllers.items():
            peers = {peer: internals[peer] for peer in controllers if peer != name}
            state = self.state.address(name)
            if with_links:
                peers = {peer: self._link(name, peer, address) for peer, address in peers.items()}
                state = self._link(name, "state", state)
            lines = [
                f"node_name = {toml_value(name)}",
                f"location = {toml_value(zone)}",
                f"front = {toml_value(self.fronts[name])}",
                f"internal_addr = {toml_value(internals[name])}",
            ]
            for peer, address in peers.items():
                lines += [
                    "[[peers]]",
                    f"node_name = {toml_value(peer)}",
                    f"location = {toml_value(controllers[peer])}",
                    f"endpoint = {toml_value(address)}",
                ]
            lines += [
                "[endpoints]",
                f"cloud = {toml_value(self.cloud.address(name))}",
                f"state = {toml_value(state)}",
                *self._settings_lines(len(controllers)),
            ]
            file = self.folder / f"{name}.toml"
            file.write_text("\n".join(lines) + "\n")
            log = self.folder / f"{name}.log"
            self.controllers[name] = Controller(name, file, log, record)

    def _link(self, name: str, other: str, address: str) -> str:
        self.links[name, other] = Forwarder(address)
        return self.links[name, other].address

    def _settings_lines(self, size: int) -> list[str]:
        lines = ["[settings]", f"size = {size}"]
        tables: list[str] = []
        for name, value in self.settings.items():
            if isinstance(value, dict):
                tables.append(f"[settings.{name}]")
                tables += [f"{key} = {toml_value(row)}" for key, row in value.items()]
            elif isinstance(value, list) and value and isinstance(value[0], dict):
                for row in value:
                    tables.append(f"[[settings.{name}]]")
                    tables += [f"{key} = {toml_value(field)}" for key, field in row.items()]
            else:
                lines.append(f"{name} = {toml_value(value)}")
        return lines + tables

    def start(self) -> None:
        """Starts all controllers and waits until they are ready."""
        for controller in self.controllers.values():
            controller.start()
        for name, address in self.fronts.items():
            wait_for(
                lambda at=address: request(at, "GET", "/ready", timeout=1.0)[0] == 200,
                20.0,
                f"{name} is ready",
            )
        self.record.note("all controllers are ready")

    def cut(self, name: str, *others: str) -> None:
        """Holds all packets between a controller and others, in both directions."""
        self.record.note(f"cut: {name} from {' '.join(others)}")
        for (near, far), link in self.links.items():
            if (near == name and far in others) or (far == name and near in others):
                link.cut()

    def stop(self) -> None:
        """Ends all processes that this case started."""
        for controller in self.controllers.values():
            controller.signal(signal.SIGCONT)
            controller.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def log_lines(self, name: str, word: str, most: int = 20) -> list[str]:
        """The last lines of a controller's log that contain a word."""
        file = self.folder / f"{name}.log"
        text = file.read_text(errors="replace") if file.exists() else ""
        return [line for line in text.splitlines() if word in line][-most:]

    # --- users

    def front(self) -> str:
        """The address for the next request: each controller in turn."""
        self._turn += 1
        return list(self.fronts.values())[self._turn % len(self.fronts)]

    def submit(self, job: dict[str, Any], front: str | None = None) -> None:
        """Submits a job, and repeats that as users do until it is accepted."""
        self.ledger.jobs[job["id"]] = job
        body = {key: value for key, value in job.items() if key not in WORKER_FIELDS}
        until = time.monotonic() + RETRY_LIMIT_S
        while time.monotonic() < until:
            status, answer = request(
                front or self.front(), "POST", "/submissions", body, SUBMIT_TIMEOUT_S
            )
            if not job.get("filler"):
                self.record.note(f"user: submits {job['id']}: {status} {answer}")
            if status in (200, 201):
                return
            if status in (400, 422):
                raise CannotRunError(f"{job['id']} was refused: {status} {answer}")
            time.sleep(RETRY_S)
        raise CannotRunError(f"{job['id']} was not accepted in {RETRY_LIMIT_S} s")

    def poll(self, job_id: str, front: str | None = None) -> tuple[int, Any]:
        """Asks for a job once."""
        return request(
            front or self.front(), "GET", f"/submissions/{job_id}", timeout=POLL_TIMEOUT_S
        )

    def abort(self, job_id: str, front: str | None = None) -> str:
        """Cancels a job, and repeats that until it is answered; returns the state told."""
        until = time.monotonic() + RETRY_LIMIT_S
        while time.monotonic() < until:
            status, answer = request(
                front or self.front(), "POST", f"/submissions/{job_id}/abort", {}, SUBMIT_TIMEOUT_S
            )
            self.record.note(f"user: cancels {job_id}: {status} {answer}")
            if status == 200:
                return answer["glow"]
            time.sleep(RETRY_S)
        raise CannotRunError(f"the cancellation of {job_id} was not answered")


def wait_for(holds: Callable[[], Any], seconds: float, what: str, step_s: float = 0.02) -> Any:
    """Waits until something holds, and returns it.

    Raises:
        CannotRunError: It does not hold within this time.
    """
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        found = holds()
        if found:
            return found
        time.sleep(step_s)
    raise CannotRunError(f"not within {seconds} s: {what}")


def job(job_id: str, **fields: Any) -> dict[str, Any]:
    """A submission with all fields of the protocol page; `run_s` is for the workers alone."""
    return {
        "id": job_id,
        "breed": "batch",
        "crew": "",
        "shape": "sweep",
        "rank": "normal",
        "embers": 1,
        "cpus": 1.0,
        "cards": 0.0,
        "ram_gb": 1.0,
        "kindling": "img-01",
        "image_gb": 0.1,
        "hearth_kinds": None,
        "glade": None,
        "one_zone": False,
        "scatter": False,
        "driftwood": False,
        "burn_s": 0.0,
        "bank_s": 0.0,
        "banking_s": 0.0,
        "due_s": None,
        **fields,
    }


def run_case(folder: Path, play: Callable[[Record, bool, list[Deployment]], list[str]]) -> None:
    """Plays a case and exits: 1 if a rule was broken, 0 if it held, 2 if the case couldn't run.

    `play(record, trouble, deployments)` plays it and returns the breaches; each deployment that it
    makes is added to the list `deployments`, to be stopped.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"begins, {'with' if trouble else 'without'} the disruption")
    deployments: list[Deployment] = []
    result: list[int] = []

    def run() -> None:
        try:
            breaches = play(record, trouble, deployments)
            result.append(BROKEN if breaches else HELD)
        except CannotRunError as error:
            record.note(f"can't run: {error}")
            result.append(NOT_RUN)
        except Exception as error:  # noqa: BLE001
            record.note(f"can't run: {type(error).__name__}: {error}")
            result.append(NOT_RUN)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(MAX_RUN_S)
    code = result[0] if result else NOT_RUN
    verdict = {BROKEN: "the rule was BROKEN", HELD: "the rule held"}
    for deployment in deployments:
        if code == NOT_RUN:
            for name in deployment.controllers:
                for line in deployment.log_lines(name, "", 3):
                    record.note(f"log of {name}: {line}")
        for breach in deployment.ledger.breaches:
            print(breach, flush=True)
        deployment.stop()
    record.note(f"exit {code}: {verdict.get(code, 'the case could not run')}")
    print(f"exit {code}: {verdict.get(code, 'the case could not run')}", flush=True)
    record.close()
    os._exit(code)
