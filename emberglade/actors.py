"""Actors: objects with private state that communicate by messages.

A message is a deferred call of one of the actor's handlers, the methods `on_<message>`:
`send(store.on_sync, reply)` makes the store run `on_sync(reply)` in its own turn. A turn is the
handling of one message; an actor's turns never overlap. An actor sends messages to another actor's
handlers, and never calls them directly. `ThreadSystem` gives each actor a thread and a mailbox; the
tests run the same actors on simulated time. For the reasons not to use Pykka see docs/design.md,
"Libraries".
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
IMMEDIATE = 0.0  # due time of messages that are handled in the order of sending, without delay


class ActorSystem(Protocol):
    """The runtime of actors, with its clocks and random numbers."""

    random: random.Random

    def now(self) -> float:
        """The monotonic clock, in seconds."""

    def wall_time(self) -> float:
        """The wall clock, in seconds since 1970."""


class Actor:
    """Base of all actors. Subclasses define `on_<message>` and may define `on_begin`.

    Attributes:
        system: The runtime of the actor, with its clocks and random numbers.
    """

    # Set by the runtime before it starts any actor of the process.
    system: ActorSystem
    _post: Post
    _send_inline: SendInline | None = None

    def now(self) -> float:
        """The monotonic clock, in seconds."""
        return self.system.now()

    def on_begin(self) -> None:
        """Handles `begin` from the actor system, the first message of every actor."""


class ActorPart:
    """A component of an actor with one responsibility, which runs in the actor's turn.

    Its handlers `on_<message>` receive messages like the actor's own handlers. An actor and its
    parts together handle one message at a time.

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
        """The runtime of the actor, with its clocks and random numbers."""
        return self.actor.system

    def now(self) -> float:
        """The monotonic clock, in seconds."""
        return self.actor.system.now()


def send(
    handler: Callable[Arguments, Any], *args: Arguments.args, **kwargs: Arguments.kwargs
) -> None:
    """Sends a message to an actor, which runs `handler` with these arguments in its own turn.

    Messages that one sender sends to an actor with `send` are handled in the order of sending.
    """
    assert not kwargs, "messages have no keyword arguments"
    _receiver(handler)._post(0.0, handler, args)


def send_after(delay_s: float, handler: Handler, *args: Any) -> None:
    """Like `send`, but the message is due `delay_s` seconds from now."""
    _receiver(handler)._post(delay_s, handler, args)


def send_inline(handler: Handler, *args: Any) -> None:
    """Like `send`, but handles the message in the caller's thread if the actor is idle.

    The actor still handles one message at a time. For the heartbeat of an agent, this saves two
    thread switches, which cost more than handling the heartbeat itself.
    """
    actor = _receiver(handler)
    if actor._send_inline is None:
        actor._post(0.0, handler, args)
    else:
        actor._send_inline(handler, args)


def callback(handler: Handler, *context: Any) -> Callable[..., None]:
    """Returns a callable that sends `handler` the `context` and then the callable's arguments."""
    post = _receiver(handler)._post
    return lambda *result: post(0.0, handler, context + result)


def callback_inline(handler: Handler, *context: Any) -> Callable[..., None]:
    """Like `callback`, but the callable uses `send_inline`."""
    return lambda *result: send_inline(handler, *context, *result)


def _receiver(handler: Handler) -> Actor | ActorPart:
    """The actor or the part of an actor that the handler is a bound method of."""
    return handler.__self__  # type: ignore[attr-defined]


def _message_name(handler_name: str) -> str:
    """The name of the message that a handler of this name handles."""
    return handler_name.removeprefix(HANDLER_PREFIX)


# A message in an actor's mailbox: (due time in seconds of the monotonic clock or IMMEDIATE,
# handler, arguments). A plain tuple, because creating a NamedTuple adds noticeably to the cost of
# a message.
Message = tuple[float, Handler, tuple[Any, ...]]


