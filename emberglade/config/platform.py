"""The platform's settings file: read once, checked, unknown fields ignored."""

import math
import tomllib
from dataclasses import dataclass, field

from ..transport import parse_address


class SettingsError(Exception):
    """One line that names file, field and value."""


@dataclass(frozen=True)
class Peer:
    """Another controller."""

    name: str
    zone: str
    address: tuple


@dataclass(frozen=True)
class Team:
    """A team with its guarantee and its limit; 0 means none."""

    name: str
    guaranteed_cpus: float = 0.0
    cpu_quota: float = 0.0
    guaranteed_gpus: float = 0.0
    gpu_quota: float = 0.0

    @property
    def limited(self):
        return self.cpu_quota > 0 or self.gpu_quota > 0

    @property
    def has_guarantee(self):
        """Whether it is guaranteed anything."""
        return bool(self.guaranteed_cpus or self.guaranteed_gpus)


@dataclass(frozen=True)
class ServiceLevelObjective:
    """An aim on starting or finishing the jobs of a class."""

    kind: str
    job_class: str
    within_s: float | None
    share: float


@dataclass(frozen=True)
class StateLimits:
    """What the state service takes: requests and changes a second, bytes of a value, changes of a
    transaction.
    """

    rps: float
    write_rps: float
    value_bytes: int
    txn_ops: int

    def within(self, other):
        """The smaller of each limit."""
        return StateLimits(
            min(self.rps, other.rps),
            min(self.write_rps, other.write_rps),
            min(self.value_bytes, other.value_bytes),
            min(self.txn_ops, other.txn_ops),
        )


@dataclass(frozen=True)
class Settings:
    """One controller's settings.

    The `state_*` limits, `value_bytes` and `txn_ops` are the smaller of those in force now and
    those announced in `settings.state.next`: the latter come into force without notice.
    """

    node: str
    zone: str
    front: tuple
    internal: tuple
    peers: tuple
    cloud: tuple
    state: tuple
    size: int
    zones: tuple
    skew_s: float
    teams: dict
    objectives: tuple
    agent_heartbeat_s: float
    lease_s: float
    cancel_s: float
    state_rps: float
    state_write_rps: float
    value_bytes: int
    txn_ops: int
    cloud_rps: float
    list_lag_s: float
    cpu: float
    mem_mb: float
    fd_limit: int
    names: tuple = field(default=())

    @property
    def peer_exchange_s(self):
        """The interval at which controllers exchange statements, and with them heartbeats."""
        return max(1.0, self.agent_heartbeat_s / 2)

    @property
    def max_staleness_s(self):
        """How long a node without the state service may answer workers.

        After a cancellation was told, its tasks must be gone in `cancel_s`. A worker that is
        answered by a node which can't know of it lives on, and then for a lease, counted from when
        its report was sent; a tenth of one is spare. The longer, the better: a zone that is cut off
        works on while its node answers.
        """
        return max(self.lease_s / 4, self.cancel_s - self.lease_s * 1.1)


class _Table:
    """One table of the file; `take` reports the full name of a wrong field."""

    def __init__(self, file, name, data):
        self.file, self.name = file, name
        if not isinstance(data, dict):
            raise SettingsError(f"{file}: {name}: {data!r} is not a table")
        self.data = data

    def fail(self, key, value, want):
        raise SettingsError(
            f"{self.file}: {self.name + '.' if self.name else ''}{key}: {value!r} is not {want}"
        )

    def take(self, key, kind, default=None):
        value = self.data.get(key, default)
        if value is None:
            raise SettingsError(
                f"{self.file}: {self.name + '.' if self.name else ''}{key}: is missing"
            )
        if kind == "number":
            if (
                isinstance(value, bool)
                or not isinstance(value, int | float)
                or not math.isfinite(value)
                or value < 0
            ):
                self.fail(key, value, "a number of at least 0")
            return float(value)
        if kind == "positive":
            if (
                isinstance(value, bool)
                or not isinstance(value, int | float)
                or not math.isfinite(value)
                or value <= 0
            ):
                self.fail(key, value, "a number above 0")
            return float(value)
        if kind == "count":
            if isinstance(value, bool) or not isinstance(value, int) or value < 1:
                self.fail(key, value, "a whole number above 0")
            return value
        if kind == "text":
            if not isinstance(value, str) or not value:
                self.fail(key, value, "a text")
            return value
        if kind == "address":
            try:
                host, port = parse_address(value)
                if not host or not 0 <= port < 65536:
                    raise ValueError
            except (ValueError, AttributeError, TypeError):
                self.fail(key, value, "an address like 10.0.0.1:8080")
            return host, port
        if kind == "texts":
            if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
                self.fail(key, value, "a list of texts")
            return tuple(value)
        raise AssertionError(kind)

    def table(self, key, default=None):
        return _Table(
            self.file, f"{self.name}.{key}" if self.name else key, self.data.get(key, default)
        )

    def tables(self, key):
        rows = self.data.get(key, [])
        if not isinstance(rows, list):
            self.fail(key, rows, "a list of tables")
        return [
            _Table(self.file, f"{self.name + '.' if self.name else ''}{key}[{n}]", row)
            for n, row in enumerate(rows)
        ]


