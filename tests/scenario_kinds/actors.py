"""Scenarios of actors on real threads."""

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
QUEUED_EVERY = 3  # every third message is queued by `send`, the others use `send_inline`


class Counter(Actor):
    """An actor whose count is wrong if two messages are handled concurrently."""

    greetings = 0

    def on_begin(self) -> None:
        """Sets the count to zero."""
        self.value = 0

    def on_greet(self) -> None:
        """Counts a greeting; a sender that begins earlier may send it before `on_begin`."""
        self.greetings += 1

    def on_add(self) -> None:
        """Adds one to the count in two steps, between which other threads may run."""
        value = self.value
        time.sleep(0)  # lets other threads run
        self.value = value + 1

    def on_ask(self, field: str, reply: Callable[[int], None]) -> None:
        """Replies with the value of a field."""
        reply(getattr(self, field))


class CountingPart(ActorPart):
    """A part whose handlers add to the actor's count and record the threads they run on."""

    def __init__(self, counter: Counter) -> None:
        super().__init__(counter)
        self.counter = counter
        self.threads: list[str] = []

    def on_add(self) -> None:
        """Adds one to the actor's count."""
        self.counter.on_add()

    def on_record_thread(self) -> None:
        """Records the thread that it runs on."""
        self.threads.append(threading.current_thread().name)

    def on_ask_threads(self, reply: Callable[[list[str]], None]) -> None:
        """Replies with the recorded threads."""
        reply(list(self.threads))


class Greeter(Actor):
    """Sends a message to another actor as soon as it begins."""

    def __init__(self, other: Counter) -> None:
        self.other = other

    def on_begin(self) -> None:
        """Sends the greeting."""
        send(self.other.on_greet)


class ActorsScenario(Scenario):
    """Sends messages to one actor from several threads; it has to handle them one at a time.

    A greeter begins before the actor and sends it a message.
    """

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.counter = Counter()
        self.part = CountingPart(self.counter)
        ThreadSystem().spawn([(Greeter(self.counter), "greeter"), (self.counter, "counter")])

    def do_senders(self, threads: str, messages: str) -> None:
        """Sends `messages` messages to the actor from each of `threads` threads."""
        self.send_from_threads([self.counter.on_add], int(threads), int(messages))

    def do_part_senders(self, threads: str, messages: str) -> None:
        """Sends messages from several threads alternately to the actor and to a part of it."""
        handlers = [self.counter.on_add, self.part.on_add]
        self.send_from_threads(handlers, int(threads), int(messages))

    def do_send_to_part(self) -> None:
        """Sends to the part in each of the ways that run the handler on the actor's thread."""
        send(self.part.on_record_thread)
        send_after(FIRST_TIMER_S, self.part.on_record_thread)
        callback(self.part.on_record_thread)()

    @staticmethod
    def send_from_threads(
        handlers: list[Callable[[], None]], thread_count: int, message_count: int
    ) -> None:
        """Sends messages from each of several threads to the handlers in rotation.

        Some are queued in the actor's mailbox, the others are sent inline.
        """

        def send_all() -> None:
            for number in range(message_count):
                handler = handlers[number % len(handlers)]
                if number % QUEUED_EVERY == 0:
                    send(handler)
                else:
                    send_inline(handler)

        senders = [threading.Thread(target=send_all) for _ in range(thread_count)]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()

    def expect_counted(self, count: str) -> None:
        """This many messages were counted."""
        assert self.ask("value") == int(count)

    def expect_greeted(self, count: str) -> None:
        """This many greetings were handled."""
        assert self.ask("greetings") == int(count)

    def expect_part_threads(self, *names: str) -> None:
        """The part's handlers ran on these threads, in this order.

        The question is sent after the part's timer and due later, so the timer fires first.
        """
        answer: queue.SimpleQueue = queue.SimpleQueue()
        send_after(LAST_TIMER_S, self.part.on_ask_threads, answer.put)
        assert answer.get(timeout=TIMEOUT_S) == list(names)

    def ask(self, field: str) -> int:
        """Reads a field of the counter by a message."""
        answer: queue.SimpleQueue = queue.SimpleQueue()
        send(self.counter.on_ask, field, answer.put)
        return answer.get(timeout=TIMEOUT_S)
