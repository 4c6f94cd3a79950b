"""Actors: objects that own their state and are spoken to by messages.

A message is a call of one of the actor's handlers, made later and in the actor's own turn:
`send(store.on_sync, reply)` has the store's thread run `on_sync(reply)`. Handlers are the methods
`on_<message>`; nobody calls another actor's methods directly. `ThreadSystem` gives each actor a
thread, a mailbox and a turn; the tests run the same actors on simulated time. Own layer instead
of Pykka: see docs/design.md, "Libraries".
"""

import heapq
import itertools
import logging
import queue
import random
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple, ParamSpec, Protocol

log = logging.getLogger("emberglade.actors")

Arguments = ParamSpec("Arguments")
Handler = Callable[..., Any]  # a bound method `on_<message>` of an actor or of a part of one
Post = Callable[[float, Handler, tuple[Any, ...]], None]  # post(delay_s, handler, arguments)
SendInline = Callable[[Handler, tuple[Any, ...]], None]  # send_inline(handler, arguments)

HANDLER_PREFIX = "on_"
IMMEDIATE = 0.0  # in the place of a due time: in the order in which messages were told


class ActorSystem(Protocol):
    """Whoever runs actors: their clocks and their random numbers."""

    random: random.Random

    def now(self) -> float:
        """The steady clock, in seconds."""

    def wall_time(self) -> float:
        """The time of day, in seconds since 1970."""


class Actor:
    """Base of all actors. Subclasses define `on_<message>` and may define `on_begin`.

    Attributes:
        system: The clocks and the random numbers of whoever runs the actor.
    """

    # Set by whoever runs the actor, before any actor of its process begins.
    system: ActorSystem
    _post: Post
    _send_inline: SendInline | None = None

    def now(self) -> float:
        """The steady clock, in seconds."""
        return self.system.now()

    def on_begin(self) -> None:
        """Handles the first message of every actor, from the actor system."""


class ActorPart:
    """An object of its own that does one job of an actor, in the actor's turn.

    Its handlers `on_<message>` can be told like the actor's own: they run on the actor's thread,
    one message at a time with all others of that actor.

    Attributes:
        actor: The actor that it is a part of.
    """

    def __init__(self, actor: Actor) -> None:
        self.actor = actor

    @property
    def _post(self) -> Post:
        return self.actor._post

    @property
    def _send_inline(self) -> SendInline | None:
        return self.actor._send_inline

    @property
    def system(self) -> ActorSystem:
        """The clocks and the random numbers of whoever runs the actor."""
        return self.actor.system

    def now(self) -> float:
        """The steady clock, in seconds."""
        return self.actor.system.now()


def send(
    handler: Callable[Arguments, Any], *args: Arguments.args, **kwargs: Arguments.kwargs
) -> None:
    """Has an actor run one of its handlers with these arguments, in its own turn.

    Messages from one sender are handled in the order in which they were told.
    """
    assert not kwargs, "messages have no keyword arguments"
    _receiver(handler)._post(0.0, handler, args)


def send_after(delay_s: float, handler: Handler, *args: Any) -> None:
    """Like `send`, but `delay_s` seconds from now."""
    _receiver(handler)._post(delay_s, handler, args)


def send_inline(handler: Handler, *args: Any) -> None:
    """Like `send`, but in the caller's thread if the actor has nothing else to do just now.

    It is still one message at a time, in the actor's own turn. Two changes of threads a heartbeat
    cost more than the heartbeat.
    """
    actor = _receiver(handler)
    if actor._send_inline is None:
        actor._post(0.0, handler, args)
    else:
        actor._send_inline(handler, args)


def callback(handler: Handler, *context: Any) -> Callable[..., None]:
    """A callable that tells `handler` with `context` and whatever it is called with."""
    post = _receiver(handler)._post
    return lambda *result: post(0.0, handler, context + result)


def callback_inline(handler: Handler, *context: Any) -> Callable[..., None]:
    """Like `callback`, with `send_inline`."""
    return lambda *result: send_inline(handler, *context, *result)


def _receiver(handler: Handler) -> Actor | ActorPart:
    """The actor, or the part of one, whose bound method a handler is."""
    return handler.__self__  # type: ignore[attr-defined]


def _message_name(handler_name: str) -> str:
    """The message that a handler of this name handles."""
    return handler_name.removeprefix(HANDLER_PREFIX)


# One message in an actor's mailbox: (due by the steady clock in seconds or IMMEDIATE, handler,
# arguments). A plain tuple, since making a NamedTuple is a noticeable part of a message's cost.
Message = tuple[float, Handler, tuple[Any, ...]]


class Timer(NamedTuple):
    """One message that is not due yet; timers that are due at once fire in the order told."""

    due: float
    number: int
    handler: Handler
    args: tuple[Any, ...]


@dataclass(slots=True)
class HandlerUsage:
    """What the messages of one handler have cost, waits included."""

    seconds: float = 0.0
    count: int = 0