def _read_state_limits(table, default=None):
    """The limits in a table; fields that it leaves out are those of `default`, if there is one."""
    rps, write_rps = (default.rps, default.write_rps) if default else (None, None)
    value_kb, txn_ops = (default.value_bytes / 1024, default.txn_ops) if default else (None, None)
    return StateLimits(
        rps=table.take("rps", "positive", rps),
        write_rps=table.take("write_rps", "positive", write_rps),
        value_bytes=int(table.take("value_kb", "positive", value_kb) * 1024),
        txn_ops=table.take("txn_ops", "count", txn_ops),
    )


def load_platform(file):
    """The Settings in a TOML file; SettingsError if it is missing or wrong."""
    try:
        with open(file, "rb") as source:
            data = tomllib.load(source)
    except OSError as error:
        raise SettingsError(f"{file}: cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{file}: is not TOML: {error}") from None
    top = _Table(file, "", data)
    ends, settings = top.table("endpoints"), top.table("settings")
    workers, state = settings.table("workers"), settings.table("state")
    cloud, quota = settings.table("cloud"), settings.table("quota")
    peers = tuple(
        Peer(p.take("node_name", "text"), p.take("location", "text"), p.take("endpoint", "address"))
        for p in top.tables("peers")
    )
    teams = {}
    for row in settings.tables("teams"):
        name = row.take("name", "text")
        if name in teams:
            row.fail("name", name, "used once")
        teams[name] = Team(
            name,
            *(row.take(key, "number", 0.0) for key in ("cpus", "cpus_max", "gpus", "gpus_max")),
        )
    objectives = tuple(
        ServiceLevelObjective(
            row.take("kind", "text"),
            row.data.get("class") or "",
            row.take("within_s", "number") if "within_s" in row.data else None,
            row.take("share", "number", 0.0),
        )
        for row in settings.tables("objectives")
    )
    limits = _read_state_limits(state)
    if "next" in state.data:
        limits = limits.within(_read_state_limits(state.table("next"), limits))
    node = top.take("node_name", "text")
    return Settings(
        node=node,
        zone=top.take("location", "text"),
        front=top.take("front", "address"),
        internal=top.take("internal_addr", "address"),
        peers=peers,
        cloud=ends.take("cloud", "address"),
        state=ends.take("state", "address"),
        size=settings.take("size", "count"),
        zones=settings.take("zones", "texts"),
        skew_s=settings.take("skew_ms", "number", 0.0) / 1000,
        teams=teams,
        objectives=objectives,
        agent_heartbeat_s=workers.take("report_s", "positive"),
        lease_s=workers.take("lease_s", "positive"),
        cancel_s=workers.take("cancel_s", "positive"),
        state_rps=limits.rps,
        state_write_rps=limits.write_rps,
        value_bytes=limits.value_bytes,
        txn_ops=limits.txn_ops,
        cloud_rps=cloud.take("rps", "positive"),
        list_lag_s=cloud.take("list_lag_s", "number"),
        cpu=quota.take("cpu", "positive"),
        mem_mb=quota.take("mem_mb", "positive"),
        fd_limit=quota.take("fd_limit", "count"),
        names=tuple(sorted([node, *(peer.name for peer in peers)])),
    )
