"""A stand-in for the state service, as PROTOCOL-emberglade describes it."""

import asyncio
import time
import urllib.parse
from collections.abc import Callable
from typing import Any

from . import http1

KEPT_CHANGES = 10_000
LATENCY_S = 0.006
MAX_ROWS = 1000
MAX_PAGE_BYTES = 512 * 1024


class Bucket:
    """Allows `rate` a second, with bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate = self.level = rate
        self.at = time.monotonic()

    def take(self, amount: float) -> bool:
        """Takes an amount if it is there."""
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateService:
    """Keys, transactions, leases and watches; each controller has a port of its own.

    Attributes:
        refused: The controllers whose requests get 503 now.
        last_writer: {key: the controller that wrote it last}.
    """

    def __init__(
        self,
        rps: float,
        write_rps: float,
        value_kb: float,
        txn_ops: int,
        note: Callable[[str], None],
    ) -> None:
        self.note = note
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.changes: list[tuple[int, str, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # number -> (life, end)
        self.lease_count = 0
        self.refused: set[str] = set()
        self.last_writer: dict[str, str] = {}
        self.changed = asyncio.Condition()

    async def begin(self, controllers: list[str]) -> dict[str, str]:
        """Serves each controller; returns {controller: address}."""
        addresses = {}
        for name in controllers:
            _, port = await http1.serve(self._handler(name))
            addresses[name] = f"{http1.LOOPBACK}:{port}"
        asyncio.get_running_loop().create_task(self._expire_leases())
        return addresses

    def _handler(self, source: str) -> http1.Handler:
        async def handle(method: str, path: str, body: Any) -> tuple[int, Any]:
            await asyncio.sleep(LATENCY_S)
            if source in self.refused:
                return 503, {"error": "trouble"}
            if not self.requests.take(1):
                return 429, {}
            return await self._route(method, path, body or {}, source)

        return handle

    async def _route(self, method: str, path: str, body: Any, source: str) -> tuple[int, Any]:
        path, _, query = path.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        if path == "/txn":
            return await self._transact(body, source)
        if path == "/grants":
            return self._grant(body)
        if path.startswith("/grants/"):
            return await self._lease(method, int(path.split("/")[2]))
        if path == "/follow":
            return await self._follow(options, source)
        if path == "/store":
            return self._list(options)
        if path.startswith("/store/"):
            name = path[len("/store/") :]
            if name not in self.keys:
                return 404, {"ledger_rev": self.revision}
            data, stamp, tenure = self.keys[name]
            return 200, {"key": name, "data": data, "stamp": stamp, "tenure": tenure}
        return 400, {"error": "no such path"}

    def _list(self, options: dict[str, str]) -> tuple[int, Any]:
        under, since = options.get("under", ""), options.get("since", "")
        limit = min(MAX_ROWS, int(options.get("limit", MAX_ROWS)))
        names = sorted(key for key in self.keys if key.startswith(under) and key > since)
        rows: list[dict[str, Any]] = []
        size = 0
        for name in names[:limit]:
            row = {"key": name, "data": self.keys[name][0], "stamp": self.keys[name][1]}
            size += len(http1.encode(row))
            if rows and size > MAX_PAGE_BYTES:
                break
            rows.append(row)
        more = len(rows) < len(names)
        return 200, {"pairs": rows, "has_next": more, "ledger_rev": self.revision}

    async def _transact(self, body: Any, source: str) -> tuple[int, Any]:
        when, writes = body.get("when", []), body.get("writes", [])
        if (
            len(writes) > self.txn_ops
            or len(when) > 4 * self.txn_ops
            or len(http1.encode(body)) > http1.MAX_BYTES
            or any(len(http1.encode(row.get("data"))) > self.value_bytes for row in writes)
        ):
            self.note(f"{source}: a transaction of {len(http1.encode(body))} bytes gets 400")
            return 400, {"error": "too large"}
        if not self.writes.take(len(writes)):
            return 429, {}
        if any(
            row.get("tenure") is not None and row["tenure"] not in self.leases for row in writes
        ):
            return 400, {"error": "no such lease"}
        failed = [row["key"] for row in when if self.stamp(row["key"]) != row["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if writes:
            await self._apply(writes, source)
        return 200, {"ledger_rev": self.revision}

    def stamp(self, key: str) -> int:
        """The revision of a key's last change; 0 if there is no such key."""
        return self.keys[key][1] if key in self.keys else 0

    async def _apply(self, writes: list[dict[str, Any]], source: str) -> None:
        self.revision += 1
        for row in writes:
            if "put" in row:
                key = row["put"]
                self.keys[key] = row["data"], self.revision, row.get("tenure")
                change = {"put": key, "data": row["data"], "stamp": self.revision}
            else:
                key = row["remove"]
                self.keys.pop(key, None)
                change = {"remove": key, "stamp": self.revision}
            self.last_writer[key] = source
            self.changes.append((self.revision, key, change))
        del self.changes[:-KEPT_CHANGES]
        async with self.changed:
            self.changed.notify_all()

    async def _follow(self, options: dict[str, str], source: str) -> tuple[int, Any]:
        under, since = options.get("under", ""), int(options.get("since", 0))
        end = time.monotonic() + min(60.0, int(options.get("wait_ms", 0)) / 1000)
        if self.changes and since < self.changes[0][0] - 1:
            return 410, {}
        while True:
            news = [row for at, key, row in self.changes if at > since and key.startswith(under)]
            left = end - time.monotonic()
            if source not in self.refused and (news or left <= 0):
                return 200, {"ledger_rev": self.revision, "news": news}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.05, min(left, 0.5)))
                except TimeoutError:
                    continue

    # --- leases

    def _grant(self, body: Any) -> tuple[int, Any]:
        life_s = body["life_ms"] / 1000
        self.lease_count += 1
        self.leases[self.lease_count] = life_s, time.monotonic() + life_s
        return 200, {"tenure": self.lease_count}

    async def _lease(self, method: str, number: int) -> tuple[int, Any]:
        if number not in self.leases:
            return 404, {}
        if method == "DELETE":
            await self._end_lease(number)
            return 200, {}
        life_s, _ = self.leases[number]
        self.leases[number] = life_s, time.monotonic() + life_s
        return 200, {}

    async def _end_lease(self, number: int) -> None:
        del self.leases[number]
        gone = [{"remove": key} for key, row in self.keys.items() if row[2] == number]
        if gone:
            await self._apply(gone, "lease end")

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for number in [number for number, (_, end) in self.leases.items() if end < now]:
                await self._end_lease(number)
