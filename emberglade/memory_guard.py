"""Sheds what can be spared when memory runs short, before the platform ends the process.

Final states kept at hand are dropped, since the store has them, and new submissions are put off.
Questions and cancellations are answered all the same: being ended and starting again would cost
their users less than minutes without an answer.
"""

import logging
import threading
import time
from collections.abc import Callable

from .accounting import MEGABYTE, resident_bytes

log = logging.getLogger("emberglade.memory")

HIGH_SHARE = 0.85  # of the limit: from here on memory is short
LOW_SHARE = 0.75  # below this it no longer is
CHECK_INTERVAL_S = 2.0


class MemoryGuard:
    """Watches the process's memory and tells the users' API when it is short."""

    def __init__(
        self,
        limit_mb: float,
        notify_pressure: Callable[[bool], None],
        describe: Callable[[], str],
        resident: Callable[[], float] = resident_bytes,
        interval_s: float = CHECK_INTERVAL_S,
    ) -> None:
        self.limit = limit_mb * MEGABYTE
        self.notify_pressure = notify_pressure
        self.describe = describe
        self.resident = resident
        self.interval_s = interval_s
        self.short = False

    def start(self) -> None:
        """Watches on a thread of its own until the process ends."""
        threading.Thread(target=self._run, name="memory", daemon=True).start()

    def _run(self) -> None:
        while True:
            time.sleep(self.interval_s)
            self.check()

    def check(self) -> None:
        """Looks once; tells of each change."""
        share = self.resident() / self.limit
        short = share > (LOW_SHARE if self.short else HIGH_SHARE)
        if short == self.short:
            return
        self.short = short
        log.warning(
            "memory is %s: %.0f %% of %.0f MB; %s",
            "short, submissions are put off" if short else "enough again",
            100 * share,
            self.limit / MEGABYTE,
            self.describe(),
        )
        self.notify_pressure(short)
