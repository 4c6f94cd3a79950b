"""A deployment in real time, whose controllers are separate processes on loopback.

The stand-ins are those of the simulated deployments, but use the real clock and communicate with
the controllers over HTTP. Links between controllers, and to the state service, go through
forwarders that stall all traffic while the link is partitioned.
"""

import os
import signal
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from . import cloud, state_service
from .cluster import Cluster
from .deployment import Deployment
from .forwarder import Forwarder
from .real_time_world import LOOPBACK, RealTimeWorld
from .reserved_ports import ReservedPorts

ROOT = Path(__file__).resolve().parents[2]
KIBIBYTE = 1024
EXIT_CHECK_S = 0.5
MAX_LOG_CHARACTERS = 300  # of an ended controller's log, in the violation
PEER = """[[peers]]
node_name = "{peer.name}"
location = "{peer.zone}"
endpoint = "{endpoint}"
"""
TEAM = """[[settings.teams]]
name = "{team.name}"
cpus_max = {team.cpu_quota}
"""
PLATFORM = """node_name = "{settings.node}"
location = "{settings.zone}"
front = "127.0.0.1:{ports.front}"
internal_addr = "127.0.0.1:{ports.internal}"
{peers}[endpoints]
cloud = "{cloud}"
state = "{state}"
[settings]
size = {settings.cluster_size}
zones = {zones}
workers = {{ report_s = {settings.agent_heartbeat_s}, lease_s = {settings.lease_s}, \
cancel_s = {settings.cancel_s} }}
state = {{ rps = {settings.state_rps}, write_rps = {settings.state_write_rps}, \
value_kb = {value_kb}, txn_ops = {settings.txn_ops} }}
cloud = {{ rps = {settings.cloud_rps}, list_lag_s = {settings.list_lag_s} }}
quota = {{ cpu = {settings.cpu}, mem_mb = {settings.mem_mb}, fd_limit = {settings.fd_limit} }}
{teams}"""


class Ports(NamedTuple):
    """A controller's ports: `front` for users and workers, `internal` for peers."""

    front: int
    internal: int


class RealProcess:
    """A controller's process, with the attributes of `SimulatedProcess` that the checks read."""

    def __init__(self, popen: subprocess.Popen) -> None:
        self.popen = popen
        self.paused_until = -1.0
        self.alive = True

    def end(self) -> None:
        """Kills the process."""
        self.alive = False
        self.popen.kill()
        self.popen.wait()

    def resume(self) -> None:
        """Resumes a paused process."""
        if self.alive:
            self.popen.send_signal(signal.SIGCONT)


class LoopbackCluster(Cluster):
    """A cluster whose controllers are separate processes.

    Attributes:
        reserved: The ports of the controllers.
    """

    world: RealTimeWorld
    processes: dict[str, RealProcess]
    reserved: ReservedPorts

    def __init__(
        self,
        directory: Path,
        seed: int,
        arguments: Iterable[str],
        deployment: Deployment | None = None,
    ) -> None:
        self.directory = directory
        self.arguments = arguments
        self.ports: dict[str, Ports] = {}
        self.forwarders: list[Forwarder] = []
        super().__init__(seed, deployment, world=RealTimeWorld(seed))

    def begin(self, name: str) -> None:
        """Starts a controller's process."""
        if not self.ports:
            self.reserved = ReservedPorts()
            self.ports = {
                host: Ports(self.reserved.take(), self.reserved.take()) for host in self.names
            }
            self.check_processes()
            self.world.front_addresses = {
                host: f"{LOOPBACK}:{ports.front}" for host, ports in self.ports.items()
            }
        for forwarder in self.forwarders_to(name):
            forwarder.open()
        file = self.directory / f"{name}.toml"
        if not file.exists():
            file.write_text(self.settings_text(name))
        with open(self.directory / f"{name}.log", "a") as log:
            popen = subprocess.Popen(
                [sys.executable, "run.py", *self.arguments, "--config", str(file)],
                cwd=ROOT,
                stderr=log,
                env={**os.environ, "LOG_LEVEL": "info"},
            )
        self.processes[name] = RealProcess(popen)

    def check_processes(self) -> None:
        """Records a violation for each controller that has ended by itself."""
        self.world.at(EXIT_CHECK_S, self.check_processes)
        for name, process in self.processes.items():
            if process.alive and process.popen.poll() is not None:
                process.alive = False
                log = (self.directory / f"{name}.log").read_text()[-MAX_LOG_CHARACTERS:]
                self.observer.record(
                    "controller_ended", f"{name}, exit code {process.popen.returncode}: {log}"
                )

    def settings_text(self, name: str) -> str:
        """The platform's settings file for a controller, whose links go through forwarders."""
        settings = self.deployment.settings(name)
        peers = "".join(
            PEER.format(
                peer=peer, endpoint=self.forward(name, peer.name, self.ports[peer.name].internal)
            )
            for peer in settings.peers
        )
        teams = "".join(TEAM.format(team=team) for team in settings.teams.values())
        state_port = self.world.serve(state_service.HOST, name)
        return PLATFORM.format(
            settings=settings,
            ports=self.ports[name],
            peers=peers,
            teams=teams,
            cloud=f"{LOOPBACK}:{self.world.serve(cloud.HOST, name)}",
            state=self.forward(name, state_service.HOST, state_port),
            zones=list(settings.zones),
            value_kb=settings.value_bytes / KIBIBYTE,
        )

    def forward(self, source: str, target: str, port: int) -> str:
        """Opens a forwarder from one host to another and returns its address."""
        forwarder = Forwarder(self.world, source, target, port)
        self.forwarders.append(forwarder)
        return "{}:{}".format(*forwarder.address)

    def forwarders_to(self, name: str) -> list[Forwarder]:
        """The forwarders whose target is this host."""
        return [forwarder for forwarder in self.forwarders if forwarder.target == name]

    def crash(self, name: str, seconds: float, power: bool = True) -> None:
        """Kills a controller's process and starts a new one after a time."""
        process = self.processes[name]
        if process.alive:
            process.end()
            for forwarder in self.forwarders_to(name):
                forwarder.refuse()
            self.world.at(seconds, self.begin, name)

    def pause(self, name: str, seconds: float) -> None:
        """Pauses a process for a while."""
        process = self.processes[name]
        process.paused_until = self.world.now + seconds
        process.popen.send_signal(signal.SIGSTOP)
        self.world.at(seconds, process.resume)

    def stop(self) -> None:
        """Ends all processes, forwarders and servers."""
        for process in self.processes.values():
            process.end()
        for forwarder in self.forwarders:
            forwarder.refuse()
        self.world.stop()
        self.reserved.close()
