"""A deployment on simulated time: controllers of this service, and stand-ins for the rest."""

from collections.abc import Iterable
from typing import Any

from emberglade.config import Operators
from emberglade.controller import Controller, assemble

from . import cloud, state_service, state_wire, users
from .cloud import Cloud, MachineType
from .deployment import LIST_LAG_S, Deployment
from .invalid_requests import InvalidRequests
from .observer import Observer
from .previous_version import as_previous_version
from .simulated_process import SimulatedClient, SimulatedClientPool, SimulatedProcess
from .state_service import StateService
from .users import Users
from .wire import AGENT_HEARTBEAT_PATH
from .worker import WorkerSettings
from .world import LateDuplicates, PartitionMode, Reply, World

PEER_PATHS = "/peer/"
ALL_CONTROLLERS = "all"


class Cluster:
    """Controllers, state service, cloud, workers and users of one scenario.

    Attributes:
        names: The controllers' names.
        previous: The controllers that run the previous version.
        processes: The current process of each controller; while a controller is down, its last one.
        controllers: The controller object in that process.
    """

    def __init__(
        self,
        seed: int,
        deployment: Deployment | None = None,
        previous: Iterable[str] = (),
        operators: Operators | None = None,
        world: World | None = None,
    ) -> None:
        self.seed = seed
        self.deployment = deployment or Deployment()
        self.operators = operators or Operators()
        self.world = world or World(seed)
        self.names = self.deployment.names
        self.observer = Observer(self.world, self.deployment.cancel_s, self.deployment.teams)
        self.users = Users(self.world, self.observer, self.names)
        self.invalid_requests = InvalidRequests(self.users, min(self.deployment.teams))
        self.state = self.make_state_service()
        self.cloud = self.make_cloud()
        self.processes: dict[str, Any] = {}
        self.controllers: dict[str, Controller] = {}
        self.previous = set(self.names if ALL_CONTROLLERS in previous else previous)
        for name in self.names:
            self.begin(name)

    def make_state_service(self) -> StateService:
        """Creates the state service with the deployment's limits."""
        limits = self.deployment
        state = StateService(
            self.world, limits.rps, limits.write_rps, limits.value_bytes, limits.txn_ops
        )
        state.next_lease = limits.first_lease
        return state

    def make_cloud(self) -> Cloud:
        """Creates the cloud with the deployment's capacity."""
        deployment = self.deployment
        return Cloud(
            self.world,
            MachineType(zones=list(deployment.zones)),
            {
                (zone, spot): deployment.capacity
                for zone in deployment.zones
                for spot in (False, True)
            },
            LIST_LAG_S,
            WorkerSettings(deployment.heartbeat_s, deployment.lease_s, self.names),
            self.observer,
        )

    # --- controllers

    def begin(self, name: str) -> None:
        """Starts a controller's process."""
        process = SimulatedProcess(self.world, name, self.seed)
        is_previous = name in self.previous
        controller = assemble(
            self.deployment.settings(name, reads_announced=not is_previous),
            Operators() if is_previous else self.operators,
            SimulatedClient(process, state_service.HOST),
            SimulatedClient(process, cloud.HOST),
            {peer: SimulatedClient(process, peer) for peer in self.names if peer != name},
            SimulatedClientPool(process),
        )
        actors = as_previous_version(controller) if is_previous else controller.actors()
        for actor, actor_name in actors:
            process.spawn(actor, actor_name)

        def handle(method: str, path: str, body: bytes, source: str, reply: Reply) -> None:
            def answer(*result: Any) -> None:
                if process.alive:
                    reply(*result)

            to_peers = path.startswith(PEER_PATHS)
            routes = controller.peer_routes if to_peers else controller.user_api.routes
            routes.route(method, path, body, answer)

        self.world.hosts[name] = handle
        self.processes[name] = process
        self.controllers[name] = controller

    def crash(self, name: str, seconds: float, power: bool = True) -> None:
        """Ends a controller's process and starts a new one after a time.

        Args:
            name: The controller.
            seconds: How long it is down.
            power: Whether its machine stays up and refuses connections meanwhile.
        """
        if not self.processes[name].alive:
            return
        self.processes[name].alive = False
        self.world.hosts[name] = None
        if power:
            self.world.powered_off.discard(name)
        else:
            self.world.powered_off.add(name)
        self.world.at(seconds, self.begin, name)

    def upgrade(self, name: str, seconds: float) -> None:
        """Restarts a controller with the new version."""
        self.previous.discard(name)
        self.crash(name, seconds)

    def downgrade(self, name: str, seconds: float) -> None:
        """Restarts a controller with the previous version."""
        self.previous.add(name)
        self.crash(name, seconds)

    def pause(self, name: str, seconds: float) -> None:
        """Pauses a process while its clocks go on.

        After the pause, it handles all messages that arrived meanwhile.
        """
        self.processes[name].pause(self.world.now + seconds)

    def leader(self) -> str | None:
        """The current leader according to the state service."""
        row = self.state.keys.get(state_wire.LEADER_KEY)
        return None if row is None else state_wire.read_owner(row.data)

    def owner_of(self, job_id: str) -> str:
        """The controller that owns a live job, by its own view."""
        for name, controller in self.controllers.items():
            manager = controller.job_manager
            job = manager.jobs.get(job_id)
            if job is not None and manager.view.owners.owns(job):
                return name
        raise AssertionError(f"no controller owns {job_id}")

    def crash_leader(self, seconds: float) -> None:
        """Crashes the current leader, if there is one."""
        leader = self.leader()
        if leader is not None:
            self.crash(leader, seconds)

    # --- the network

    def others(self, name: str) -> list[str]:
        """All controllers but one."""
        return [other for other in self.names if other != name]

    def all_hosts(self) -> list[str]:
        """All hosts."""
        hosts = [state_service.HOST, cloud.HOST, users.HOST]
        return [*self.names, *hosts, *self.cloud.machines]

    def isolate(self, name: str, seconds: float, mode: PartitionMode) -> None:
        """Partitions a controller from all other hosts."""
        rest = [host for host in self.all_hosts() if host != name]
        self.world.partition([name], rest, seconds, mode)

    def isolate_from_control_plane(self, name: str, seconds: float, mode: PartitionMode) -> None:
        """Partitions a controller from the state service and its peers, not from workers."""
        rest = [state_service.HOST, *self.others(name)]
        self.world.partition([name], rest, seconds, mode)

    def partition_controllers(self, seconds: float) -> None:
        """Partitions the controllers from each other."""
        for name in self.names:
            self.world.partition([name], self.others(name), seconds, PartitionMode.DROP)

    def partition_zone(self, zone: str, seconds: float, mode: PartitionMode) -> None:
        """Partitions all hosts of a zone, controllers included, from all other hosts."""
        inside = [name for name in self.names if self.deployment.zone_of(name) == zone]
        inside += [name for name, row in self.cloud.machines.items() if row.zone == zone]
        outside = set(self.all_hosts()) - set(inside)
        self.world.partition(inside, outside, seconds, mode)

    def duplicate_heartbeats(self, chance: float, min_delay_s: float, max_delay_s: float) -> None:
        """Delivers duplicates of agents' heartbeats late, to random controllers."""
        self.world.late_duplicates = LateDuplicates(
            AGENT_HEARTBEAT_PATH, chance, min_delay_s, max_delay_s, self.names
        )

    def end_faults(self) -> None:
        """Notifies the observer of the end of all faults, and ends message loss and duplication."""
        self.observer.liveness.faults_ended_at = self.world.now
        self.world.late_duplicates = None
        self.world.command_copies = None
        self.world.loss = 0.0
        self.world.repeat_chance = 0.0

    def lower_state_limits(self) -> None:
        """Puts the announced limits of the state service into force."""
        limits = self.deployment.lowered_limits()
        assert limits.value_bytes is not None
        assert limits.txn_ops is not None
        assert limits.write_rps is not None
        self.state.lower_limits(limits.value_bytes, limits.txn_ops, limits.write_rps)

    # --- raw requests

    def send_raw(
        self,
        controller: str,
        method: str,
        path: str,
        body: str,
        answers: list[tuple[int, Any, Any]],
    ) -> None:
        """Sends a request that bypasses the network; appends its answer to `answers`."""
        handler = self.world.hosts[controller]
        assert handler is not None

        def keep(status: int, data: Any = None, retry: Any = None) -> None:
            answers.append((status, data, retry))

        handler(method, path, body.encode(), users.HOST, keep)
