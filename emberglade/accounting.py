"""Accounts of a running controller's processor time and memory: one log line per interval.

Each line holds a JSON object; `python3 run.py profile` summarizes them (`account_profile.py`).
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

ACCOUNT_MARK = "account "  # precedes the JSON object in the log line
ACCOUNT_INTERVAL_S = 60.0
MIN_SHOWN_SHARE = 0.001  # messages with a smaller share of the interval are added up as "other"
OTHER = "other"
MEGABYTE = 1024 * 1024


def resident_bytes() -> int:
    """The resident memory of this process, or 0 if the platform does not report it."""
    try:
        with open("/proc/self/statm", "rb") as source:
            return int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


def summarize_messages(
    messages: Mapping[str, Sequence[Any]], interval_s: float
) -> dict[str, list[Any]]:
    """{message: [seconds, count]} in descending order of time.

    Messages that took less than MIN_SHOWN_SHARE of the interval are added up as OTHER.
    """
    shown, other_s, other_count = {}, 0.0, 0
    for name, (seconds, count) in sorted(messages.items(), key=lambda item: -item[1][0]):
        if seconds >= MIN_SHOWN_SHARE * interval_s:
            shown[name] = [round(seconds, 4), count]
        else:
            other_s += seconds
            other_count += count
    if other_count:
        shown[OTHER] = [round(other_s, 4), other_count]
    return shown


class Accountant:
    """Logs an account of each interval."""

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
        self.interval_start = time.monotonic()

    def start(self) -> None:
        """Starts a thread that logs accounts until the process ends."""
        threading.Thread(target=self._run, name="accounts", daemon=True).start()

    def _run(self) -> None:
        while True:
            time.sleep(self.interval_s)
            log.info("%s%s", ACCOUNT_MARK, orjson.dumps(self.collect()).decode())

    def collect(self) -> dict[str, Any]:
        """The account of the time since the previous call."""
        now = time.monotonic()
        processor_s = time.process_time()
        elapsed_s = max(now - self.interval_start, 1e-9)
        used_s = processor_s - self.processor_s
        self.interval_start = now
        self.processor_s = processor_s
        return {
            **self._identity(),
            "elapsed_s": round(elapsed_s, 3),
            "processor_s": round(used_s, 3),
            **self._resources(),
            **self._state_counts(),
            "actors": {
                name: summarize_messages(messages, elapsed_s)
                for name, messages in self.system.take_account().items()
            },
        }

    def _identity(self) -> dict[str, Any]:
        """Which controller this is, whether it is leader, and how many shards it owns."""
        controller = self.controller
        node = controller.store.settings.node
        identity = (node, controller.job_manager.incarnation)
        return {
            "node": node,
            "leads": controller.autoscaler.is_leader,
            "shards": sum(
                owner[:2] == identity for owner in list(controller.job_manager.owners.values())
            ),
        }

    def _resources(self) -> dict[str, Any]:
        """The process's use of memory, threads and connections."""
        return {
            "memory_mb": round(resident_bytes() / MEGABYTE, 1),
            "threads": threading.active_count(),
            "connections": sum(server.connection_count for server in self.servers),
            "user_connections": sum(server.connections.user_count for server in self.servers),
            "evicted": sum(server.connections.evicted for server in self.servers),
            "refused": sum(server.connections.refused for server in self.servers),
        }

    def _state_counts(self) -> dict[str, Any]:
        """The size of the controller's state, and the states that it assigns to its peers."""
        controller = self.controller
        return {
            "live_keys": len(controller.store.replica),
            "jobs": len(controller.job_manager.jobs),
            "machines": len(controller.agents.evidence.last_seen),
            "reporting_here": len(controller.agents.records.by_machine),
            "final_states": len(controller.user_api.lookup.final_states),
            "failure_detection": controller.peer_monitor and controller.peer_monitor.account(),
        }
