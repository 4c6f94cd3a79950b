"""Actors on real threads."""

import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from emberglade.actors import Actor, ThreadSystem, tell, tell_inline

from .scenario import Scenario

TIMEOUT_S = 10
TELL_EVERY = 3  # of so many messages one is told, the others are handed over in place


class Counter(Actor):
    """An actor that would count wrongly if two messages were handled at once."""

    greetings = 0

    def on_begin(self) -> None:
        """Begins to count."""
        self.value = 0

    def on_greet(self) -> None:
        """Handles a greeting, which may come before anything else is known of the sender."""
        self.greetings += 1

    def on_add(self) -> None:
        """Counts one message."""
        value = self.value
        time.sleep(0)  # gives other threads the chance to come in between
        self.value = value + 1

    def on_ask(self, field: str, reply: Callable[[int], None]) -> None:
        """Tells the asker a field."""
        reply(getattr(self, field))


class Greeter(Actor):
    """Speaks to another actor as soon as it begins."""

    def __init__(self, other: Counter) -> None:
        self.other = other

    def on_begin(self) -> None:
        """Greets the other actor."""
        tell(self.other.on_greet)


class ActorsScenario(Scenario):
    """Threads that tell and hand messages to one actor, which still handles one at a time.

    A greeter begins before it.
    """

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.counter = Counter()
        ThreadSystem().spawn([(Greeter(self.counter), "greeter"), (self.counter, "counter")])

    def do_senders(self, threads: str, messages: str) -> None:
        """So many threads send so many messages each."""
        senders = [
            threading.Thread(target=self.send, args=(int(messages),)) for _ in range(int(threads))
        ]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

    def send(self, count: int) -> None:
        """Sends messages, some into the actor's mailbox and some in place."""
        for number in range(count):
            send = tell if number % TELL_EVERY == 0 else tell_inline
            send(self.counter.on_add)

    def expect_counted(self, count: str) -> None:
        """So many messages were handled."""
        assert self.ask("value") == int(count)

    def expect_greeted(self, count: str) -> None:
        """So many greetings were handled."""
        assert self.ask("greetings") == int(count)

    def ask(self, field: str) -> int:
        """A field of the counter, asked by a message."""
        answer: queue.SimpleQueue = queue.SimpleQueue()
        tell(self.counter.on_ask, field, answer.put)
        return answer.get(timeout=TIMEOUT_S)
