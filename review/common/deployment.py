"""A small deployment: real controllers as the deploy file starts them, stand-ins for the rest."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from . import http1
from .machines import Fleet
from .state import StateService

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
PROBE_S = 1.0
POLL_S = 5.0
POLL_TIMEOUT_S = 2.0
SUBMIT_TIMEOUT_S = 5.0
REMOVED_S = 3.0
FINAL = ("done", "withdrawn")


class CannotRunError(Exception):
    """The case could not be played; says nothing about the rule."""


def free_ports(count: int) -> list[int]:
    """Ports that are free now and that the system does not hand out by itself."""
    found: list[int] = []
    for port in random.sample(range(20000, 30000), 2000):
        try:
            with socket.create_server((http1.LOOPBACK, port)):
                found.append(port)
        except OSError:
            continue
        if len(found) == count:
            return found
    raise CannotRunError("no free ports")


def toml(value: Any) -> str:
    """A value in TOML; JSON's notation serves for strings, numbers and lists."""
    return json.dumps(value)


class Record:
    """What was sent, answered and run, in `record.txt`; and the broken rules."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.violations: list[tuple[str, str]] = []

    def note(self, text: str) -> None:
        """Adds a line with the time."""
        self.file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.file.flush()

    def broken(self, rule: str, text: str) -> None:
        """Adds a broken rule."""
        self.violations.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")


class Deployment:
    """Controllers, state service, cloud, workers, load balancer and users.

    Attributes:
        trouble: Whether the disruption takes place (`TROUBLE=0` leaves it out).
        states: {job id: the last state that its user was told}.
    """

    def __init__(self, folder: Path, site: dict[str, Any]) -> None:
        self.site = site
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.note = self.record.note
        self.names: list[str] = [row["name"] for row in site["nodes"]]
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.healthy: dict[str, bool] = {}
        self.fronts: dict[str, str] = {}
        self.internals: dict[str, str] = {}
        self.states: dict[str, str] = {}
        self.background: list[asyncio.Task] = []
        state = site["state"]
        self.state = StateService(
            state["rps"], state["write_rps"], state["value_kb"], state["txn_ops"], self.note
        )
        timing = {**site["workers"], "list_lag_s": site["cloud"]["list_lag_s"]}
        self.fleet = Fleet(site["kind"], timing, self.note, self.record.broken)
        self.fleet.limits = {team["name"]: team["cpus_max"] for team in site["teams"]}
        self.directory = tempfile.TemporaryDirectory(prefix="review-")

    # --- start and end

    async def begin(self) -> None:
        """Starts the stand-ins, the controllers and the load balancer's probes."""
        ports = free_ports(2 * len(self.names))
        for name in self.names:
            self.fronts[name] = f"{http1.LOOPBACK}:{ports.pop()}"
            self.internals[name] = f"{http1.LOOPBACK}:{ports.pop()}"
        self.state_addresses = await self.state.begin(self.names)
        self.cloud_address = await self.fleet.begin()
        self.fleet.nodes, self.fleet.fronts = self.names, self.fronts
        for name in self.names:
            await self.start(name)
        self.background.append(asyncio.get_running_loop().create_task(self._probe_loop()))

    async def start(self, name: str) -> None:
        """Starts a controller with the command of the deploy file."""
        path = Path(self.directory.name) / f"{name}.toml"
        path.write_text(self.settings_of(name), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        log_path = Path(self.directory.name) / f"{name}.log"
        with log_path.open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *shlex.split(run),
                str(path),
                cwd=ROOT,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": "info"},
            )
        self.note(f"{name}: process started")

    def settings_of(self, name: str) -> str:
        """A controller's settings file."""
        site = self.site
        node = next(row for row in site["nodes"] if row["name"] == name)
        lines = [
            f"node_name = {toml(name)}",
            f"location = {toml(node['zone'])}",
            f"front = {toml(self.fronts[name])}",
            f"internal_addr = {toml(self.internals[name])}",
        ]
        for peer in site["nodes"]:
            if peer["name"] != name:
                lines += [
                    "[[peers]]",
                    f"node_name = {toml(peer['name'])}",
                    f"location = {toml(peer['zone'])}",
                    f"endpoint = {toml(self.internals[peer['name']])}",
                ]
        lines += [
            "[endpoints]",
            f"cloud = {toml(self.cloud_address)}",
            f"state = {toml(self.state_addresses[name])}",
            "[settings]",
            f"size = {len(self.names)}",
            f"zones = {toml(site['zones'])}",
            "skew_ms = 5.0",
        ]
        for team in site["teams"]:
            lines.append("[[settings.teams]]")
            lines += [f"{key} = {toml(value)}" for key, value in team.items()]
        for part in ("workers", "state", "cloud", "quota"):
            lines.append(f"[settings.{part}]")
            lines += [f"{key} = {toml(value)}" for key, value in site[part].items()]
        return "\n".join(lines) + "\n"

    def kill(self, name: str) -> None:
        """Kills a controller's process."""
        self.note(f"{name}: killed")
        self.processes[name].send_signal(signal.SIGKILL)

    async def end(self) -> None:
        """Ends everything that was started."""
        for task in self.background:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(self.directory.name).glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.directory.cleanup()

    # --- the load balancer

    async def _probe_loop(self) -> None:
        failures = dict.fromkeys(self.names, 0)
        good = dict.fromkeys(self.names, 0)
        removed_at = dict.fromkeys(self.names, -1e9)

        async def probe(name: str) -> None:
            status, _ = await http1.call_once(self.fronts[name], "GET", "/ready", None, 1.0)
            if status == 200:
                failures[name], good[name] = 0, good[name] + 1
                waited = time.monotonic() - removed_at[name] > REMOVED_S and good[name] >= 2
                if not self.healthy.get(name) and (name not in self.healthy or waited):
                    self.healthy[name] = True
                    self.note(f"load balancer: {name} is healthy")
                return
            failures[name], good[name] = failures[name] + 1, 0
            if failures[name] >= 2 and self.healthy.get(name):
                self.healthy[name] = False
                removed_at[name] = time.monotonic()
                self.note(f"load balancer: {name} is not healthy")

        while True:
            await asyncio.gather(*(probe(name) for name in self.names))
            await asyncio.sleep(PROBE_S)

    def pick(self) -> str:
        """A healthy node for a new connection."""
        names = [name for name in self.names if self.healthy.get(name)]
        return random.choice(names or self.names)

    async def until_ready(self, machines: int, timeout_s: float = 20.0) -> None:
        """Waits until all nodes are healthy, have the catalog and this many machines are up."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            up = sum(worker.up for worker in self.fleet.machines.values())
            if all(self.healthy.get(name) for name in self.names) and up >= machines:
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the controllers or machines did not come up")

    # --- users

    async def ask(self, method: str, path: str, body: Any, timeout_s: float) -> tuple[int, Any]:
        """A user's request through the load balancer, on a connection of its own."""
        node = self.pick()
        status, answer = await http1.call_once(self.fronts[node], method, path, body, timeout_s)
        self.note(f"user: {method} {path} at {node}: {status} {json.dumps(answer)}")
        return status, answer

    async def submit(self, spec: dict[str, Any]) -> int:
        """Submits a job as a user does, with repeats; returns the last status."""
        self.fleet.specs[spec["id"]] = spec
        end = time.monotonic() + 60
        while True:
            status, answer = await self.ask("POST", "/submissions", spec, SUBMIT_TIMEOUT_S)
            if status in (200, 201):
                self._told(spec["id"], answer["glow"])
                self.background.append(
                    asyncio.get_running_loop().create_task(self._poll_loop(spec["id"]))
                )
                return status
            if status in (400, 422) or time.monotonic() > end:
                return status
            await asyncio.sleep(1.0 + random.random())

    async def cancel(self, job: str) -> str | None:
        """Cancels a job as a user does, with repeats; returns what the user was told."""
        end = time.monotonic() + 60
        while time.monotonic() < end:
            status, answer = await self.ask(
                "POST", f"/submissions/{job}/abort", None, SUBMIT_TIMEOUT_S
            )
            if status == 200:
                self._told(job, answer["glow"])
                return answer["glow"]
            await asyncio.sleep(1.0 + random.random())
        return None

    async def _poll_loop(self, job: str) -> None:
        while self.states.get(job) not in FINAL:
            await asyncio.sleep(POLL_S * random.uniform(0.8, 1.2))
            status, answer = await self.ask("GET", f"/submissions/{job}", None, POLL_TIMEOUT_S)
            if status == 200:
                self._told(job, answer["glow"])
            elif status == 404:
                self.record.broken("forgotten", f"{job} was accepted, and gets 404")

    def _told(self, job: str, glow: str) -> None:
        before = self.states.get(job)
        if before in FINAL and glow != before:
            self.record.broken("went_back", f"{job} was called {before}, now {glow}")
        self.states[job] = glow

    # --- waiting

    async def wait_for(self, what: Callable[[], bool], text: str, timeout_s: float) -> None:
        """Waits for a condition; the case can't run without it."""
        end = time.monotonic() + timeout_s
        while not what():
            if time.monotonic() > end:
                raise CannotRunError(f"{text}: not within {timeout_s:g} s")
            await asyncio.sleep(0.02)
        self.note(f"now: {text}")


def play(folder: Path, site: dict[str, Any], case: Callable[[Deployment], Awaitable[None]]) -> int:
    """Plays a case; returns the exit code of its script."""

    async def run() -> None:
        deployment = Deployment(folder, site)
        note = deployment.note
        note(f"trouble: {'yes' if deployment.trouble else 'no'}")
        try:
            await deployment.begin()
            await case(deployment)
        except CannotRunError as error:
            note(f"the case could not run: {error}")
            print(f"could not run: {error}", file=sys.stderr)
            code = NOT_RUN
        else:
            for rule, text in deployment.record.violations[:10]:
                print(f"broken: {rule}: {text}")
            code = BROKEN if deployment.record.violations else HELD
        finally:
            await deployment.end()
        note(f"end, exit code {code}")
        sys.stdout.flush()
        # The stand-ins' tasks run on; nothing of them outlives this process.
        os._exit(code)

    try:
        asyncio.run(run())
    except Exception as error:  # any fault of the script itself is no verdict
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
    return NOT_RUN
