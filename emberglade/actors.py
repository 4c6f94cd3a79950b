"""Actors: objects that own their state and are spoken to by messages.

A message is a call of one of the actor's handlers, made later and in the actor's own turn:
`tell(store.on_sync, reply)` has the store's thread run `on_sync(reply)`. Handlers are the methods
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
from collections.abc import Callable
from typing import Any, ParamSpec

log = logging.getLogger("emberglade.actors")

Arguments = ParamSpec("Arguments")
HANDLER_PREFIX = "on_"


class Actor:
    """Base of all actors. Subclasses define `on_<message>` and may define `on_begin`.

    Attributes:
        system: The clock and the random numbers of whoever runs the actor.
    """

    # Set by whoever runs the actor; `_post(delay_s, handler, args)`.
    _post: Any = None
    _tell_inline: Any = None
    system: Any = None

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
    def _post(self) -> Any:
        return self.actor._post

    @property
    def _tell_inline(self) -> Any:
        return self.actor._tell_inline

    @property
    def system(self) -> Any:
        """The clock and the random numbers of whoever runs the actor."""
        return self.actor.system

    def now(self) -> float:
        """The steady clock, in seconds."""
        return self.actor.system.now()


def tell(
    handler: Callable[Arguments, Any], *args: Arguments.args, **kwargs: Arguments.kwargs
) -> None:
    """Has an actor run one of its handlers with these arguments, in its own turn.

    Messages from one sender are handled in the order in which they were told.
    """
    assert not kwargs, "messages have no keyword arguments"
    _owner(handler)._post(0.0, handler, args)


def tell_after(delay_s: float, handler: Callable[..., Any], *args: Any) -> None:
    """Like `tell`, but `delay_s` seconds from now."""
    _owner(handler)._post(delay_s, handler, args)


def tell_inline(handler: Callable[..., Any], *args: Any) -> None:
    """Like `tell`, but in the caller's thread if the actor has nothing else to do just now.

    It is still one message at a time, in the actor's own turn. Two changes of threads a heartbeat
    cost more than the heartbeat.
    """
    actor = _owner(handler)
    if actor._tell_inline is None:
        actor._post(0.0, handler, args)
    else:
        actor._tell_inline(handler, args)


def callback(handler: Callable[..., Any], *context: Any) -> Callable[..., None]:
    """A callable that tells `handler` with `context` and whatever it is called with."""
    post = _owner(handler)._post
    return lambda *result: post(0.0, handler, context + result)


def callback_inline(handler: Callable[..., Any], *context: Any) -> Callable[..., None]:
    """Like `callback`, with `tell_inline`."""
    return lambda *result: tell_inline(handler, *context, *result)


def _owner(handler: Callable[..., Any]) -> Actor | ActorPart:
    """The actor, or the part of one, whose bound method a handler is."""
    return handler.__self__  # type: ignore[attr-defined]


class ThreadSystem:
    """Runs each actor on a thread of its own, on the real clock."""

    def __init__(self, seed=None):
        self.random = random.Random(seed)
        self.now = time.monotonic
        self.wall = time.time
        self.busy = {}  # actor's name -> {handler's name: [seconds, count]}

    def spawn(self, actors):
        """Begins all of these (actor, name). Each can be spoken to before any of them begins.

        Once broken: a process that was back at once had its lease before the last actor had its
        mailbox, and went on for ever with actors that had not been told who they are
        (actors/message_before_begin.txt).
        """
        for thread in [self._prepare(actor, name) for actor, name in actors]:
            thread.start()

    def _prepare(self, actor, name):
        actor.system = self
        mailbox = queue.SimpleQueue()
        actor._post = lambda delay_s, handler, args: mailbox.put(
            (self.now() + delay_s if delay_s > 0 else 0.0, handler, args)
        )
        account = self.busy[name] = {}
        turn = threading.Lock()  # held by whichever thread delivers a message to this actor
        turn.acquire()  # until it has begun

        def deliver_inline(handler, args):
            if not mailbox.empty() or not turn.acquire(blocking=False):
                mailbox.put((0.0, handler, args))
                return
            try:
                self._deliver(handler, args, account)
            finally:
                turn.release()

        actor._tell_inline = deliver_inline
        return threading.Thread(
            target=self._run, args=(actor, mailbox, turn, account), name=name, daemon=True
        )

    def take_account(self):
        """{actor: {message: [seconds, count]}} since the last call, waits included."""
        taken = {}
        for name, account in self.busy.items():
            taken[name] = {
                handler_name.removeprefix(HANDLER_PREFIX): row
                for handler_name, row in dict(account).items()
            }
            account.clear()
        return taken

    def _run(self, actor, mailbox, turn, account):
        self._deliver(actor.on_begin, (), account)
        turn.release()
        timers, order = [], itertools.count()
        while True:
            wait = None
            if timers:
                wait = timers[0][0] - self.now()
                if wait <= 0:
                    _, _, handler, args = heapq.heappop(timers)
                    with turn:
                        self._deliver(handler, args, account)
                    # Mail is not starved by timers that are always due.
                    wait = 0
            try:
                due, handler, args = (
                    mailbox.get(timeout=wait) if wait != 0 else mailbox.get_nowait()
                )
            except queue.Empty:
                continue
            if due:
                heapq.heappush(timers, (due, next(order), handler, args))
            else:
                with turn:
                    self._deliver(handler, args, account)

    @staticmethod
    def _deliver(handler, args, account):
        begun = time.perf_counter()
        try:
            handler(*args)
        except Exception:
            # One bad message must not end the controller; its sender repeats what matters.
            log.exception(
                "message %s to %s failed; it is dropped",
                handler.__name__.removeprefix(HANDLER_PREFIX),
                type(_owner(handler)).__name__,
            )
        row = account.get(handler.__name__)
        if row is None:
            row = account[handler.__name__] = [0.0, 0]
        row[0] += time.perf_counter() - begun
        row[1] += 1