class Timer(NamedTuple):
    """A message that is not due yet; timers with the same due time fire in the order of arrival."""

    due: float
    number: int
    handler: Handler
    args: tuple[Any, ...]


@dataclass(slots=True)
class HandlerUsage:
    """How long one handler has run, including the time it was blocked, and its number of calls."""

    seconds: float = 0.0
    count: int = 0


class ActorThread:
    """One actor's thread, mailbox, timers and turn.

    Attributes:
        usage: The usage of each handler, by the handler's name, since this dict was last cleared.
    """

    def __init__(self, actor: Actor, name: str, now: Callable[[], float]) -> None:
        self.usage: dict[str, HandlerUsage] = {}
        self._actor = actor
        self._now = now
        self._mailbox: queue.SimpleQueue[Message] = queue.SimpleQueue()
        self._timers: list[Timer] = []
        self._timer_numbers = itertools.count()
        # Held by the thread that is running one of the actor's handlers.
        self._turn = threading.Lock()
        self._turn.acquire()  # released once `on_begin` has run
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Starts the actor's thread."""
        self._thread.start()

    def post(self, delay_s: float, handler: Handler, args: tuple[Any, ...]) -> None:
        """Puts a message into the mailbox; may be called from any thread."""
        due = self._now() + delay_s if delay_s > 0 else IMMEDIATE
        self._mailbox.put((due, handler, args))

    def send_inline(self, handler: Handler, args: tuple[Any, ...]) -> None:
        """Handles the message in the caller's thread if the actor is idle, else queues it."""
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
                # Take one message after each timer; otherwise, timers could starve the mailbox.
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
        """Seconds until the next timer is due, negative if overdue; None if there is no timer."""
        return self._timers[0].due - self._now() if self._timers else None

    def _deliver_in_turn(self, handler: Handler, args: tuple[Any, ...]) -> None:
        with self._turn:
            self._deliver(handler, args)

    def _deliver(self, handler: Handler, args: tuple[Any, ...]) -> None:
        """Runs a handler and records its usage; the caller holds the turn."""
        started_at = time.perf_counter()
        try:
            handler(*args)
        except Exception:
            # A failing handler must not stop the actor. Senders repeat the messages that matter.
            log.exception(
                "handling message %s failed in %s; the message is dropped",
                _message_name(handler.__name__),
                type(_receiver(handler)).__name__,
            )
        usage = self.usage.get(handler.__name__)
        if usage is None:
            usage = self.usage[handler.__name__] = HandlerUsage()
        usage.seconds += time.perf_counter() - started_at
        usage.count += 1


class ThreadSystem:
    """Runs each actor on a thread of its own, with the clocks of the operating system.

    `seed` initializes the random numbers; None for a random seed.
    """

    now = staticmethod(time.monotonic)
    wall_time = staticmethod(time.time)

    def __init__(self, seed: int | None = None) -> None:
        self.random = random.Random(seed)
        self._threads: dict[str, ActorThread] = {}  # actor's name -> its thread

    def spawn(self, actors: Iterable[tuple[Actor, str]]) -> None:
        """Starts actors, given as (actor, name); all have a mailbox before the first one starts.

        Without this order, a process that is granted its lease at once may send the message
        `identity` to actors that have no mailbox yet, and the message is lost
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
        """The usage since the last call, as {actor: {message: [seconds, count]}}.

        The seconds include the time that handlers were blocked.
        """
        return {name: self._take_usage(thread) for name, thread in self._threads.items()}

    @staticmethod
    def _take_usage(thread: ActorThread) -> dict[str, list[float]]:
        """The usage of one actor since the last call, as {message: [seconds, count]}."""
        # Iterate over a copy, because the actor's thread may add handlers at the same time.
        taken = {
            _message_name(handler_name): [usage.seconds, usage.count]
            for handler_name, usage in dict(thread.usage).items()
        }
        thread.usage.clear()
        return taken
