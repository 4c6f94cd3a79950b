"""Puts one controller together: the actors, the clients, and the two servers."""

import gc
import logging
import threading
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from .accounting import Accountant
from .actors import ThreadSystem, tell, tell_inline
from .agents import (
    CANCELLATION_PATH,
    MACHINES_PATH,
    TASK_UPDATES_PATH,
    AgentManager,
    read_cancellation,
    read_question,
    read_task_updates,
)
from .config import small_quota_warnings
from .fleet import Autoscaler
from .jobs import JobManager
from .membership import FormatUpgrade, Member, shard_count
from .memory_guard import MemoryGuard
from .state import Store, read_since
from .transport import Client, ClientPool, Server, ServerLimits
from .user_api import UserApi

if TYPE_CHECKING:
    from .failure_detection import PeerMonitor

log = logging.getLogger("emberglade")


@dataclass
class Controller:
    """The actors of one controller."""

    store: Store
    job_manager: JobManager
    member: Member
    format_upgrade: FormatUpgrade
    agents: AgentManager
    autoscaler: Autoscaler
    api: UserApi
    peer_monitor: "PeerMonitor | None" = None  # if failure detection is on

    def actors(self):
        watching = [] if self.peer_monitor is None else [(self.peer_monitor, "failure_detection")]
        return watching + [
            (self.store, "state"),
            (self.job_manager, "jobs"),
            (self.member, "membership"),
            (self.format_upgrade, "format"),
            (self.agents, "agents"),
            (self.autoscaler, "fleet"),
            (self.api, "user_api"),
        ]

    def tell_memory(self, short):
        """Memory has become short, or enough again."""
        tell(self.api.on_memory, short)

    def describe(self):
        """How much there is of what takes memory."""
        return (
            f"{len(self.store.replica)} live keys, {len(self.job_manager.jobs)} jobs, "
            f"{len(self.agents.evidence.last_seen)} machines, "
            f"{len(self.api.final)} final states at hand"
        )

    def peer_route(self, method, path, body, reply):
        try:
            data = orjson.loads(body) if body else None
        except ValueError:
            reply(400, {"error": "not JSON"})
            return
        if path == MACHINES_PATH and method == "POST":
            if self.peer_monitor is not None:
                tell_inline(self.peer_monitor.on_hear_question, data)
                reply = self.peer_monitor.answering(reply)
            tell_inline(self.agents.on_machine_question, read_question(data), reply)
        elif path == "/peer/ping" and method == "POST" and self.peer_monitor is not None:
            tell_inline(self.peer_monitor.on_ping, data, reply)
        elif path == "/peer/probe" and method == "POST" and self.peer_monitor is not None:
            tell_inline(self.peer_monitor.on_probe, data, reply)
        elif path == TASK_UPDATES_PATH and method == "POST" and isinstance(data, list):
            for update in read_task_updates(data):
                tell(self.job_manager.on_task_update, update)
            reply(200, {})
        elif path == "/peer/changes" and method == "POST" and read_since(data) is not None:
            tell_inline(self.store.on_changes_for_peer, read_since(data), reply)
        elif path == CANCELLATION_PATH and method == "POST" and read_cancellation(data) is not None:
            tell_inline(self.agents.on_hear_cancellation, *read_cancellation(data))
            reply(200, {})
        else:
            reply(404, {"error": "no such path"})


def watch_peers(settings, operators, store, member, peer_clients):
    """The monitor of the other controllers, which the member's claims follow from now on."""
    from .failure_detection import (  # a start without it does not pay for it
        LeaderPlanner,
        PeerMonitor,
        ShardPlanner,
        detection_bounds,
        failure_domains,
    )

    bounds = detection_bounds(settings, operators)
    domains = failure_domains(settings, operators)
    member.watch_peers(
        ShardPlanner(settings.node, settings.names, shard_count(settings), bounds.heartbeat_s),
        LeaderPlanner(settings.node, settings.names, bounds.heartbeat_s),
    )
    return PeerMonitor(settings, bounds, domains, store, peer_clients)


def assemble(settings, operators, state_client, cloud_client, peer_clients, workers):
    """The actors of one node, not running yet."""
    store = Store(settings, state_client)
    job_manager = JobManager(settings, store)
    listeners = [job_manager]
    member = Member(settings, store, listeners)
    peer_monitor = None
    if operators.failure_detection:
        peer_monitor = watch_peers(settings, operators, store, member, peer_clients)
        peer_clients = peer_monitor.links_with_heartbeats()
    agents = AgentManager(settings, store, job_manager, member, peer_clients, workers)
    job_manager.agents = agents
    autoscaler = Autoscaler(settings, operators, store, job_manager, agents, cloud_client)
    api = UserApi(settings, store, agents)
    format_upgrade = FormatUpgrade(settings, store)
    listeners += [agents, autoscaler, format_upgrade, api]
    if peer_monitor is not None:
        listeners.append(peer_monitor)
        peer_monitor.listeners = [agents, member]
    return Controller(
        store, job_manager, member, format_upgrade, agents, autoscaler, api, peer_monitor
    )


class DescriptorBudget:
    """Who may hold how many of the descriptors."""

    def __init__(self, settings):
        total = settings.fd_limit
        self.worker_calls = max(1, total // 8)  # kept connections to workers, for commands
        # Threads for these: each may wait for a machine that hangs.
        self.worker_callers = max(2, min(total // 64, 64))
        self.internal = max(2, min(total // 16, 8 * settings.size))
        # A controller that stands alone has to hold all workers; the rest is for clients, listeners
        # and what the platform itself needs.
        self.front = max(2, total * 3 // 4)
        self.users = max(1, self.front // 3)


def is_user_path(path):
    """Whether a path is one that users ask for."""
    return path.startswith("/submissions")


def serve(settings, operators):
    """Runs a controller until the process ends."""
    threading.stack_size(256 * 1024)
    # Records and reports hold no cycles worth speaking of; looking through all of them as often as
    # Python does by default took a tenth of the processor at 600 machines.
    gc.set_threshold(50_000, 20, 50)
    system = ThreadSystem()
    answer_timeout_s = min(settings.lease_s / 4, 3.0)
    idle_timeout_s = 2 * settings.lease_s
    descriptors = DescriptorBudget(settings)
    for warning in small_quota_warnings(settings):
        log.warning(warning)
    node = assemble(
        settings,
        operators,
        Client(settings.state, 6, "state"),
        Client(settings.cloud, 2, "cloud"),
        # Facts and questions each have a thread: neither waits for the other's long bodies.
        {peer.name: Client(peer.address, 2, "peer-" + peer.name, 64) for peer in settings.peers},
        ClientPool(descriptors.worker_callers, descriptors.worker_calls, "workers"),
    )
    front = Server(
        settings.front,
        node.api.route,
        ServerLimits(
            max_connections=descriptors.front,
            max_user_connections=descriptors.users,
            answer_timeout_s=answer_timeout_s + 0.5,
            idle_timeout_s=idle_timeout_s,
        ),
        is_user_path,
    )
    internal = Server(
        settings.internal,
        node.peer_route,
        ServerLimits(
            max_connections=descriptors.internal,
            max_user_connections=0,
            answer_timeout_s=answer_timeout_s,
            idle_timeout_s=idle_timeout_s,
        ),
    )
    system.spawn(node.actors())
    internal.begin("internal")
    Accountant(system, node, (front, internal)).begin()
    MemoryGuard(settings.mem_mb, node.tell_memory, node.describe).begin()
    log.info("%s serves users and workers at %s:%d", settings.node, *settings.front)
    front.serve_forever()
    return 0
