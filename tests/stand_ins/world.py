"""Simulated time, and a simulated network that delays, drops and duplicates messages."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import orjson

from emberglade.transport import NO_ANSWER, REFUSED

Reply = Callable[..., None]  # called with the status and the decoded body
Handler = Callable[..., None]  # called with method, path, body as bytes, source and a Reply

MIN_DELAY_S = 0.001
DELAY_SPREAD_S = 0.004
# The delay of a duplicated request.
MIN_REPEAT_DELAY_S, MAX_REPEAT_DELAY_S = 1, 40
WORKER_PORT = 9000
CLOCK_SLACK_S = 1e-6  # tolerance for rounding when a deadline is compared with the clock


class PartitionMode(StrEnum):
    """How a partition affects messages between its two sides."""

    DELAY = "delay"  # they arrive when it ends
    DROP = "drop"


@dataclass(frozen=True)
class Partition:
    """Two groups of hosts that can't reach each other."""

    first: set[str]
    second: set[str]
    until: float
    mode: PartitionMode

    def separates(self, source: str, target: str) -> bool:
        """Whether two hosts are on different sides."""
        return (source in self.first and target in self.second) or (
            source in self.second and target in self.first
        )


@dataclass(frozen=True)
class OneWayBlock:
    """A fault in one direction: from the source hosts to the target hosts."""

    sources: set[str]
    targets: set[str]
    until: float

    def applies(self, source: str, target: str, now: float) -> bool:
        """Whether the block is in force from this source to this target."""
        return source in self.sources and target in self.targets and self.until > now


@dataclass(frozen=True)
class LateDuplicates:
    """A fault that delivers late duplicates of requests to one path to random hosts of a list."""

    path: str
    chance: float
    min_delay_s: float
    max_delay_s: float
    hosts: list[str]


@dataclass(frozen=True)
class CommandCopies:
    """A fault: copies of direct commands that were executed arrive once more.

    Attributes:
        chance: The share of commands that are copied.
        min_delay_s, max_delay_s: How late a copy arrives.
    """

    chance: float
    min_delay_s: float
    max_delay_s: float


class World:
    """The clock, the event queue, and the network between hosts.

    Attributes:
        seed: The seed of all random draws.
        random: The random number generator that all stand-ins of a run share.
        now: Seconds since the world started.
        hosts: The handler of each host by its name; None while its process is down.
        powered_off: Hosts whose machine is off: connections to them get no answer at all, while a
            host whose process alone is down refuses them.
        drops: One-way faults that drop all messages.
        blocked_connections: One-way faults that prevent connections from being opened.
        repeat_chance: The probability that a request is duplicated, with a delay.
        late_duplicates: Late duplicates of requests to one path, if any.
        command_copies: Late copies of direct commands that workers have executed, if any.
        max_extra_delay_s: The maximum additional delay of a message.
        loss: The probability that a message is lost.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.random = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.event_numbers = itertools.count()
        self.hosts: dict[str, Handler | None] = {}
        self.powered_off: set[str] = set()
        self.partitions: list[Partition] = []
        self.drops: list[OneWayBlock] = []
        self.blocked_connections: list[OneWayBlock] = []
        self.repeat_chance = 0.0
        self.late_duplicates: LateDuplicates | None = None
        self.command_copies: CommandCopies | None = None
        self.max_extra_delay_s = 0.0
        self.loss = 0.0

    def generator(self, name: str) -> random.Random:
        """A generator of its own for `name`, whose draws don't change those of `random`."""
        return random.Random(f"{self.seed} {name}")

    def at(self, delay: float, action: Callable, *args: Any) -> None:
        """Schedules a call in `delay` seconds."""
        due = self.now + max(delay, 0.0)
        heapq.heappush(self.events, (due, next(self.event_numbers), action, args))

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = until

    def address_of(self, worker: str) -> str:
        """The address at which a worker accepts direct commands."""
        return f"{worker}:{WORKER_PORT}"

    # --- network faults

    def partition(
        self, first: Iterable[str], second: Iterable[str], seconds: float, mode: PartitionMode
    ) -> None:
        """Separates two groups of hosts, in both directions."""
        self.partitions.append(Partition(set(first), set(second), self.now + seconds, mode))

    def drop_messages(self, sources: Iterable[str], targets: Iterable[str], seconds: float) -> None:
        """Drops all messages in this direction, answers included."""
        self.drops.append(OneWayBlock(set(sources), set(targets), self.now + seconds))

    def block_connections(
        self, sources: Iterable[str], targets: Iterable[str], seconds: float
    ) -> None:
        """Prevents hosts from opening connections; requests in the other direction work."""
        self.blocked_connections.append(OneWayBlock(set(sources), set(targets), self.now + seconds))

    def partition_between(self, source: str, target: str) -> Partition | None:
        """The first partition that separates two hosts now."""
        for partition in self.partitions:
            if partition.until > self.now and partition.separates(source, target):
                return partition
        return None

    # --- messages

    def deliver(self, source: str, target: str, action: Callable[[], None]) -> None:
        """Transmits a message: `action` runs when it arrives, or never if it is lost."""
        delay = MIN_DELAY_S + self.random.random() * (DELAY_SPREAD_S + self.max_extra_delay_s)
        partition = self.partition_between(source, target)
        if any(block.applies(source, target, self.now) for block in self.drops):
            return
        if partition is not None:
            if partition.mode is PartitionMode.DROP:
                return
            delay += partition.until - self.now
        elif self.random.random() < self.loss:
            return
        self.at(delay, action)

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
        """Sends a request; `reply(status, body)` is called on its answer or after `timeout`."""
        waiting = [True]
        payload = orjson.dumps(body) if body is not None else b""

        def answer(status: int, data: Any = None, retry: Any = None) -> None:
            received = orjson.loads(orjson.dumps(data)) if data is not None else None
            self.deliver(target, source, lambda: finish(status, received))

        def finish(status: int, data: Any) -> None:
            if waiting[0]:
                waiting[0] = False
                reply(status, data)

        def arrive(respond: Reply) -> None:
            handler = self.hosts.get(target)
            if handler is not None:
                handler(method, path, payload, source, respond)
            elif target in self.hosts and target not in self.powered_off:
                # Its process is down, but its machine is up and refuses the connection.
                self.deliver(target, source, lambda: finish(REFUSED, None))

        if not any(block.applies(source, target, self.now) for block in self.blocked_connections):
            self.deliver(source, target, lambda: arrive(answer))
        if self.random.random() < self.repeat_chance:
            delay = self.random.uniform(MIN_REPEAT_DELAY_S, MAX_REPEAT_DELAY_S)
            self.at(delay, lambda: arrive(ignore_answer))
        self._duplicate_late(method, path, payload, source)
        self.at(timeout, finish, NO_ANSWER, None)

    def _duplicate_late(self, method: str, path: str, payload: bytes, source: str) -> None:
        duplicates = self.late_duplicates
        if duplicates is None or path != duplicates.path:
            return
        if self.random.random() >= duplicates.chance:
            return
        host = self.random.choice(duplicates.hosts)

        def arrive() -> None:
            handler = self.hosts.get(host)
            if handler is not None:
                handler(method, path, payload, source, ignore_answer)

        self.at(self.random.uniform(duplicates.min_delay_s, duplicates.max_delay_s), arrive)


def ignore_answer(*_: Any) -> None:
    """Discards the answer to a duplicated request."""
