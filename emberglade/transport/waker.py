"""Wakes a thread that waits in a selector."""

import os
import selectors
import threading

DRAIN_BYTES = 4096


class Waker:
    """A pipe that the thread which waits in the selector watches.

    The pipe stays open for as long as the process runs: a thread that answers late may still write
    to it, and a descriptor that was closed may be another's by then.
    """

    def __init__(self, selector: selectors.BaseSelector) -> None:
        """Watches the pipe in `selector`, with the waker itself as the data of its events."""
        self._reader, self._writer = os.pipe()
        self._waiting_thread: int | None = None
        os.set_blocking(self._reader, False)
        selector.register(self._reader, selectors.EVENT_READ, self)

    def set_waiting_thread(self) -> None:
        """The caller's thread is the one that waits in the selector."""
        self._waiting_thread = threading.get_ident()

    def wake(self) -> None:
        """Wakes the waiting thread, unless that is the caller's own."""
        if threading.get_ident() != self._waiting_thread:
            os.write(self._writer, b"w")

    def drain(self) -> None:
        """Takes in the wake-ups so far, when the selector shows that there are some."""
        os.read(self._reader, DRAIN_BYTES)