class ActorThread:
    """One actor's thread, mailbox, timers and turn.

    Attributes:
        usage: What each handler has cost since it was last cleared, by the handler's name.
    """

    def __init__(self, actor: Actor, name: str, now: Callable[[], float]) -> None:
        self.usage: dict[str, HandlerUsage] = {}
        self._actor = actor
        self._now = now
        self._mailbox: queue.SimpleQueue[Message] = queue.SimpleQueue()
        self._timers: list[Timer] = []
        self._timer_numbers = itertools.count()
        # Held by whichever thread delivers a message to this actor.
        self._turn = threading.Lock()
        self._turn.acquire()  # until the actor has begun
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Begins the actor on its thread."""
        self._thread.start()

    def post(self, delay_s: float, handler: Handler, args: tuple[Any, ...]) -> None:
        """Puts a message into the mailbox, from any thread."""
        due = self._now() + delay_s if delay_s > 0 else IMMEDIATE
        self._mailbox.put((due, handler, args))

    def send_inline(self, handler: Handler, args: tuple[Any, ...]) -> None:
        """Delivers in the caller's thread if nothing else waits; else puts it into the mailbox."""
        if not self._mailbox.empty() or not self._turn.acquire(blocking=False):
            self._mailbox.put((IMMEDIATE, handler, args))
            return
        try:
            self._deliver(handler, args)
        finally:
            self._turn.release()

    def _run(self) -> None:
        self._deliver(self._actor.on_begin, ())
        self._turn.release()
        while True:
            wait_s = self._time_to_timer()
            if wait_s is not None and wait_s <= 0:
                timer = heapq.heappop(self._timers)
                self._deliver_in_turn(timer.handler, timer.args)
                # Mail is not starved by timers that are always due.
                wait_s = 0.0
            try:
                due, handler, args = self._mailbox.get(wait_s != 0.0, wait_s)
            except queue.Empty:
                continue
            if due == IMMEDIATE:
                self._deliver_in_turn(handler, args)
            else:
                number = next(self._timer_numbers)
                heapq.heappush(self._timers, Timer(due, number, handler, args))

    def _time_to_timer(self) -> float | None:
        """Seconds until the next timer is due, negative if it is overdue; None: no timer."""
        return self._timers[0].due - self._now() if self._timers else None

    def _deliver_in_turn(self, handler: Handler, args: tuple[Any, ...]) -> None:
        with self._turn:
            self._deliver(handler, args)

    def _deliver(self, handler: Handler, args: tuple[Any, ...]) -> None:
        """Runs a handler in the turn that the caller holds, and accounts for its time."""
        begun = time.perf_counter()
        try:
            handler(*args)
        except Exception:
            # One bad message must not end the controller; its sender repeats what matters.
            log.exception(
                "message %s to %s failed; it is dropped",
                _message_name(handler.__name__),
                type(_receiver(handler)).__name__,
            )
        usage = self.usage.get(handler.__name__)
        if usage is None:
            usage = self.usage[handler.__name__] = HandlerUsage()
        usage.seconds += time.perf_counter() - begun
        usage.count += 1


class ThreadSystem:
    """Runs each actor on a thread of its own, on the real clock.

    `seed` is that of the random numbers, which the process draws anew if it is None.
    """

    now = staticmethod(time.monotonic)
    wall_time = staticmethod(time.time)

    def __init__(self, seed: int | None = None) -> None:
        self.random = random.Random(seed)
        self._threads: dict[str, ActorThread] = {}  # actor's name -> its thread

    def spawn(self, actors: Iterable[tuple[Actor, str]]) -> None:
        """Begins all of these (actor, name). Each can be spoken to before any of them begins.

        Once broken: a process that was back at once had its lease before the last actor had its
        mailbox, and went on for ever with actors that had not been told who they are
        (actors/message_before_begin.txt).
        """
        threads = [self._prepare(actor, name) for actor, name in actors]
        for thread in threads:
            thread.start()

    def _prepare(self, actor: Actor, name: str) -> ActorThread:
        thread = self._threads[name] = ActorThread(actor, name, self.now)
        actor.system = self
        actor._post = thread.post
        actor._send_inline = thread.send_inline
        return thread

    def take_account(self) -> dict[str, dict[str, list[float]]]:
        """{actor: {message: [seconds, count]}} since the last call, waits included."""
        return {name: self._take_usage(thread) for name, thread in self._threads.items()}

    @staticmethod
    def _take_usage(thread: ActorThread) -> dict[str, list[float]]:
        """{message: [seconds, count]} of one actor since the last call."""
        # Copied first: the actor's thread goes on meanwhile.
        taken = {
            _message_name(handler_name): [usage.seconds, usage.count]
            for handler_name, usage in dict(thread.usage).items()
        }
        thread.usage.clear()
        return taken
