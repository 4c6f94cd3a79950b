"""One controller's process on simulated time: its clock, its actors and its clients."""

import random
from collections.abc import Callable
from typing import Any

from emberglade.actors import Actor, send

from .world import Reply, World

MAX_CLOCK_DRIFT = 0.0005  # a process's clock runs faster or slower by at most this share
MAX_CLOCK_OFFSET_S = 1000
WALL_CLOCK_START_S = 1.7e9  # what wall clocks show when the world begins


class SimulatedProcess:
    """Runs the actors of one controller on simulated time, as their actor system.

    Attributes:
        alive: Whether the process still runs; all messages after its end are lost.
        paused_until: Until when it stands still, while its clocks go on.
        rate: How much faster than the world's its steady clock runs.
        offset: What its steady clock showed when the world began.
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
        """The process's steady clock, in seconds."""
        return self.offset + self.world.now * self.rate

    def wall_time(self) -> float:
        """The wall clock, in seconds since the epoch."""
        return WALL_CLOCK_START_S + self.world.now

    def spawn(self, actor: Actor, name: str) -> None:
        """Makes this the system of an actor and tells it to begin."""
        actor.system = self
        actor._post = lambda delay, handler, args: self.world.at(
            delay / self.rate, self.deliver, handler, args
        )
        send(actor.on_begin)

    def pause(self, until: float) -> None:
        """Stands still until a moment of the world's time."""
        self.paused_until = until

    def deliver(self, handler: Callable[..., None], args: tuple) -> None:
        """Hands a message over now, or once a pause is over."""
        if self.world.now < self.paused_until:
            # In the order in which it came, when the process goes on.
            self.world.at(self.paused_until - self.world.now, self.deliver, handler, args)
        elif self.alive:
            handler(*args)


class SimulatedClient:
    """What a controller uses instead of sockets; silent once its process has ended."""

    def __init__(self, process: SimulatedProcess, target: str) -> None:
        self.process = process
        self.target = target

    def call(self, method: str, path: str, body: Any, timeout: float, reply: Reply) -> None:
        """One request; `reply(status, data)` unless the process has ended by then."""
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
    """The same for many addresses."""

    def __init__(self, process: SimulatedProcess) -> None:
        self.process = process

    def call(
        self, address: str, method: str, path: str, body: Any, timeout: float, reply: Reply
    ) -> None:
        """One request to an address `host:port`."""
        host = address.partition(":")[0]
        SimulatedClient(self.process, host).call(method, path, body, timeout, reply)
