"""A stand-in for the state service: keys, transactions, leases, watches, limits and outages."""

import urllib.parse
from collections.abc import Callable
from typing import Any

import orjson

from . import state_wire as wire
from .state_records import Lease, StoredKey, TokenBucket
from .state_watches import Watches
from .state_wire import Transaction, Write
from .world import CLOCK_SLACK_S, Reply, World

HOST = "state"
TRANSACTION_BYTES = 64 * 1024
# The limit on conditions in a transaction, as a multiple of the limit on writes.
CONDITIONS_PER_WRITE = 4
# The delay after which a transaction that gets no answer is carried out.
MIN_LATE_S, MAX_LATE_S = 2, 12
MALFORMED_ANSWERS: list[tuple[int, Any]] = [
    (200, None),
    (200, {"pairs": 7}),
    (503, "<html>"),
    (409, []),
    (410, {}),
    (429, None),
]

Answer = tuple[int, Any]
# Called before each transaction; the function that it returns is called after a successful commit.
Audit = Callable[[Transaction, str], Callable[[], None]]


class StateService:
    """Stores keys with their revisions, enforces the limits, and simulates faults.

    Attributes:
        keys: All keys.
        revision: The newest revision.
        outage_until: The end of the current outage, in which every request gets a 503.
        refused_until: By controller, until when its requests get a 503.
        late_share: The share of transactions that, until `late_until`, get no answer and are
            carried out late, possibly after newer ones.
        late_applied: The number of late transactions that changed a key.
        malformed_chance: The probability of a malformed answer.
        limits_lowered: Whether the limits were lowered. Until then a transaction that exceeds them
            or TRANSACTION_BYTES fails the run; afterwards such a transaction is refused.
        refused_sizes: (controller, reason) of each transaction refused since the limits were
            lowered.
        largest_value: The size of the largest value written, by key kind (`eg/l/m`).
        largest_transaction: The size of the largest transaction carried out that wrote keys of a
            kind, by key kind.
        write_counts: The number of puts and removals, by key kind (`eg/l/m`).
        next_lease: The number of the next lease.
        lease_count: The number of leases granted so far.
        audits: Called around each transaction; see Audit.
        served_listeners: Called with the name of each host that gets an answer of status 200.
    """

    def __init__(
        self,
        world: World,
        request_rate: float,
        write_rate: float,
        value_bytes: int,
        transaction_writes: int,
    ) -> None:
        self.world = world
        self.request_rate = request_rate
        self.write_rate = write_rate
        self.value_bytes = value_bytes
        self.transaction_writes = transaction_writes
        self.request_bucket = TokenBucket(request_rate)
        self.write_bucket = TokenBucket(write_rate)
        self.keys: dict[str, StoredKey] = {}
        self.revision = 0
        self.leases: dict[int, Lease] = {}
        self.next_lease = 1
        self.lease_count = 0
        self.watches = Watches(self)
        self.outage_until = -1.0
        self.refused_until: dict[str, float] = {}
        self.late_share = 0.0
        self.late_until = -1.0
        self.late_applied = 0
        self.malformed_chance = 0.0
        self.limits_lowered = False
        self.refused_sizes: list[tuple[str, str]] = []
        self.largest_value: dict[str, int] = {}
        self.largest_transaction: dict[str, int] = {}
        self.write_counts: dict[str, int] = {}
        self.audits: list[Audit] = []
        self.served_listeners: list[Callable[[str], None]] = []
        world.hosts[HOST] = self.handle

    # --- faults

    def lower_limits(self, value_bytes: int, transaction_writes: int, write_rate: float) -> None:
        """Lowers the limits without notice; stored values stay readable."""
        self.value_bytes = value_bytes
        self.transaction_writes = transaction_writes
        self.write_rate = write_rate
        self.limits_lowered = True

    def begin_outage(self, seconds: float) -> None:
        """Refuses all requests for a while; all leases are extended past the outage."""
        self.outage_until = self.world.now + seconds
        for lease in self.leases.values():
            lease.expires_at += seconds + lease.life_s

    def refuse(self, controller: str, seconds: float) -> None:
        """Refuses the requests of one controller for a while."""
        self.refused_until[controller] = self.world.now + seconds

    def delay_transactions(self, share: float, seconds: float) -> None:
        """For a while, carries out a share of transactions late and without an answer."""
        self.late_share = share
        self.late_until = self.world.now + seconds

    def expire_lease_of(self, key: str) -> None:
        """Expires the lease that a key is attached to, as if its renewals had been late."""
        if key in self.keys:
            number = self.keys[key].lease
            assert number is not None
            self.leases[number].expires_at = self.world.now
            self.expire(number)

    # --- requests

    def handle(self, method: str, path: str, body: bytes, source: str, reply: Reply) -> None:
        """Answers a controller's request."""
        random = self.world.random

        def answer(status: int, data: Any = None) -> None:
            if status == 200:
                for served in self.served_listeners:
                    served(source)
            reply(status, data)

        if self.world.now < self.outage_until or self.is_refused(source):
            answer(503, {"error": "trouble"})
        elif self.malformed_chance and random.random() < self.malformed_chance:
            answer(*random.choice(MALFORMED_ANSWERS))
        elif not self.request_bucket.take(1, self.request_rate, self.world.now):
            answer(429, {})
        else:
            self.route(path, orjson.loads(body) if body else {}, source, answer)

    def is_refused(self, source: str) -> bool:
        """Whether the requests of this controller are refused now."""
        return self.refused_until.get(source, -1) > self.world.now

    def route(self, path: str, data: dict[str, Any], source: str, reply: Reply) -> None:
        """Dispatches a request that is within the request rate."""
        path, _, query = path.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        if path == wire.TRANSACTION_PATH:
            self.receive_transaction(wire.read_transaction(data), source, reply)
        elif path == wire.LEASES_PATH:
            reply(200, wire.write_lease(self.grant_lease(wire.read_lease_life(data))))
        elif path.startswith(wire.LEASES_PATH + "/"):
            reply(*self.renew_lease(int(path.split("/")[2])))
        elif path == wire.WATCH_PATH:
            self.watches.open(wire.read_watch(options), source, reply)
        elif path == wire.KEYS_PATH:
            reply(200, self.list_keys(wire.read_list(options)))
        elif path.startswith(wire.KEYS_PATH + "/"):
            reply(*self.get_key(path[len(wire.KEYS_PATH) + 1 :]))
        else:
            reply(404, {})

    def list_keys(self, request: wire.ListRequest) -> dict[str, Any]:
        """Returns one page of the keys below a prefix."""
        names = sorted(
            key for key in self.keys if key.startswith(request.prefix) and key > request.after
        )
        rows = [
            wire.write_key(name, self.keys[name].data, self.keys[name].mod_revision)
            for name in names[: request.limit]
        ]
        return wire.write_keys(rows, len(names) > request.limit, self.revision)

    def get_key(self, name: str) -> Answer:
        """Returns the answer to a read of one key."""
        found = self.keys.get(name)
        if found is None:
            return 404, wire.write_revision(self.revision)
        return 200, wire.write_key(name, found.data, found.mod_revision)

    # --- transactions

    def receive_transaction(self, transaction: Transaction, source: str, reply: Reply) -> None:
        """Carries out a transaction and answers, or schedules it for later without an answer."""
        random = self.world.random
        if self.world.now < self.late_until and random.random() < self.late_share:
            delay = random.uniform(MIN_LATE_S, MAX_LATE_S)
            self.world.at(delay, self.apply_late, transaction, source)
        else:
            reply(*self.transact(transaction, source))

    def apply_late(self, transaction: Transaction, source: str) -> None:
        """Carries out a transaction whose sender gets no answer."""
        before = self.revision
        self.transact(transaction, source)
        self.late_applied += self.revision > before

    def transact(self, transaction: Transaction, source: str) -> Answer:
        """Carries out a transaction; audits run before it, and their callbacks after a commit."""
        commit_callbacks = [audit(transaction, source) for audit in self.audits]
        status, body = self.commit(transaction, source)
        if status == 200:
            for callback in commit_callbacks:
                callback()
        return status, body

    def commit(self, transaction: Transaction, source: str) -> Answer:
        """Applies a transaction if the limits, its leases and its conditions allow it."""
        limit_violation = self.limit_violation(transaction)
        assert limit_violation is None or self.limits_lowered, limit_violation
        if limit_violation is not None:
            self.refused_sizes.append((source, limit_violation))
            return 400, {"error": "too large"}
        writes = transaction.writes
        if not self.write_bucket.take(len(writes), self.write_rate, self.world.now):
            return 429, {}
        if any(write.lease is not None and write.lease not in self.leases for write in writes):
            return 400, {"error": "no such lease"}
        failed = [
            key
            for key, mod_revision in transaction.conditions
            if self.mod_revision_of(key) != mod_revision
        ]
        if failed:
            return 409, wire.write_failed_conditions(failed, self.revision)
        if writes:
            self.record_size(transaction)
            self.apply(writes)
        return 200, wire.write_revision(self.revision)

    def mod_revision_of(self, key: str) -> int:
        """The revision at which a key last changed; 0 if the key does not exist."""
        found = self.keys.get(key)
        return 0 if found is None else found.mod_revision

    def limit_violation(self, transaction: Transaction) -> str | None:
        """Describes how a transaction exceeds the limits; None if it does not."""
        if (
            len(transaction.writes) > self.transaction_writes
            or len(transaction.conditions) > CONDITIONS_PER_WRITE * self.transaction_writes
        ):
            return "too many writes or conditions in a transaction"
        total = transaction.size_bytes()
        if total > TRANSACTION_BYTES:
            return f"a transaction of {total} bytes, {len(transaction.writes)} writes"
        for write in transaction.writes:
            size = len(orjson.dumps(write.data))
            if size > self.value_bytes:
                return f"{write.key}: the value exceeds the size limit"
            kind = wire.key_kind(write.key)
            self.largest_value[kind] = max(self.largest_value.get(kind, 0), size)
        return None

    def record_size(self, transaction: Transaction) -> None:
        """Records the size of a transaction under each kind of keys that it writes."""
        size = transaction.size_bytes()
        for kind in {wire.key_kind(write.key) for write in transaction.writes}:
            self.largest_transaction[kind] = max(self.largest_transaction.get(kind, 0), size)

    def apply(self, writes: list[Write]) -> None:
        """Applies writes at one new revision and notifies the watches."""
        self.revision += 1
        for write in writes:
            kind = wire.key_kind(write.key)
            self.write_counts[kind] = self.write_counts.get(kind, 0) + 1
            if write.data is None:
                self.keys.pop(write.key, None)
                event = wire.write_removal(write.key, self.revision)
            else:
                self.keys[write.key] = StoredKey(write.data, self.revision, write.lease)
                event = wire.write_put(write.key, write.data, self.revision)
            self.watches.record(self.revision, write.key, event)
        self.watches.serve()

    # --- leases

    def grant_lease(self, life_s: float) -> int:
        """Grants a lease and returns its number."""
        number, self.next_lease = self.next_lease, self.next_lease + 1
        self.lease_count += 1
        self.leases[number] = Lease(life_s, self.world.now + life_s)
        self.world.at(life_s, self.expire, number)
        return number

    def renew_lease(self, number: int) -> Answer:
        """Extends a lease by its full duration from now on."""
        lease = self.leases.get(number)
        if lease is None:
            return 404, {}
        lease.expires_at = self.world.now + lease.life_s
        return 200, {}

    def expire(self, number: int) -> None:
        """Removes a lease and the keys attached to it if it has expired; else checks later."""
        lease = self.leases.get(number)
        if lease is None:
            return
        if lease.expires_at > self.world.now + CLOCK_SLACK_S:
            self.world.at(lease.expires_at - self.world.now, self.expire, number)
            return
        del self.leases[number]
        removals = [Write(key, None) for key, row in self.keys.items() if row.lease == number]
        if removals:
            self.apply(removals)
