"""A controller's process on simulated time: its clocks, its actor system and its clients."""

import random
from collections.abc import Callable
from typing import Any

from emberglade.actors import Actor, send

from .world import Reply, World

MAX_CLOCK_DRIFT = 0.0005  # the maximum rate error of a process's monotonic clock
MAX_CLOCK_OFFSET_S = 1000
WALL_CLOCK_START_S = 1.7e9  # the wall-clock time when the world starts


class SimulatedProcess:
    """The actor system of one controller, on simulated time.

    Attributes:
        alive: Whether the process runs; messages to a process that has ended are dropped.
        paused_until: The end of its current pause, during which its clocks go on.
        rate: The rate of its monotonic clock relative to the world's clock.
        offset: The reading of its monotonic clock when the world started.
    """

    def __init__(self, world: World, name: str, seed: int) -> None:
        self.world = world
        self.name = name
        self.alive = True
        self.paused_until = -1.0
        self.random = random.Random(f"{seed} {name} {world.now}")
        self.rate = 1 + self.random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        self.offset = self.random.uniform(0, MAX_CLOCK_OFFSET_S)

    def now(self) -> float:
        """The process's monotonic clock, in seconds."""
        return self.offset + self.world.now * self.rate

    def wall_time(self) -> float:
        """The wall clock, in seconds since the epoch."""
        return WALL_CLOCK_START_S + self.world.now

    def spawn(self, actor: Actor, name: str) -> None:
        """Makes this the system of an actor, and sends `on_begin` to the actor."""
        actor.system = self
        actor._post = lambda delay, handler, args: self.world.at(
            delay / self.rate, self.deliver, handler, args
        )
        send(actor.on_begin)

    def pause(self, until: float) -> None:
        """Pauses the process until a time of the world's clock."""
        self.paused_until = until

    def is_paused(self) -> bool:
        """Whether the process is paused now."""
        return self.world.now < self.paused_until

    def deliver(self, handler: Callable[..., None], args: tuple) -> None:
        """Delivers a message now, or at the end of the current pause."""
        if self.is_paused():
            # Postponed messages are delivered in the order of their arrival.
            self.world.at(self.paused_until - self.world.now, self.deliver, handler, args)
        elif self.alive:
            handler(*args)


class SimulatedClient:
    """A client on the simulated network; it drops answers once its process has ended."""

    def __init__(self, process: SimulatedProcess, target: str) -> None:
        self.process = process
        self.target = target

    def call(self, method: str, path: str, body: Any, timeout: float, reply: Reply) -> None:
        """Sends a request; calls `reply(status, data)` unless the process has ended by then."""
        process = self.process
        process.world.request(
            process.name,
            self.target,
            method,
            path,
            body,
            timeout,
            lambda status, data: reply(status, data) if process.alive else None,
        )


class SimulatedClientPool:
    """A pool of simulated clients for any address."""

    def __init__(self, process: SimulatedProcess) -> None:
        self.process = process

    def call(
        self, address: str, method: str, path: str, body: Any, timeout: float, reply: Reply
    ) -> None:
        """Sends a request to an address `host:port`."""
        host = address.partition(":")[0]
        SimulatedClient(self.process, host).call(method, path, body, timeout, reply)
