"""What one controller is told by the platform's settings file, in this project's own words."""

from dataclasses import dataclass
from typing import Final

ABSENT: Final = object()  # the value of a field that a file does not have


class SettingsError(Exception):
    """A settings file that can't be used; the message is one line that names what is wrong.

    Attributes:
        file: The file.
        field: Full name of the field in it; None if the file as a whole can't be read.
        value: The field's value; None if it has none.
    """

    def __init__(
        self, file: object, reason: str, field: str | None = None, value: object = ABSENT
    ) -> None:
        """Puts the message together.

        Args:
            file: The file, or whatever else the settings come from.
            reason: What is wrong, like "is not a number".
            field: Full name of the field.
            value: The field's value, shown before the reason.
        """
        self.file = file
        self.field = field
        self.value = None if value is ABSENT else value
        place = f"{file}" if field is None else f"{file}: {field}"
        shown = "" if value is ABSENT else f"{value!r} "
        super().__init__(f"{place}: {shown}{reason}")


@dataclass(frozen=True)
class Peer:
    """Another controller.

    Attributes:
        name: Its name.
        zone: The zone that it is in.
        address: Host and port at which it serves controllers.
    """

    name: str
    zone: str
    address: tuple[str, int]


@dataclass(frozen=True)
class Team:
    """A team with its guarantee and its quota; 0 means none.

    Attributes:
        name: Its name.
        guaranteed_cpus: Processors that it need not wait for.
        cpu_quota: The most processors that its tasks may use.
        guaranteed_gpus: GPUs that it need not wait for.
        gpu_quota: The most GPUs that its tasks may use.
    """

    name: str
    guaranteed_cpus: float = 0.0
    cpu_quota: float = 0.0
    guaranteed_gpus: float = 0.0
    gpu_quota: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Whether it has a quota."""
        return self.cpu_quota > 0 or self.gpu_quota > 0

    @property
    def has_guarantee(self) -> bool:
        """Whether it is guaranteed anything."""
        return bool(self.guaranteed_cpus or self.guaranteed_gpus)


@dataclass(frozen=True)
class ServiceLevelObjective:
    """An objective on starting or finishing the jobs of a class.

    Attributes:
        kind: What it is on, as the platform names it: "wait", "finished" and others.
        job_class: The class.
        within_s: The time allowed from the first attempt to submit, in seconds, or None.
        share: The share of jobs that are to keep to it.
    """

    kind: str
    job_class: str
    within_s: float | None
    share: float


@dataclass(frozen=True)
class StateLimits:
    """What the state service takes from all controllers together.

    Attributes:
        rps: Requests per second.
        write_rps: Of them at most so many changes per second.
        value_bytes: Size of a value, in bytes.
        txn_ops: Changes of a transaction; it may have four times as many conditions.
    """

    rps: float
    write_rps: float
    value_bytes: int
    txn_ops: int

    def within(self, other: "StateLimits") -> "StateLimits":
        """The smaller of each limit."""
        return StateLimits(
            rps=min(self.rps, other.rps),
            write_rps=min(self.write_rps, other.write_rps),
            value_bytes=min(self.value_bytes, other.value_bytes),
            txn_ops=min(self.txn_ops, other.txn_ops),
        )


@dataclass(frozen=True)
class Settings:
    """One controller's settings.

    The limits of the state service are the smaller of those in force now and those announced in
    `settings.state.next`: the latter come into force without notice.

    Attributes:
        node: Name of this controller.
        zone: The zone that it is in.
        front: Host and port at which it serves users and workers.
        internal: Host and port at which it serves other controllers.
        peers: The other controllers.
        cloud: Host and port of the cloud.
        state: Host and port of the state service.
        cluster_size: How many controllers there are.
        zones: The zones in which machines can be rented.
        skew_s: How far the time of day of any machine may be from true time, in seconds.
        teams: The teams, by name.
        objectives: The service-level objectives.
        agent_heartbeat_s: Interval of an agent's heartbeats, in seconds.
        lease_s: How long an agent keeps its tasks without an answer, in seconds.
        cancel_s: Time within which a cancelled job's tasks must be gone, in seconds.
        state_rps: Requests per second that the state service takes from all controllers.
        state_write_rps: Changes per second that it takes from all controllers.
        value_bytes: Largest value that it keeps, in bytes.
        txn_ops: Most changes of a transaction; it may have four times as many conditions.
        cloud_rps: Requests per second that the cloud takes.
        list_lag_s: How old the cloud's list of machines is, in seconds; at times twice that.
        cpu: Share of one processor that this controller may use.
        mem_mb: Memory that this controller may use, in MB.
        fd_limit: How many file descriptors this controller may have open.
        names: The names of all controllers, sorted.
    """

    node: str
    zone: str
    front: tuple[str, int]
    internal: tuple[str, int]
    peers: tuple[Peer, ...]
    cloud: tuple[str, int]
    state: tuple[str, int]
    cluster_size: int
    zones: tuple[str, ...]
    skew_s: float
    teams: dict[str, Team]
    objectives: tuple[ServiceLevelObjective, ...]
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
    names: tuple[str, ...] = ()

    @property
    def peer_exchange_s(self) -> float:
        """Interval at which controllers exchange statements and heartbeats, in seconds."""
        return max(1.0, self.agent_heartbeat_s / 2)

    @property
    def max_staleness_s(self) -> float:
        """How long a controller without the state service may answer workers, in seconds.

        After a cancellation was accepted, its tasks must be gone within `cancel_s`. A worker that
        is answered by a controller which can't know of it lives on, and then for a lease, counted
        from when its heartbeat was sent; a tenth of one is spare. The longer, the better: a zone
        that is cut off works on while its controller answers.
        """
        return max(self.lease_s / 4, self.cancel_s - self.lease_s * 1.1)
