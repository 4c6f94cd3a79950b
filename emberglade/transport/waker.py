"""Wakes up a thread that waits in a selector."""

import os
import selectors
import threading

DRAIN_BYTES = 4096


class Waker:
    """A self-pipe that wakes up a thread waiting in a selector.

    The pipe stays open until the process ends: a thread may still reply after the server has
    stopped, and the descriptor of a closed pipe could be reused for something else.
    """

    def __init__(self, selector: selectors.BaseSelector) -> None:
        """Registers the pipe in `selector`, with the waker as the data of the selector key."""
        self._reader, self._writer = os.pipe()
        self._waiting_thread: int | None = None
        os.set_blocking(self._reader, False)
        selector.register(self._reader, selectors.EVENT_READ, self)

    def set_waiting_thread(self) -> None:
        """Marks the caller's thread as the one that waits in the selector."""
        self._waiting_thread = threading.get_ident()

    def wake(self) -> None:
        """Wakes up the waiting thread, unless that is the caller's own."""
        if threading.get_ident() != self._waiting_thread:
            os.write(self._writer, b"w")

    def drain(self) -> None:
        """Discards pending wake-ups; called when the pipe is readable."""
        os.read(self._reader, DRAIN_BYTES)
