"""Where a running controller's processor time and memory go, as one log line an interval.

The line holds a JSON object, so that `python3 run.py profile` can sum up many of them.
"""

import logging
import os
import threading
import time

import orjson

log = logging.getLogger("emberglade.accounts")

MARK = "account "  # what stands before the JSON object in the log line
SHOWN_SHARE = 0.001  # of the interval; messages that took less are summed up as "other"
OTHER = "other"
MEGABYTE = 1024 * 1024


def resident_bytes():
    """The memory that this process holds now, or 0 where the platform doesn't say."""
    try:
        with open("/proc/self/statm", "rb") as source:
            return int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


def summarize_messages(messages, interval):
    """{message: [seconds, count]} of what matters, the largest first."""
    shown, other = {}, [0.0, 0]
    for name, (seconds, count) in sorted(messages.items(), key=lambda item: -item[1][0]):
        if seconds >= SHOWN_SHARE * interval:
            shown[name] = [round(seconds, 4), count]
        else:
            other[0] += seconds
            other[1] += count
    if other[1]:
        shown[OTHER] = [round(other[0], 4), other[1]]
    return shown


class Accountant:
    """Writes an account of the interval that has just passed."""

    def __init__(self, system, node, servers, interval=60.0):
        self.system, self.node, self.servers = system, node, servers
        self.interval = interval
        self.processor_s = time.process_time()
        self.begun = time.monotonic()

    def begin(self):
        """Accounts on a thread of its own until the process ends."""
        threading.Thread(target=self._run, name="accounts", daemon=True).start()

    def _run(self):
        while True:
            time.sleep(self.interval)
            log.info("%s%s", MARK, orjson.dumps(self.take()).decode())

    def take(self):
        """The account since the last call."""
        now, processor_s = time.monotonic(), time.process_time()
        elapsed, spent = max(now - self.begun, 1e-9), processor_s - self.processor_s
        self.begun, self.processor_s = now, processor_s
        node = self.node
        return {
            "node": node.store.settings.node,
            "leads": node.autoscaler.leading,
            "shards": sum(
                holder[:2] == (node.store.settings.node, node.job_manager.incarnation)
                for holder in list(node.job_manager.holders.values())
            ),
            "elapsed_s": round(elapsed, 3),
            "processor_s": round(spent, 3),
            "memory_mb": round(resident_bytes() / MEGABYTE, 1),
            "threads": threading.active_count(),
            "connections": sum(server.connection_count for server in self.servers),
            "user_connections": sum(len(server.users) for server in self.servers),
            "evicted": sum(server.evicted for server in self.servers),
            "refused": sum(server.refused for server in self.servers),
            "live_keys": len(node.store.replica),
            "jobs": len(node.job_manager.jobs),
            "machines": len(node.agents.evidence.last_seen),
            "reporting_here": len(node.agents.records.by_machine),
            "final_states": len(node.api.final),
            "failure_detection": node.peer_monitor and node.peer_monitor.account(),
            "actors": {
                name: summarize_messages(messages, elapsed)
                for name, messages in self.system.take_account().items()
            },
        }


# --- reading accounts back, for `python3 run.py profile`


def read_accounts(lines):
    """The accounts among the lines of one or more controllers' logs."""
    for line in lines:
        _, found, text = line.partition(f"{log.name}: {MARK}")
        if found:
            try:
                yield orjson.loads(text)
            except ValueError:
                log.debug("a cut-off account is left out")


def render(accounts):
    """A table for each controller: processor time by actor and message, and what it held."""
    by_node = {}
    for account in accounts:
        by_node.setdefault(account["node"], []).append(account)
    return "\n".join(line for node in sorted(by_node) for line in _render_node(node, by_node[node]))


def _render_node(node, accounts):
    elapsed = sum(account["elapsed_s"] for account in accounts)
    processor = sum(account["processor_s"] for account in accounts)
    led = sum(account["leads"] for account in accounts)
    yield (
        f"{node}: {elapsed:.0f} s in {len(accounts)} accounts, led in {led} of them; "
        f"processor {100 * processor / elapsed:.1f} %"
    )
    for field in (
        "memory_mb",
        "threads",
        "connections",
        "live_keys",
        "jobs",
        "machines",
        "final_states",
    ):
        values = [account[field] for account in accounts]
        yield f"  {field}: {min(values):g} to {max(values):g}"
    last = accounts[-1].get("failure_detection")
    if last:
        yield (
            f"  peers: {last['suspicions']} suspicions, {last['deaths']} deaths, "
            f"{last['refused_statements']} statements refused; in the end "
            + ", ".join(f"{name} {state}" for name, state in sorted(last["peers"].items()))
        )
    totals = {}
    for account in accounts:
        for actor, messages in account["actors"].items():
            for message, (seconds, count) in messages.items():
                total = totals.setdefault((actor, message), [0.0, 0])
                total[0] += seconds
                total[1] += count
    for (actor, message), (seconds, count) in sorted(totals.items(), key=lambda item: -item[1][0]):
        if count:
            yield (
                f"  {actor}.{message}: {100 * seconds / elapsed:.2f} %, {count / elapsed:.1f} "
                f"a second, {1e6 * seconds / count:.0f} microseconds each"
            )
