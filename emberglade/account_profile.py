"""Reads accounts from controllers' logs and summarizes them, for `python3 run.py profile`."""

from collections.abc import Iterable, Iterator, Sequence
from typing import Any

import orjson

from . import accounting
from .accounting import ACCOUNT_MARK

Account = dict[str, Any]

RANGE_FIELDS = (
    "memory_mb",
    "threads",
    "connections",
    "live_keys",
    "jobs",
    "machines",
    "final_states",
)


def read_accounts(lines: Iterable[str]) -> Iterator[Account]:
    """The accounts in the lines of one or more controllers' logs."""
    for line in lines:
        _, found, text = line.partition(f"{accounting.log.name}: {ACCOUNT_MARK}")
        if found:
            try:
                yield orjson.loads(text)
            except ValueError:
                accounting.log.debug("account line skipped: its JSON is malformed or truncated")


def render(accounts: Iterable[Account]) -> str:
    """A table for each controller: processor time by actor and message, and resource use."""
    by_controller: dict[str, list[Account]] = {}
    for account in accounts:
        by_controller.setdefault(account["node"], []).append(account)
    return "\n".join(
        line
        for controller in sorted(by_controller)
        for line in _render_controller(controller, by_controller[controller])
    )


def _render_controller(controller: str, accounts: Sequence[Account]) -> Iterator[str]:
    elapsed_s = sum(account["elapsed_s"] for account in accounts)
    processor_s = sum(account["processor_s"] for account in accounts)
    led = sum(account["leads"] for account in accounts)
    yield (
        f"{controller}: {elapsed_s:.0f} s in {len(accounts)} accounts, led in {led} of them; "
        f"processor {100 * processor_s / elapsed_s:.1f} %"
    )
    for field in RANGE_FIELDS:
        values = [account[field] for account in accounts]
        yield f"  {field}: {min(values):g} to {max(values):g}"
    last = accounts[-1].get("failure_detection")
    if last:
        yield _render_peers(last)
    yield from _render_messages(accounts, elapsed_s)


def _render_peers(detection: dict[str, Any]) -> str:
    peers = ", ".join(f"{name} {state}" for name, state in sorted(detection["peers"].items()))
    return (
        f"  peers: {detection['suspicions']} suspicions, {detection['deaths']} deaths, "
        f"{detection['refused_statements']} statements refused; in the end {peers}"
    )


def _render_messages(accounts: Sequence[Account], elapsed_s: float) -> Iterator[str]:
    """A line for each message of each actor, in descending order of time."""
    totals = _total_messages(accounts)
    for (actor, message), (seconds, count) in sorted(totals.items(), key=lambda item: -item[1][0]):
        if count:
            yield (
                f"  {actor}.{message}: {100 * seconds / elapsed_s:.2f} %, "
                f"{count / elapsed_s:.1f} a second, "
                f"{1e6 * seconds / count:.0f} microseconds each"
            )


def _total_messages(accounts: Sequence[Account]) -> dict[tuple[str, str], list[Any]]:
    """(actor, message) -> [seconds, count], added up over all accounts."""
    totals: dict[tuple[str, str], list[Any]] = {}
    for account in accounts:
        for actor, messages in account["actors"].items():
            for message, (seconds, count) in messages.items():
                total = totals.setdefault((actor, message), [0.0, 0])
                total[0] += seconds
                total[1] += count
    return totals
