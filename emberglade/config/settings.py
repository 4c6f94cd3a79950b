"""The data types of a controller's settings, independent of the file that they are read from."""

from dataclasses import dataclass
from typing import Final

ABSENT: Final = object()  # stands for the value of a field that is not in the file


class SettingsError(Exception):
    """A settings file is invalid; the message is one line with file, field, value and reason.

    Attributes:
        file: The file.
        field: Full name of the field; None if the error concerns the whole file.
        value: The field's value; None if the field is missing.
    """

    def __init__(
        self, file: object, reason: str, field: str | None = None, value: object = ABSENT
    ) -> None:
        """Composes the message.

        Args:
            file: The file, or another source of the settings.
            reason: What is wrong, like "is not a number".
            field: Full name of the field.
            value: The field's value, shown before the reason.
        """
        self.file = file
        self.field = field
        self.value = None if value is ABSENT else value
        location = f"{file}" if field is None else f"{file}: {field}"
        shown = "" if value is ABSENT else f"{value!r} "
        super().__init__(f"{location}: {shown}{reason}")


@dataclass(frozen=True)
class Peer:
    """Another controller.

    Attributes:
        name: Its name.
        zone: Its zone.
        address: Host and port of its server for other controllers.
    """

    name: str
    zone: str
    address: tuple[str, int]


@dataclass(frozen=True)
class Team:
    """A team with its guarantee and its quota; 0 means that it has none.

    Attributes:
        name: Its name.
        guaranteed_cpus: CPUs that it can use without waiting for other teams.
        cpu_quota: Maximum number of CPUs of its tasks.
        guaranteed_gpus: GPUs that it can use without waiting for other teams.
        gpu_quota: Maximum number of GPUs of its tasks.
    """

    name: str
    guaranteed_cpus: float = 0.0
    cpu_quota: float = 0.0
    guaranteed_gpus: float = 0.0
    gpu_quota: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Whether it has a quota of CPUs or GPUs."""
        return self.cpu_quota > 0 or self.gpu_quota > 0

    @property
    def has_guarantee(self) -> bool:
        """Whether it has a guarantee of CPUs or GPUs."""
        return bool(self.guaranteed_cpus or self.guaranteed_gpus)


@dataclass(frozen=True)
class ServiceLevelObjective:
    """An objective for the start or the end of a class's jobs.

    Attributes:
        kind: What it limits, as the platform names it: "wait", "finished" and others.
        job_class: The class.
        within_s: Time limit from the first attempt to submit the job, in seconds; None if the
            objective has no time limit.
        share: Share of the jobs that must meet the objective.
    """

    kind: str
    job_class: str
    within_s: float | None
    share: float


@dataclass(frozen=True)
class StateLimits:
    """Limits of the state service, for all controllers together.

    Attributes:
        rps: Requests per second.
        write_rps: Keys written per second.
        value_bytes: Size of a value, in bytes.
        txn_ops: Writes in a transaction; it may have four times as many conditions.
    """

    rps: float
    write_rps: float
    value_bytes: int
    txn_ops: int

    def within(self, other: "StateLimits") -> "StateLimits":
        """For each limit, the smaller of this object's value and the other's."""
        return StateLimits(
            rps=min(self.rps, other.rps),
            write_rps=min(self.write_rps, other.write_rps),
            value_bytes=min(self.value_bytes, other.value_bytes),
            txn_ops=min(self.txn_ops, other.txn_ops),
        )


@dataclass(frozen=True)
class Settings:
    """One controller's settings.

    Each limit of the state service is the smaller of the current one and the one announced in
    `settings.state.next`, because the latter takes effect without notice.

    Attributes:
        node: Name of this controller.
        zone: Its zone.
        front: Host and port of its server for users and agents.
        internal: Host and port of its server for other controllers.
        peers: The other controllers.
        cloud: Host and port of the cloud.
        state: Host and port of the state service.
        cluster_size: Number of controllers in the cluster.
        zones: The zones in which machines can be rented.
        skew_s: Maximum deviation of any machine's wall clock from the true time, in seconds.
        teams: The teams, by name.
        objectives: The service-level objectives.
        agent_heartbeat_s: Interval of an agent's heartbeats, in seconds.
        lease_s: How long an agent keeps its tasks without an answer to its heartbeats, in seconds.
        cancel_s: Time within which a cancelled job's tasks must end, in seconds.
        state_rps: Requests per second to the state service, of all controllers together.
        state_write_rps: Keys written per second, of all controllers together.
        value_bytes: Maximum size of a value in the state service, in bytes.
        txn_ops: Maximum number of writes in a transaction; it may have four times as many
            conditions.
        cloud_rps: Requests per second to the cloud.
        list_lag_s: Usual age of the cloud's list of machines, in seconds; the list is sometimes
            twice as old.
        cpu: CPU cores that this controller's process may use.
        mem_mb: Memory that this controller's process may use, in MB.
        fd_limit: File descriptors that this controller's process may have open.
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
        """Interval at which controllers exchange status updates and heartbeats, in seconds."""
        return max(1.0, self.agent_heartbeat_s / 2)

    @property
    def max_staleness_s(self) -> float:
        """How long a controller may answer agents without the state service, in seconds.

        After a cancellation is accepted, the job's tasks must end within `cancel_s`. An agent that
        is answered by a controller without knowledge of the cancellation keeps the tasks for
        another lease, counted from when it sent its heartbeat; a tenth of a lease is margin. The
        longest permitted time is best, because a partitioned zone keeps running its tasks while
        its controller answers.
        """
        return max(self.lease_s / 4, self.cancel_s - self.lease_s * 1.1)
