"""Reduces memory use when memory is low, before the platform kills the process.

The cache of final states is cleared, since the store has them, and new submissions get 503. Polls
and cancellations are still served, although the platform may kill the process as a result. The
restart interrupts the users of the API for less time than refusing polls and cancellations for
minutes would.
"""

import logging
import threading
import time
from collections.abc import Callable

from .accounting import MEGABYTE, resident_bytes

log = logging.getLogger("emberglade.memory")

# Shares of the memory limit. Memory becomes low when use rises above HIGH_WATERMARK, and normal
# again when use falls to LOW_WATERMARK or below.
HIGH_WATERMARK = 0.85
LOW_WATERMARK = 0.75
CHECK_INTERVAL_S = 2.0


class MemoryGuard:
    """Checks the process's memory use; notifies the user API when memory becomes low or normal."""

    def __init__(
        self,
        limit_mb: float,
        notify_pressure: Callable[[bool], None],
        describe: Callable[[], str],
        resident: Callable[[], float] = resident_bytes,
        interval_s: float = CHECK_INTERVAL_S,
    ) -> None:
        self.limit_bytes = limit_mb * MEGABYTE
        self.notify_pressure = notify_pressure
        self.describe = describe
        self.resident = resident
        self.interval_s = interval_s
        self.is_low = False  # whether memory is scarce, as the watermarks define it

    def start(self) -> None:
        """Starts a thread that checks memory use until the process ends."""
        threading.Thread(target=self._run, name="memory", daemon=True).start()

    def _run(self) -> None:
        while True:
            time.sleep(self.interval_s)
            self.check()

    def check(self) -> None:
        """Checks memory use once; logs and reports a change between low and normal."""
        share = self.resident() / self.limit_bytes
        is_low = share > (LOW_WATERMARK if self.is_low else HIGH_WATERMARK)
        if is_low == self.is_low:
            return
        self.is_low = is_low
        log.warning(
            "memory %s: %.0f %% of %.0f MB in use; %s",
            "low, new submissions get 503" if is_low else "normal, submissions are accepted again",
            100 * share,
            self.limit_bytes / MEGABYTE,
            self.describe(),
        )
        self.notify_pressure(is_low)
