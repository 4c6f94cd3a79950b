"""Where a running controller's processor time and memory go, as one log line an interval.

The line holds a JSON object, so that `python3 run.py profile` can sum up many of them
(`account_profile.py`).
"""

import logging
import os
import threading
import time
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING, Any

import orjson

if TYPE_CHECKING:
    from .actors import ThreadSystem
    from .controller import Controller
    from .transport import Server

log = logging.getLogger("emberglade.accounts")

ACCOUNT_MARK = "account "  # what stands before the JSON object in the log line
ACCOUNT_INTERVAL_S = 60.0
SHOWN_SHARE = 0.001  # of the interval; messages that took less are summed up as "other"
OTHER = "other"
MEGABYTE = 1024 * 1024


def resident_bytes() -> int:
    """The memory that this process holds now, or 0 where the platform doesn't say."""
    try:
        with open("/proc/self/statm", "rb") as source:
            return int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


def summarize_messages(
    messages: Mapping[str, Sequence[Any]], interval_s: float
) -> dict[str, list[Any]]:
    """{message: [seconds, count]} of what matters, the largest first."""
    shown, other_s, other_count = {}, 0.0, 0
    for name, (seconds, count) in sorted(messages.items(), key=lambda item: -item[1][0]):
        if seconds >= SHOWN_SHARE * interval_s:
            shown[name] = [round(seconds, 4), count]
        else:
            other_s += seconds
            other_count += count
    if other_count:
        shown[OTHER] = [round(other_s, 4), other_count]
    return shown


class Accountant:
    """Writes an account of the interval that has just passed."""

    def __init__(
        self,
        system: "ThreadSystem",
        controller: "Controller",
        servers: Sequence["Server"],
        interval_s: float = ACCOUNT_INTERVAL_S,
    ) -> None:
        self.system = system
        self.controller = controller
        self.servers = servers
        self.interval_s = interval_s
        self.processor_s = time.process_time()
        self.begun = time.monotonic()

    def start(self) -> None:
        """Accounts on a thread of its own until the process ends."""
        threading.Thread(target=self._run, name="accounts", daemon=True).start()

    def _run(self) -> None:
        while True:
            time.sleep(self.interval_s)
            log.info("%s%s", ACCOUNT_MARK, orjson.dumps(self.collect()).decode())

    def collect(self) -> dict[str, Any]:
        """The account since the last call."""
        now = time.monotonic()
        processor_s = time.process_time()
        elapsed_s = max(now - self.begun, 1e-9)
        spent_s = processor_s - self.processor_s
        self.begun = now
        self.processor_s = processor_s
        return {
            **self._identity(),
            "elapsed_s": round(elapsed_s, 3),
            "processor_s": round(spent_s, 3),
            **self._resources(),
            **self._kept(),
            "actors": {
                name: summarize_messages(messages, elapsed_s)
                for name, messages in self.system.take_account().items()
            },
        }

    def _identity(self) -> dict[str, Any]:
        """Which controller this is, whether it leads, and how many shards it holds."""
        controller = self.controller
        node = controller.store.settings.node
        identity = (node, controller.job_manager.incarnation)
        return {
            "node": node,
            "leads": controller.autoscaler.leading,
            "shards": sum(
                owner[:2] == identity for owner in list(controller.job_manager.owners.values())
            ),
        }

    def _resources(self) -> dict[str, Any]:
        """What the process holds of memory, threads and connections."""
        return {
            "memory_mb": round(resident_bytes() / MEGABYTE, 1),
            "threads": threading.active_count(),
            "connections": sum(server.connection_count for server in self.servers),
            "user_connections": sum(server.connections.user_count for server in self.servers),
            "evicted": sum(server.connections.evicted for server in self.servers),
            "refused": sum(server.connections.refused for server in self.servers),
        }

    def _kept(self) -> dict[str, Any]:
        """How much the controller keeps, and what it takes its peers for."""
        controller = self.controller
        return {
            "live_keys": len(controller.store.replica),
            "jobs": len(controller.job_manager.jobs),
            "machines": len(controller.agents.evidence.last_seen),
            "reporting_here": len(controller.agents.records.by_machine),
            "final_states": len(controller.user_api.lookup.final_states),
            "failure_detection": controller.peer_monitor and controller.peer_monitor.account(),
        }
