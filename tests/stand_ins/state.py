"""A stand-in for the state service: keys, transactions, leases, watches, limits, outages."""

import urllib.parse

import orjson

TRANSACTION_BYTES = 64 * 1024


class StateService:
    """The keys, their revisions, and what is refused."""

    def __init__(self, world, rps, write_rps, value_bytes, txn_ops):
        self.world = world
        self.rps, self.write_rps, self.value_bytes, self.txn_ops = (
            rps,
            write_rps,
            value_bytes,
            txn_ops,
        )
        self.keys = {}  # key -> [data, stamp, lease]
        self.revision = 0
        self.log = []
        self.leases = {}
        self.next_lease = 0
        self.watches = []
        self.down_until = -1.0
        self.refused = {}  # node -> until
        self.level = {"requests": (rps, 0.0), "writes": (write_rps, 0.0)}
        self.written = {}  # eg/l/m and the like -> puts and removals
        self.late = (
            0.0,
            -1.0,
        )  # (share, until): transactions without an answer, carried out after newer ones
        self.late_applied = 0  # of those, how many changed something
        self.odd = 0.0  # chance of a strange answer
        self.fallen = False  # whether the limits fell: what is too large is refused from then on
        # (who, key) of the values and transactions refused for their size since
        self.refused_sizes = []
        self.refused_transactions = 0  # above TRANSACTION_BYTES in all
        self.largest_of = {}  # eg/l/m and the like -> bytes of the largest value written
        world.hosts["state"] = self.handle

    def take(self, name, amount, rate):
        level, at = self.level[name]
        level = min(rate, level + (self.world.now - at) * rate)
        allowed = level >= amount
        self.level[name] = (level - amount if allowed else level, self.world.now)
        return allowed

    def fall(self, value_bytes, txn_ops, write_rps):
        """The limits fall, without notice; what is stored stays readable."""
        self.value_bytes, self.txn_ops, self.write_rps = value_bytes, txn_ops, write_rps
        self.fallen = True

    def outage(self, seconds):
        self.down_until = self.world.now + seconds
        for lease in self.leases.values():
            lease[1] += seconds + lease[0]

    def handle(self, method, path, body, source, reply):
        if self.world.now < self.down_until or self.refused.get(source, -1) > self.world.now:
            reply(503, {"error": "trouble"})
            return
        if self.odd and self.world.random.random() < self.odd:
            reply(
                *self.world.random.choice(
                    [
                        (200, None),
                        (200, {"pairs": 7}),
                        (503, "<html>"),
                        (409, []),
                        (410, {}),
                        (429, None),
                    ]
                )
            )
            return
        if not self.take("requests", 1, self.rps):
            reply(429, {})
            return
        path, _, query = path.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        data = orjson.loads(body) if body else {}
        if (
            path == "/txn"
            and self.world.now < self.late[1]
            and self.world.random.random() < self.late[0]
        ):
            self.world.at(self.world.random.uniform(2, 12), self.apply_late, data, source)
        elif path == "/txn":
            reply(*self.txn(data, source))
        elif path == "/grants":
            self.next_lease += 1
            self.leases[self.next_lease] = [
                data["life_ms"] / 1000,
                self.world.now + data["life_ms"] / 1000,
            ]
            self.world.at(data["life_ms"] / 1000, self.expire, self.next_lease)
            reply(200, {"tenure": self.next_lease})
        elif path.startswith("/grants/"):
            lease = self.leases.get(int(path.split("/")[2]))
            if lease is None:
                reply(404, {})
            else:
                lease[1] = self.world.now + lease[0]
                reply(200, {})
        elif path == "/follow":
            since = int(options["since"])
            if self.log and since < self.log[0][0] - 1:
                reply(410, {})
            else:
                self.watches.append(
                    [
                        options["under"],
                        since,
                        self.world.now + int(options.get("wait_ms", 0)) / 1000,
                        reply,
                        source,
                    ]
                )
                self.serve_watches()
                self.world.at(int(options.get("wait_ms", 0)) / 1000, self.serve_watches)
        elif path == "/store":
            rows = sorted(
                k
                for k in self.keys
                if k.startswith(options["under"]) and k > options.get("since", "")
            )
            limit = int(options.get("limit", 1000))
            reply(
                200,
                {
                    "pairs": [
                        {"key": k, "data": self.keys[k][0], "stamp": self.keys[k][1]}
                        for k in rows[:limit]
                    ],
                    "has_next": len(rows) > limit,
                    "ledger_rev": self.revision,
                },
            )
        elif path.startswith("/store/"):
            found = self.keys.get(path[7:])
            reply(
                *(
                    (200, {"key": path[7:], "data": found[0], "stamp": found[1]})
                    if found
                    else (404, {"ledger_rev": self.revision})
                )
            )
        else:
            reply(404, {})

    def apply_late(self, data, source):
        before = self.revision
        self.txn(data, source)
        self.late_applied += self.revision > before

    def too_large(self, data, source):
        """What of a transaction is above the limits, or None."""
        writes = data.get("writes", [])
        if len(writes) > self.txn_ops or len(data.get("when", [])) > 4 * self.txn_ops:
            return "over the limits of a transaction"
        for write in writes:
            size = len(orjson.dumps(write.get("data")))
            if size > self.value_bytes:
                return f"{write['put']}: a value is too large"
            kind = "/".join((write.get("put") or write["remove"]).split("/")[:3])
            self.largest_of[kind] = max(self.largest_of.get(kind, 0), size)
        return None

    def txn(self, data, source):
        writes = data.get("writes", [])
        excess = self.too_large(data, source)
        assert excess is None or self.fallen, excess
        if excess is not None:
            self.refused_sizes.append((source, excess))
            return 400, {"error": "too large"}
        if len(orjson.dumps(data)) > TRANSACTION_BYTES:
            self.refused_transactions += 1
            return 400, {"error": "the transaction is too large"}
        if not self.take("writes", len(writes), self.write_rps):
            return 429, {}
        for write in writes:
            if write.get("tenure") is not None and write["tenure"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [
            c["key"]
            for c in data.get("when", [])
            if self.keys.get(c["key"], (0, 0))[1] != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if writes:
            self.change(
                [
                    (w["put"], w["data"], w.get("tenure"))
                    if "put" in w
                    else (w["remove"], None, None)
                    for w in writes
                ]
            )
        return 200, {"ledger_rev": self.revision}

    def change(self, writes):
        self.revision += 1
        for key, data, lease in writes:
            kind = "/".join(key.split("/")[:3])
            self.written[kind] = self.written.get(kind, 0) + 1
            if data is None:
                self.keys.pop(key, None)
                self.log.append((self.revision, {"remove": key, "stamp": self.revision}))
            else:
                self.keys[key] = [data, self.revision, lease]
                self.log.append((self.revision, {"put": key, "data": data, "stamp": self.revision}))
        self.log = self.log[-10_000:]
        self.serve_watches()

    def expire(self, number):
        lease = self.leases.get(number)
        if lease is None:
            return
        if lease[1] > self.world.now + 1e-6:
            self.world.at(lease[1] - self.world.now, self.expire, number)
            return
        del self.leases[number]
        gone = [(key, None, None) for key, row in self.keys.items() if row[2] == number]
        if gone:
            self.change(gone)

    def end_lease_of(self, key):
        """The lease that a key hangs on ends now, as if its renewals had come too late."""
        if key in self.keys:
            lease = self.keys[key][2]
            self.leases[lease][1] = self.world.now
            self.expire(lease)

    def serve_watches(self):
        if self.world.now < self.down_until:
            self.world.at(self.down_until - self.world.now + 0.01, self.serve_watches)
            return
        for watch in list(self.watches):
            prefix, since, until, reply, source = watch
            if self.refused.get(source, -1) > self.world.now:
                continue
            news = [
                e
                for r, e in self.log
                if r > since and (e.get("put") or e.get("remove")).startswith(prefix)
            ]
            if news or until <= self.world.now + 1e-6:
                self.watches.remove(watch)
                reply(200, {"ledger_rev": self.revision, "news": news})
