"""A world in real time: it uses the real clock, and HTTP on loopback for messages."""

import heapq
import threading
import time
from collections.abc import Callable
from typing import Any

from emberglade.transport import ClientPool, Server, ServerLimits

from .world import Reply, World

LOOPBACK = "127.0.0.1"
CLIENT_THREADS, CLIENT_CONNECTIONS = 16, 64
SERVER_LIMITS = ServerLimits(
    max_connections=256, max_user_connections=256, answer_timeout_s=30.0, idle_timeout_s=60.0
)


class RealTimeWorld(World):
    """Runs events at their real time, one after the other, in the thread that calls `run`.

    Attributes:
        front_addresses: By controller, the address at which it serves users and workers.
        servers: The HTTP servers by the names of the stand-in and of the client that each serves.
    """

    def __init__(self, seed: int) -> None:
        self.started_at = time.monotonic()
        self.planned = threading.Condition()
        super().__init__(seed)
        self.pool = ClientPool(CLIENT_THREADS, CLIENT_CONNECTIONS, "world")
        self.front_addresses: dict[str, str] = {}
        self.servers: dict[tuple[str, str], Server] = {}

    @property
    def now(self) -> float:
        """Seconds since the world started."""
        return time.monotonic() - self.started_at

    @now.setter
    def now(self, value: float) -> None:
        """Ignores the value: the real clock can't be set."""

    def at(self, delay: float, action: Callable, *args: Any) -> None:
        """Schedules a call; thread-safe."""
        with self.planned:
            super().at(delay, action, *args)
            self.planned.notify()

    def run(self, until: float) -> None:
        """Runs events when they are due, up to a time."""
        while self.now < until:
            with self.planned:
                due = self.events[0][0] if self.events else until
                if due > self.now:
                    self.planned.wait(min(due, until) - self.now)
                    continue
                _, _, action, args = heapq.heappop(self.events)
            action(*args)

    def request(
        self,
        source: str,
        target: str,
        method: str,
        path: str,
        body: Any,
        timeout: float,
        reply: Reply,
    ) -> None:
        """Sends a request of a stand-in to a controller over HTTP."""
        self.pool.call(
            self.front_addresses[target],
            method,
            path,
            body,
            timeout,
            lambda status, data: self.at(0.0, reply, status, data),
        )

    def serve(self, name: str, source: str, port: int = 0) -> int:
        """Returns the port at which a stand-in serves one client; the port identifies the client.

        Args:
            name: The stand-in.
            source: The client.
            port: The port to listen at if there is no server yet; 0 chooses any free one.
        """
        if (name, source) not in self.servers:

            def route(method: str, path: str, body: bytes, reply: Reply) -> None:
                self.at(0.0, self.handle, name, method, path, body, source, reply)

            server = Server((LOOPBACK, port), route, SERVER_LIMITS)
            server.begin(f"{name} for {source}")
            self.servers[name, source] = server
        return self.servers[name, source].server_port

    def handle(
        self, name: str, method: str, path: str, body: bytes, source: str, reply: Reply
    ) -> None:
        """Passes a request to a stand-in."""
        handler = self.hosts.get(name)
        if handler is not None:
            handler(method, path, body, source, reply)

    def address_of(self, worker: str) -> str:
        """The address at which a worker accepts direct commands."""
        return f"{LOOPBACK}:{self.serve(worker, 'controllers')}"

    def is_blocked(self, source: str, target: str) -> bool:
        """Whether messages from the source to the target are blocked now."""
        return self.partition_between(source, target) is not None or any(
            block.applies(source, target, self.now) for block in self.drops
        )

    def stop(self) -> None:
        """Shuts down all servers."""
        for server in self.servers.values():
            server.shutdown()
