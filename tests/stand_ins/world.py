"""Simulated time, and a network that delays, drops and duplicates messages."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import orjson

from emberglade.transport import NO_ANSWER, REFUSED

Reply = Callable[..., None]  # called with status and decoded body
Handler = Callable[..., None]  # called with method, path, body bytes, source and a Reply

MIN_DELAY_S = 0.001
DELAY_SPREAD_S = 0.004
# How late the second copy of a request may come.
MIN_REPEAT_DELAY_S, MAX_REPEAT_DELAY_S = 1, 40
WORKER_PORT = 9000
CLOCK_SLACK_S = 1e-6  # a moment that is this near counts as come


class PartitionMode(StrEnum):
    """What becomes of messages between the two sides of a partition."""

    DELAY = "delay"  # they arrive when it is over
    DROP = "drop"


@dataclass(frozen=True)
class Partition:
    """Two groups of hosts that don't reach each other."""

    first: set[str]
    second: set[str]
    until: float
    mode: PartitionMode

    def separates(self, source: str, target: str) -> bool:
        """Whether the two hosts are on different sides."""
        return (source in self.first and target in self.second) or (
            source in self.second and target in self.first
        )


@dataclass(frozen=True)
class OneWayBlock:
    """Something that fails from some hosts to others, and works in the other direction."""

    sources: set[str]
    targets: set[str]
    until: float

    def applies(self, source: str, target: str, now: float) -> bool:
        """Whether it fails now between the two hosts."""
        return source in self.sources and target in self.targets and self.until > now


@dataclass(frozen=True)
class LateDuplicates:
    """Requests to one path whose duplicates arrive late, at any of some hosts."""

    path: str
    chance: float
    min_delay_s: float
    max_delay_s: float
    hosts: list[str]


class World:
    """The clock, the events to come, and the network between hosts.

    Attributes:
        random: The one source of random numbers of a simulated run.
        now: Seconds since the world began.
        hosts: The handler of each host by its name; None while its process is down.
        powered_off: Hosts whose machine is off: silent while they are down.
        drops: Messages that are lost in one direction.
        blocked_connections: Connections that can't be opened in one direction.
        repeat_chance: The chance that a request arrives a second time, late.
        late_duplicates: Late duplicates of requests to one path, if any.
        max_extra_delay_s: The most that a message takes longer than usual.
        loss: The chance that a message is lost.
    """

    def __init__(self, seed: int) -> None:
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
        self.max_extra_delay_s = 0.0
        self.loss = 0.0

    def at(self, delay: float, action: Callable, *args: Any) -> None:
        """Plans a call in `delay` seconds."""
        due = self.now + max(delay, 0.0)
        heapq.heappush(self.events, (due, next(self.event_numbers), action, args))

    def run(self, until: float) -> None:
        """Plays all events up to a moment."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = until

    def address_of(self, worker: str) -> str:
        """Where a worker takes direct commands."""
        return f"{worker}:{WORKER_PORT}"

    # --- network faults

    def partition(
        self, first: Iterable[str], second: Iterable[str], seconds: float, mode: PartitionMode
    ) -> None:
        """Separates two groups of hosts, in both directions."""
        self.partitions.append(Partition(set(first), set(second), self.now + seconds, mode))

    def drop_messages(self, sources: Iterable[str], targets: Iterable[str], seconds: float) -> None:
        """Loses all messages in this direction, answers among them."""
        self.drops.append(OneWayBlock(set(sources), set(targets), self.now + seconds))

    def block_connections(
        self, sources: Iterable[str], targets: Iterable[str], seconds: float
    ) -> None:
        """Keeps hosts from opening connections; requests in the other direction work."""
        self.blocked_connections.append(OneWayBlock(set(sources), set(targets), self.now + seconds))

    def partition_between(self, source: str, target: str) -> Partition | None:
        """The first partition that separates two hosts now."""
        for partition in self.partitions:
            if partition.until > self.now and partition.separates(source, target):
                return partition
        return None

    # --- messages

    def deliver(self, source: str, target: str, action: Callable[[], None]) -> None:
        """Carries one message: `action` runs when it arrives, which may be never."""
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
        """One call; ends in `reply(status, body)` after an answer or after `timeout`."""
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
                # Its process has ended; the machine refuses the connection.
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
    """A reply that nobody waits for."""
