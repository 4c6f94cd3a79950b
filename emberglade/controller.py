"""Assembles one controller: creates its actors and connects them."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from .actors import Actor, send
from .agents import AgentManager
from .config import Operators, Settings
from .fleet import Autoscaler
from .jobs import JobManager
from .membership import FormatUpgrade, Member, shard_count
from .peer_routes import PeerRoutes
from .state import Store
from .user_api import UserApi

if TYPE_CHECKING:
    from .failure_detection import PeerMonitor


@dataclass
class Controller:
    """The actors of one controller, and the routes of the server for its peers."""

    store: Store
    job_manager: JobManager
    member: Member
    format_upgrade: FormatUpgrade
    agents: AgentManager
    autoscaler: Autoscaler
    user_api: UserApi
    peer_routes: PeerRoutes
    peer_monitor: "PeerMonitor | None" = None  # None if failure detection is off

    def actors(self) -> list[tuple[Actor, str]]:
        """All actors with their names, in start order."""
        actors: list[tuple[Actor, str]] = []
        if self.peer_monitor is not None:
            actors.append((self.peer_monitor, "failure_detection"))
        actors += [
            (self.store, "state"),
            (self.job_manager, "jobs"),
            (self.member, "membership"),
            (self.format_upgrade, "format"),
            (self.agents, "agents"),
            (self.autoscaler, "fleet"),
            (self.user_api, "user_api"),
        ]
        return actors

    def notify_memory_pressure(self, is_low: bool) -> None:
        """Notifies the user API that memory has become low, or sufficient again."""
        send(self.user_api.on_memory_pressure, is_low)

    def describe(self) -> str:
        """The sizes of the collections that use most memory, for a log line."""
        return (
            f"{len(self.store.replica)} live keys, {len(self.job_manager.jobs)} jobs, "
            f"{len(self.agents.evidence.last_seen)} machines, "
            f"{len(self.user_api.lookup.final_states)} cached final states"
        )


def create_peer_monitor(
    settings: Settings,
    operators: Operators,
    store: Store,
    member: Member,
    peer_clients: Mapping[str, Any],
) -> "PeerMonitor":
    """Creates the monitor of the other controllers.

    Also sets the planners, which decide from the monitor's views whether `member` (the membership
    actor) takes shards and leadership.
    """
    from .failure_detection import (  # imported only if failure detection is on
        LeaderPlanner,
        PeerMonitor,
        ShardPlanner,
        detection_bounds,
        failure_domains,
    )

    bounds = detection_bounds(settings, operators)
    domains = failure_domains(settings, operators)
    member.set_planners(
        ShardPlanner(settings.node, settings.names, shard_count(settings), bounds.heartbeat_s),
        LeaderPlanner(settings.node, bounds.heartbeat_s),
    )
    return PeerMonitor(settings, bounds, domains, store, peer_clients)


def assemble(
    settings: Settings,
    operators: Operators,
    state_client: Any,
    cloud_client: Any,
    peer_clients: dict[str, Any],
    workers: Any,
) -> Controller:
    """Creates the actors of one controller; none is running yet.

    Args:
        settings: The platform's settings.
        operators: The operators' settings.
        state_client: The client of the state service.
        cloud_client: The client of the cloud.
        peer_clients: {name of a peer: its client}.
        workers: The pool of clients for direct commands to agents.
    """
    store = Store(settings, state_client)
    job_manager = JobManager(settings, store)
    listeners: list[Any] = [job_manager]
    member = Member(settings, store, listeners)
    peer_monitor = None
    if operators.failure_detection:
        peer_monitor = create_peer_monitor(settings, operators, store, member, peer_clients)
        peer_clients = peer_monitor.links_with_heartbeats()
    agents = AgentManager(settings, store, job_manager, member, peer_clients, workers)
    job_manager.agents = agents
    autoscaler = Autoscaler(settings, operators, store, job_manager, agents, cloud_client)
    user_api = UserApi(settings, store, agents)
    format_upgrade = FormatUpgrade(settings, store)
    listeners += [agents, autoscaler, format_upgrade, user_api]
    if peer_monitor is not None:
        listeners.append(peer_monitor)
        peer_monitor.listeners = [agents, member]
    return Controller(
        store=store,
        job_manager=job_manager,
        member=member,
        format_upgrade=format_upgrade,
        agents=agents,
        autoscaler=autoscaler,
        user_api=user_api,
        peer_routes=PeerRoutes(store, job_manager, agents, peer_monitor),
        peer_monitor=peer_monitor,
    )
