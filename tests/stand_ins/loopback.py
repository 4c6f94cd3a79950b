"""The stand-ins in real time, around controllers that are processes of their own, on loopback.

State service, cloud, workers and users are those of the simulated deployments; their clock is the
real one, and HTTP carries what goes between them and the controllers. Links between controllers,
and to the state service, go through forwarders that hold everything back while they are cut.
"""

import heapq
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path

from emberglade.transport import ClientPool, Server, ServerLimits

from .cluster import Cluster
from .world import World

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CHUNK_BYTES = 64 * 1024
HELD_S = 0.05  # how often a forwarder looks whether its link is whole again
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
front = "127.0.0.1:{ports[0]}"
internal_addr = "127.0.0.1:{ports[1]}"
{peers}[endpoints]
cloud = "{cloud}"
state = "{state}"
[settings]
size = {settings.size}
zones = {zones}
workers = {{ report_s = {settings.agent_heartbeat_s}, lease_s = {settings.lease_s}, \
cancel_s = {settings.cancel_s} }}
state = {{ rps = {settings.state_rps}, write_rps = {settings.state_write_rps}, \
value_kb = {value_kb}, txn_ops = {settings.txn_ops} }}
cloud = {{ rps = {settings.cloud_rps}, list_lag_s = {settings.list_lag_s} }}
quota = {{ cpu = {settings.cpu}, mem_mb = {settings.mem_mb}, fd_limit = {settings.fd_limit} }}
{teams}"""
LIMITS = ServerLimits(256, 256, 30.0, 60.0)


class RealTimeWorld(World):
    """The world's events at their real time, one after the other in the thread that runs it."""

    def __init__(self, seed):
        self.begun = time.monotonic()
        self.waiting = threading.Condition()
        super().__init__(seed)
        self.pool = ClientPool(16, 64, "world")
        self.fronts = {}  # controller -> address where it serves users and workers
        self.servers = {}  # (who is served, for whom) -> Server

    @property
    def now(self):
        """Seconds since the world began."""
        return time.monotonic() - self.begun

    @now.setter
    def now(self, value):
        """The clock can't be set."""

    def at(self, delay, action, *args):
        with self.waiting:
            super().at(delay, action, *args)
            self.waiting.notify()

    def run(self, until):
        while self.now < until:
            with self.waiting:
                due = self.heap[0][0] if self.heap else until
                if due > self.now:
                    self.waiting.wait(min(due, until) - self.now)
                    continue
                _, _, action, args = heapq.heappop(self.heap)
            action(*args)

    def request(self, source, target, method, path, body, timeout, reply):
        self.pool.call(
            self.fronts[target],
            method,
            path,
            body,
            timeout,
            lambda status, data: self.at(0.0, reply, status, data),
        )

    def serve(self, name, source, port=0):
        """The port where a stand-in serves one of its clients, known by the port it comes to.

        `port`: the one to listen at, if it is not open yet; 0: any that is free.
        """
        if (name, source) not in self.servers:

            def route(method, path, body, reply):
                self.at(0.0, self.handle, name, method, path, body, source, reply)

            server = Server((HOST, port), route, LIMITS)
            server.begin(f"{name} for {source}")
            self.servers[name, source] = server
        return self.servers[name, source].server_port

    def handle(self, name, method, path, body, source, reply):
        handler = self.hosts.get(name)
        if handler is not None:
            handler(method, path, body, source, reply)

    def address_of(self, worker):
        return f"{HOST}:{self.serve(worker, 'controllers')}"

    def loses(self, source, target):
        """Whether what the one sends to the other does not arrive now."""
        return self.blocked(source, target) is not None or any(
            source in sources and target in targets and until > self.now
            for sources, targets, until in self.mutes
        )


