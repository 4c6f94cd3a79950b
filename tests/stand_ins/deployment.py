"""The parameters of a deployment, and the settings that its platform gives each controller."""

from dataclasses import dataclass, field

from emberglade.config import Peer, ServiceLevelObjective, Settings, Team

from . import observer

# The addresses of the stand-ins. Simulated hosts have no ports, but the settings require some.
STATE_ADDRESS = ("state", 1)
CLOUD_ADDRESS = ("cloud", 1)
FRONT_PORT, INTERNAL_PORT = 1, 2
LIST_LAG_S = 3.0
CLOCK_SKEW_S = 0.01
OBJECTIVE = ServiceLevelObjective("finished", "test", 100.0, 0.9)
PROCESS_CPUS, PROCESS_MEMORY_MB, PROCESS_DESCRIPTORS = 0.3, 186.0, 1200


@dataclass(frozen=True)
class StateLimits:
    """Announced future limits of the state service; a limit that does not change is None."""

    value_bytes: int | None = None
    txn_ops: int | None = None
    write_rps: float | None = None


@dataclass(frozen=True)
class Deployment:
    """The size of a deployment and the limits of its controllers and stand-ins.

    Attributes:
        controllers: The number of controllers.
        rps: The state service's limit on requests per second.
        write_rps: Its limit on puts and removals per second.
        value_bytes: Its limit on the size of a value.
        txn_ops: Its limit on puts and removals in a transaction.
        heartbeat_s: The interval of agents' heartbeats.
        capacity: The number of machines in each pool of the cloud.
        next_limits: Announced future limits of the state service.
        first_lease: The number of the first lease that the state service grants.
        zones: The zones; controllers are assigned to them round-robin.
        teams: The teams by their names.
    """

    controllers: int = 3
    rps: float = 100.0
    write_rps: float = 40.0
    value_bytes: int = 8192
    txn_ops: int = 16
    lease_s: float = 10.0
    heartbeat_s: float = 1.5
    cancel_s: float = 40.0
    cloud_rps: float = 5.0
    capacity: int = 10
    next_limits: StateLimits = StateLimits()
    first_lease: int = 1
    zones: tuple[str, ...] = ("a", "b", "c")
    teams: dict[str, observer.Team] = field(default_factory=lambda: {"core": observer.Team()})

    @property
    def names(self) -> list[str]:
        """The names of the controllers."""
        return [f"hearth-{number}" for number in range(self.controllers)]

    def zone_of(self, controller: str) -> str:
        """The zone of a controller."""
        return self.zones[self.names.index(controller) % len(self.zones)]

    def lowered_limits(self) -> StateLimits:
        """The state service's limits once the announced ones are in force."""
        announced = self.next_limits
        return StateLimits(
            self.value_bytes if announced.value_bytes is None else announced.value_bytes,
            self.txn_ops if announced.txn_ops is None else announced.txn_ops,
            self.write_rps if announced.write_rps is None else announced.write_rps,
        )

    def settings(self, name: str, reads_announced: bool = True) -> Settings:
        """The settings of one controller.

        Args:
            name: The controller.
            reads_announced: Whether the controller already respects the announced limits.
        """
        write_rps, value_bytes, txn_ops = self.write_rps, self.value_bytes, self.txn_ops
        if reads_announced:
            lowered = self.lowered_limits()
            write_rps = min(write_rps, lowered.write_rps or write_rps)
            value_bytes = min(value_bytes, lowered.value_bytes or value_bytes)
            txn_ops = min(txn_ops, lowered.txn_ops or txn_ops)
        return Settings(
            node=name,
            zone=self.zone_of(name),
            front=(name, FRONT_PORT),
            internal=(name, INTERNAL_PORT),
            peers=tuple(
                Peer(peer, self.zone_of(peer), (peer, INTERNAL_PORT))
                for peer in self.names
                if peer != name
            ),
            cloud=CLOUD_ADDRESS,
            state=STATE_ADDRESS,
            cluster_size=self.controllers,
            zones=tuple(sorted(self.zones)),
            skew_s=CLOCK_SKEW_S,
            teams={
                team: Team(team, limits.guaranteed_cpus, limits.cpu_quota)
                for team, limits in self.teams.items()
            },
            objectives=(OBJECTIVE,),
            agent_heartbeat_s=self.heartbeat_s,
            lease_s=self.lease_s,
            cancel_s=self.cancel_s,
            state_rps=self.rps,
            state_write_rps=write_rps,
            value_bytes=value_bytes,
            txn_ops=txn_ops,
            cloud_rps=self.cloud_rps,
            list_lag_s=LIST_LAG_S,
            cpu=PROCESS_CPUS,
            mem_mb=PROCESS_MEMORY_MB,
            fd_limit=PROCESS_DESCRIPTORS,
            names=tuple(self.names),
        )
