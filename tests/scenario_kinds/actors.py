"""Actors on real threads."""

import queue
import threading
import time

from emberglade.actors import (
    Actor,
    ActorPart,
    ThreadSystem,
    callback,
    tell,
    tell_after,
    tell_inline,
)


class Counter(Actor):
    """An actor that would count wrongly if two messages were handled at once."""

    greetings = 0

    def on_begin(self):
        self.value = 0

    def on_greet(self):
        self.greetings += 1

    def on_add(self):
        value = self.value
        time.sleep(0)  # gives other threads the chance to come in between
        self.value = value + 1

    def on_ask(self, field, reply):
        reply(getattr(self, field))


class CountingPart(ActorPart):
    """A part whose handlers count what the actor counts, and note the threads they run on."""

    def __init__(self, counter):
        super().__init__(counter)
        self.counter = counter
        self.threads = []

    def on_add(self):
        self.counter.on_add()

    def on_note_thread(self):
        self.threads.append(threading.current_thread().name)

    def on_ask_threads(self, reply):
        reply(list(self.threads))


class Greeter(Actor):
    """Speaks to another actor as soon as it begins."""

    def __init__(self, other):
        self.other = other

    def on_begin(self):
        tell(self.other.on_greet)


class ActorsScenario:
    """Threads that tell and hand messages to one actor: it still does one at a time. A greeter
    begins before it. `part_senders` send to the actor and to a part of it in turns; `part_told`
    tells the part in each of the ways in which a message can be told to run on the actor's thread.
    """

    def __init__(self, patch, tmp_path):
        self.counter = Counter()
        self.part = CountingPart(self.counter)
        ThreadSystem().spawn([(Greeter(self.counter), "greeter"), (self.counter, "counter")])

    def step(self, verb, words):
        if verb == "senders":
            self.send_from_threads([self.counter.on_add], *words)
        elif verb == "part_senders":
            self.send_from_threads([self.counter.on_add, self.part.on_add], *words)
        elif verb == "part_told":
            tell(self.part.on_note_thread)
            tell_after(0.01, self.part.on_note_thread)
            callback(self.part.on_note_thread)()
        elif verb == "expect" and words[0] == "part_threads":
            # A timer of the part fires before this one, which is told later and due later.
            done = queue.SimpleQueue()
            tell_after(0.02, self.part.on_ask_threads, done.put)
            assert done.get(timeout=10) == words[1:]
        elif verb == "expect" and words[0] in ("counted", "greeted"):
            done = queue.SimpleQueue()
            field = "value" if words[0] == "counted" else "greetings"
            tell(self.counter.on_ask, field, done.put)
            assert done.get(timeout=10) == int(words[1])
        else:
            raise AssertionError(verb)

    @staticmethod
    def send_from_threads(handlers, thread_count, message_count):
        """Each of the threads sends so many messages, to each of the handlers in its turn."""

        def send():
            for number in range(int(message_count)):
                handler = handlers[number % len(handlers)]
                (tell if number % 3 == 0 else tell_inline)(handler)

        threads = [threading.Thread(target=send) for _ in range(int(thread_count))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
