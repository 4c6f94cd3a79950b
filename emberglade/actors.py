"""Actors: objects that own their state and are spoken to by messages.

A message is a name and arguments; `tell("x", 1)` runs `on_x(1)` in the actor's own turn.
`ThreadSystem` gives each actor a thread, a mailbox and a turn; the tests run the same actors on
simulated time. Own layer instead of Pykka: see docs/design.md, "Libraries".
"""

import heapq
import itertools
import logging
import queue
import random
import threading
import time
from typing import Any

log = logging.getLogger("emberglade.actors")


class Actor:
    """Base of all actors. Subclasses define `on_<message>` and may define `on_begin`."""

    # Set by whoever runs the actor.
    _post: Any = None
    _tell_inline: Any = None
    system: Any = None

    def tell(self, message, *args):
        self._post(0.0, message, args)

    def tell_inline(self, message, *args):
        """Like `tell`, but in the caller's thread if the actor has nothing else to do just now.

        It is still one message at a time, in the actor's own turn. Two changes of threads a report
        cost more than the report.
        """
        if self._tell_inline is None:
            self._post(0.0, message, args)
        else:
            self._tell_inline(message, args)

    def then_inline(self, message, *context):
        """Like `then`, with `tell_inline`."""
        return lambda *result: self.tell_inline(message, *context, *result)

    def after(self, delay, message, *args):
        self._post(delay, message, args)

    def then(self, message, *context):
        """A callable that sends `message` with `context` and whatever it is called with."""
        return lambda *result: self._post(0.0, message, context + result)

    def now(self):
        return self.system.now()

    def receive(self, message, args):
        getattr(self, "on_" + message)(*args)

    def on_begin(self):
        """First message of every actor."""


class ThreadSystem:
    """Runs each actor on a thread of its own, on the real clock."""

    def __init__(self, seed=None):
        self.random = random.Random(seed)
        self.now = time.monotonic
        self.wall = time.time
        self.busy = {}  # actor's name -> {message: [seconds, count]}

    def spawn(self, actors):
        """Begins all of these (actor, name). Each can be spoken to before any of them begins.

        Once broken: a process that was back at once had its lease before the last actor had its
        mailbox, and went on for ever with actors that had not been told who they are
        (actors/all_before_any.txt).
        """
        for thread in [self._prepare(actor, name) for actor, name in actors]:
            thread.start()

    def _prepare(self, actor, name):
        actor.system = self
        mailbox = queue.SimpleQueue()
        actor._post = lambda delay, message, args: mailbox.put(
            (self.now() + delay if delay > 0 else 0.0, message, args)
        )
        account = self.busy[name] = {}
        turn = threading.Lock()  # held by whichever thread delivers a message to this actor
        turn.acquire()  # until it has begun

        def tell_inline(message, args):
            if not mailbox.empty() or not turn.acquire(blocking=False):
                mailbox.put((0.0, message, args))
                return
            try:
                self._deliver(actor, message, args, account)
            finally:
                turn.release()

        actor._tell_inline = tell_inline
        return threading.Thread(
            target=self._run, args=(actor, mailbox, turn, account), name=name, daemon=True
        )

    def take_account(self):
        """{actor: {message: [seconds, count]}} since the last call, waits included."""
        taken = {}
        for name, account in self.busy.items():
            taken[name] = dict(account)
            account.clear()
        return taken

    def _run(self, actor, mailbox, turn, account):
        self._deliver(actor, "begin", (), account)
        turn.release()
        timers, order = [], itertools.count()
        while True:
            wait = None
            if timers:
                wait = timers[0][0] - self.now()
                if wait <= 0:
                    _, _, message, args = heapq.heappop(timers)
                    with turn:
                        self._deliver(actor, message, args, account)
                    # Mail is not starved by timers that are always due.
                    wait = 0
            try:
                due, message, args = (
                    mailbox.get(timeout=wait) if wait != 0 else mailbox.get_nowait()
                )
            except queue.Empty:
                continue
            if due:
                heapq.heappush(timers, (due, next(order), message, args))
            else:
                with turn:
                    self._deliver(actor, message, args, account)

    @staticmethod
    def _deliver(actor, message, args, account):
        begun = time.perf_counter()
        try:
            actor.receive(message, args)
        except Exception:
            # One bad message must not end the controller; its sender repeats what matters.
            log.exception("message %s to %s failed; it is dropped", message, type(actor).__name__)
        row = account.get(message)
        if row is None:
            row = account[message] = [0.0, 0]
        row[0] += time.perf_counter() - begun
        row[1] += 1
