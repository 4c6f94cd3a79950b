"""Actors on real threads."""

import queue
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from emberglade.actors import (
    Actor,
    ActorPart,
    ThreadSystem,
    callback,
    send,
    send_after,
    send_inline,
)

from .scenario import Scenario

TIMEOUT_S = 10
FIRST_TIMER_S, LAST_TIMER_S = 0.01, 0.02
SEND_EVERY = 3  # of so many messages one is sent, the others are sent inline


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


class CountingPart(ActorPart):
    """A part whose handlers count what the actor counts, and note the threads they run on."""

    def __init__(self, counter: Counter) -> None:
        super().__init__(counter)
        self.counter = counter
        self.threads: list[str] = []

    def on_add(self) -> None:
        """Counts one message."""
        self.counter.on_add()

    def on_note_thread(self) -> None:
        """Notes the thread that it runs on."""
        self.threads.append(threading.current_thread().name)

    def on_ask_threads(self, reply: Callable[[list[str]], None]) -> None:
        """Tells the asker the threads that were noted."""
        reply(list(self.threads))


class Greeter(Actor):
    """Speaks to another actor as soon as it begins."""

    def __init__(self, other: Counter) -> None:
        self.other = other

    def on_begin(self) -> None:
        """Greets the other actor."""
        send(self.other.on_greet)


class ActorsScenario(Scenario):
    """Threads that tell and hand messages to one actor, which still handles one at a time.

    A greeter begins before it.
    """

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.counter = Counter()
        self.part = CountingPart(self.counter)
        ThreadSystem().spawn([(Greeter(self.counter), "greeter"), (self.counter, "counter")])

    def do_senders(self, threads: str, messages: str) -> None:
        """So many threads send so many messages each to the actor."""
        self.send_from_threads([self.counter.on_add], int(threads), int(messages))

    def do_part_senders(self, threads: str, messages: str) -> None:
        """So many threads send so many messages each, to the actor and to a part of it in turns."""
        handlers = [self.counter.on_add, self.part.on_add]
        self.send_from_threads(handlers, int(threads), int(messages))

    def do_send_to_part(self) -> None:
        """The part is told in each of the ways that make a message run on the actor's thread."""
        send(self.part.on_note_thread)
        send_after(FIRST_TIMER_S, self.part.on_note_thread)
        callback(self.part.on_note_thread)()

    @staticmethod
    def send_from_threads(
        handlers: list[Callable[[], None]], thread_count: int, message_count: int
    ) -> None:
        """Each of the threads sends so many messages, to each of the handlers in its turn.

        Some go into the actor's mailbox, some are handed over in place.
        """

        def send_all() -> None:
            for number in range(message_count):
                handler = handlers[number % len(handlers)]
                if number % SEND_EVERY == 0:
                    send(handler)
                else:
                    send_inline(handler)

        senders = [threading.Thread(target=send_all) for _ in range(thread_count)]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

    def expect_counted(self, count: str) -> None:
        """So many messages were handled."""
        assert self.ask("value") == int(count)

    def expect_greeted(self, count: str) -> None:
        """So many greetings were handled."""
        assert self.ask("greetings") == int(count)

    def expect_part_threads(self, *names: str) -> None:
        """The part's messages ran on these threads, in this order.

        A timer of the part fires before this one, which is told later and due later.
        """
        answer: queue.SimpleQueue = queue.SimpleQueue()
        send_after(LAST_TIMER_S, self.part.on_ask_threads, answer.put)
        assert answer.get(timeout=TIMEOUT_S) == list(names)

    def ask(self, field: str) -> int:
        """A field of the counter, asked by a message."""
        answer: queue.SimpleQueue = queue.SimpleQueue()
        send(self.counter.on_ask, field, answer.put)
        return answer.get(timeout=TIMEOUT_S)
