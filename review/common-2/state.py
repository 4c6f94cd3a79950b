"""A state service: keys, transactions, leases, watches and limits, as the protocol page says."""

import itertools
import json
import threading
import time
import urllib.parse
from typing import Any

from servers import HttpServer, Record

KEPT_CHANGES = 10_000
MAX_ITEMS, MAX_PAGE_BYTES = 1000, 512 * 1024
TRANSACTION_BYTES = 64 * 1024
CONDITIONS_PER_WRITE = 4
LEASE_CHECK_S = 0.05

Answer = tuple[int, Any]


class TokenBucket:
    """A limit per second, with bursts of `burst_s` seconds' worth."""

    def __init__(self, rate: float, burst_s: float) -> None:
        """Starts full."""
        self.rate, self.size = rate, rate * burst_s
        self._tokens, self._filled_at = self.size, time.monotonic()

    def take(self, amount: float) -> bool:
        """Takes `amount` if there is as much; returns whether there was."""
        now = time.monotonic()
        self._tokens = min(self.size, self._tokens + (now - self._filled_at) * self.rate)
        self._filled_at = now
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True


class StateService:
    """The state service, with a port for each controller.

    Attributes:
        refused: The controllers whose requests get 503.
    """

    def __init__(self, settings: dict[str, Any], controllers: list[str], record: Record) -> None:
        """Starts a port for each controller; `settings` is the table `settings.state`."""
        self.settings, self.record = settings, record
        self.refused: set[str] = set()
        self._lock = threading.Condition()
        self._keys: dict[str, tuple[Any, int, int | None]] = {}  # key -> (data, stamp, lease)
        self._revision = 0
        self._changes: list[tuple[int, str, dict[str, Any]]] = []
        self._leases: dict[int, tuple[float, float]] = {}  # lease -> (life, end)
        self._next_lease = 1
        self._requests = TokenBucket(settings["rps"], 1.0)
        self._writes = TokenBucket(settings["write_rps"], 1.0)
        self.servers = {name: HttpServer(self._handler(name)) for name in controllers}
        threading.Thread(target=self._end_leases, daemon=True).start()

    def address(self, controller: str) -> str:
        """The address for one controller."""
        return self.servers[controller].address

    def get(self, key: str) -> Any:
        """The data of a key, or None."""
        with self._lock:
            row = self._keys.get(key)
            return None if row is None else row[0]

    def count(self, prefix: str) -> int:
        """The number of keys below a prefix."""
        with self._lock:
            return sum(key.startswith(prefix) for key in self._keys)

    def _handler(self, controller: str) -> Any:
        return lambda method, path, body: self._handle(controller, method, path, body)

    def _handle(self, controller: str, method: str, path: str, body: Any) -> Answer:
        if controller in self.refused:
            return 503, {"error": "trouble"}
        path, _, query = path.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        with self._lock:
            if not self._requests.take(1):
                return 429, {"error": "too many requests"}
            if path == "/txn":
                return self._transact(body)
            if path == "/follow":
                return self._follow(options)
            if path == "/store":
                return 200, self._list(options)
            if path.startswith("/store/"):
                return self._read(path.removeprefix("/store/"))
            if path.startswith("/grants"):
                return self._lease(method, path.split("/")[2:], body)
        return 400, {"error": "no such path"}

    # --- keys

    def _read(self, key: str) -> Answer:
        row = self._keys.get(key)
        if row is None:
            return 404, {"ledger_rev": self._revision}
        return 200, {"key": key, "data": row[0], "stamp": row[1], "tenure": row[2]}

    def _list(self, options: dict[str, str]) -> dict[str, Any]:
        under, since = options.get("under", ""), options.get("since", "")
        limit = min(int(options.get("limit", MAX_ITEMS)), MAX_ITEMS)
        names = sorted(key for key in self._keys if key.startswith(under) and key > since)
        pairs: list[dict[str, Any]] = []
        size = 0
        for name in names[:limit]:
            pair = {"key": name, "data": self._keys[name][0], "stamp": self._keys[name][1]}
            size += len(json.dumps(pair)) + 2
            if pairs and size > MAX_PAGE_BYTES:
                break
            pairs.append(pair)
        return {
            "pairs": pairs,
            "has_next": len(pairs) < len(names),
            "ledger_rev": self._revision,
        }

    def _follow(self, options: dict[str, str]) -> Answer:
        under, since = options.get("under", ""), int(options.get("since", 0))
        until = time.monotonic() + min(60_000, int(options.get("wait_ms", 0))) / 1000
        while True:
            if self._changes and since < self._changes[0][0] - 1:
                return 410, {"error": "too old"}
            newer = itertools.takewhile(lambda row: row[0] > since, reversed(self._changes))
            news = [change for _, key, change in newer if key.startswith(under)]
            news.reverse()
            left = until - time.monotonic()
            if news or left <= 0:
                return 200, {"ledger_rev": self._revision, "news": news}
            self._lock.wait(left)

    def _transact(self, body: dict[str, Any]) -> Answer:
        when, writes = body.get("when") or [], body.get("writes") or []
        limit = self.settings["txn_ops"]
        value_bytes = self.settings["value_kb"] * 1024
        if (
            len(writes) > limit
            or len(when) > CONDITIONS_PER_WRITE * limit
            or len(json.dumps(body, separators=(",", ":"))) > TRANSACTION_BYTES
            or any(
                len(json.dumps(write["data"], separators=(",", ":"))) > value_bytes
                for write in writes
                if "put" in write
            )
        ):
            self.record.note(f"state service: 400 too large: {len(writes)} writes")
            return 400, {"error": "too large"}
        if not self._writes.take(len(writes)):
            return 429, {"error": "too many changes"}
        if any(write.get("tenure") not in (None, *self._leases) for write in writes):
            return 400, {"error": "no such lease"}
        failed = [row["key"] for row in when if self._stamp(row["key"]) != row["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self._revision}
        if writes:
            self._apply(writes)
        return 200, {"ledger_rev": self._revision}

    def _stamp(self, key: str) -> int:
        row = self._keys.get(key)
        return 0 if row is None else row[1]

    def _apply(self, writes: list[dict[str, Any]]) -> None:
        self._revision += 1
        for write in writes:
            if "put" in write:
                key = write["put"]
                self._keys[key] = (write["data"], self._revision, write.get("tenure"))
                change = {"put": key, "data": write["data"], "stamp": self._revision}
            else:
                key = write["remove"]
                self._keys.pop(key, None)
                change = {"remove": key, "stamp": self._revision}
            self._changes.append((self._revision, key, change))
        del self._changes[:-KEPT_CHANGES]
        self._lock.notify_all()

    # --- leases

    def _lease(self, method: str, parts: list[str], body: Any) -> Answer:
        now = time.monotonic()
        if not parts:
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            life_s = body["life_ms"] / 1000
            self._leases[lease] = (life_s, now + life_s)
            return 200, {"tenure": lease}
        lease = int(parts[0])
        if lease not in self._leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end(lease)
        else:
            life_s, _ = self._leases[lease]
            self._leases[lease] = (life_s, now + life_s)
        return 200, {"tenure": lease}

    def _end(self, lease: int) -> None:
        del self._leases[lease]
        gone = [{"remove": key} for key, row in self._keys.items() if row[2] == lease]
        if gone:
            self._apply(gone)

    def _end_leases(self) -> None:
        while True:
            time.sleep(LEASE_CHECK_S)
            with self._lock:
                now = time.monotonic()
                for lease in [lease for lease, (_, end) in self._leases.items() if end < now]:
                    self._end(lease)