class Forwarder:
    """Forwards connections of one host to another, and holds them up while the link is cut."""

    def __init__(self, world, source, target, port):
        self.world, self.source, self.target, self.port = world, source, target, port
        self.listener = None
        self.address = (HOST, 0)
        self.open()

    def open(self):
        """Takes connections, at the same port as before."""
        if self.listener is None:
            self.listener = socket.create_server(self.address)
            self.address = self.listener.getsockname()
            threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def refuse(self):
        """Refuses connections, as the machine of a process that has ended does."""
        if self.listener is not None:
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            self.listener = None

    def accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near):
        self.hold(self.source, self.target)
        try:
            far = socket.create_connection((HOST, self.port))
        except OSError:
            near.close()
            return
        for ends, path in (
            ((near, far), (self.source, self.target)),
            ((far, near), (self.target, self.source)),
        ):
            threading.Thread(target=self.pump, args=(*ends, *path), daemon=True).start()

    def hold(self, source, target):
        while self.world.loses(source, target):
            time.sleep(HELD_S)

    def pump(self, near, far, source, target):
        with suppress(OSError):
            while data := near.recv(CHUNK_BYTES):
                self.hold(source, target)
                far.sendall(data)
        for end in (near, far):
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


class RealProcess:
    """One controller's process, with what the checkers ask of it."""

    def __init__(self, popen):
        self.popen = popen
        self.frozen_until = -1.0
        self.alive = True


class LoopbackCluster(Cluster):
    """Controllers as processes of their own."""

    def __init__(self, directory, seed, arguments, **limits):
        self.directory, self.arguments = directory, arguments
        self.ports, self.forwarders = {}, []
        super().__init__(seed, world=RealTimeWorld(seed), **limits)

    def begin(self, name):
        if not self.ports:
            self.ports = {host: (free_port(), free_port()) for host in self.names}
            self.world.fronts = {host: f"{HOST}:{self.ports[host][0]}" for host in self.names}
        for forwarder in self.forwarders_to(name):
            forwarder.open()
        file = self.directory / f"{name}.toml"
        if not file.exists():
            file.write_text(self.settings_text(name))
        with open(self.directory / f"{name}.log", "a") as log:
            self.processes[name] = RealProcess(
                subprocess.Popen(
                    [sys.executable, "run.py", *self.arguments, "--config", str(file)],
                    cwd=ROOT,
                    stderr=log,
                    env={**os.environ, "LOG_LEVEL": "info"},
                )
            )

    def settings_text(self, name):
        """The platform's file for a controller, whose links go through forwarders."""
        settings = self.settings(name)
        peers = "".join(
            PEER.format(peer=peer, endpoint=self.forward(name, peer.name, self.ports[peer.name][1]))
            for peer in settings.peers
        )
        teams = "".join(TEAM.format(team=team) for team in settings.teams.values())
        return PLATFORM.format(
            settings=settings,
            ports=self.ports[name],
            peers=peers,
            teams=teams,
            cloud=f"{HOST}:{self.world.serve('cloud', name)}",
            state=self.forward(name, "state", self.world.serve("state", name)),
            zones=list(settings.zones),
            value_kb=settings.value_bytes / 1024,
        )

    def forward(self, source, target, port):
        self.forwarders.append(Forwarder(self.world, source, target, port))
        return "{}:{}".format(*self.forwarders[-1].address)

    def crash(self, name, seconds, power=True):
        process = self.processes[name]
        if process.alive:
            process.alive = False
            process.popen.kill()
            process.popen.wait()
            for forwarder in self.forwarders_to(name):
                forwarder.refuse()
            self.world.at(seconds, self.begin, name)

    def forwarders_to(self, name):
        return [forwarder for forwarder in self.forwarders if forwarder.target == name]

    def freeze(self, name, seconds):
        process = self.processes[name]
        process.frozen_until = self.world.now + seconds
        process.popen.send_signal(signal.SIGSTOP)
        self.world.at(seconds, self.thaw, process)

    @staticmethod
    def thaw(process):
        if process.alive:
            process.popen.send_signal(signal.SIGCONT)

    def stop(self):
        """Ends all that was started."""
        for process in self.processes.values():
            process.alive = False
            process.popen.kill()
            process.popen.wait()
        for forwarder in self.forwarders:
            forwarder.refuse()
        for server in self.world.servers.values():
            server.shutdown()


def free_port():
    """A port that nobody listens on just now."""
    with socket.create_server((HOST, 0)) as probe:
        return probe.getsockname()[1]
