"""Runs one controller as this process: its clients, its servers, its accounts."""

import gc
import logging
import threading

from .accounting import Accountant
from .actors import ThreadSystem
from .config import Operators, Settings, small_quota_warnings
from .controller import Controller, assemble
from .memory_guard import MemoryGuard
from .transport import Client, ClientPool, Server, ServerLimits
from .user_api.wire import is_user_path

log = logging.getLogger("emberglade")

THREAD_STACK_BYTES = 256 * 1024
# Records and heartbeats hold no cycles worth speaking of; looking through all of them as often as
# Python does by default took a tenth of the processor at 600 machines.
GC_THRESHOLDS = (50_000, 20, 50)

MAX_ANSWER_TIMEOUT_S = 3.0
FRONT_ANSWER_MARGIN_S = 0.5  # users and agents wait a little longer than a request to the store

# Threads of the clients, each with a connection of its own, and calls that may wait for them.
STORE_THREADS = 6
CLOUD_THREADS = 2
# Status updates and questions each have a thread: neither waits for the other's long bodies.
PEER_THREADS = 2
PEER_BACKLOG = 64


class DescriptorBudget:
    """Who may hold how many of the descriptors.

    Attributes:
        worker_calls: Kept connections to workers, for commands.
        worker_callers: Threads for these: each may wait for a machine that hangs.
        internal: Connections of the other controllers.
        front: Connections of users and workers. A controller that stands alone has to hold all
            workers; the rest is for clients, listeners and what the platform itself needs.
        users: Of those of the front, the ones of users at most.
    """

    def __init__(self, settings: Settings) -> None:
        total = settings.fd_limit
        self.worker_calls = max(1, total // 8)
        self.worker_callers = max(2, min(total // 64, 64))
        self.internal = max(2, min(total // 16, 8 * settings.cluster_size))
        self.front = max(2, total * 3 // 4)
        self.users = max(1, self.front // 3)


def answer_timeout_s(settings: Settings) -> float:
    """How long a request waits for a decision, in seconds."""
    return min(settings.lease_s / 4, MAX_ANSWER_TIMEOUT_S)


def idle_timeout_s(settings: Settings) -> float:
    """How long a connection without a request is kept, in seconds."""
    return 2 * settings.lease_s


def connect(settings: Settings, operators: Operators, descriptors: DescriptorBudget) -> Controller:
    """One controller, with the clients that it uses."""
    return assemble(
        settings,
        operators,
        Client(settings.state, STORE_THREADS, "state"),
        Client(settings.cloud, CLOUD_THREADS, "cloud"),
        {
            peer.name: Client(peer.address, PEER_THREADS, "peer-" + peer.name, PEER_BACKLOG)
            for peer in settings.peers
        },
        ClientPool(descriptors.worker_callers, descriptors.worker_calls, "workers"),
    )


def front_server(
    settings: Settings, controller: Controller, descriptors: DescriptorBudget
) -> Server:
    """The server of users, agents and health checks."""
    return Server(
        settings.front,
        controller.user_api.routes.route,
        ServerLimits(
            max_connections=descriptors.front,
            max_user_connections=descriptors.users,
            answer_timeout_s=answer_timeout_s(settings) + FRONT_ANSWER_MARGIN_S,
            idle_timeout_s=idle_timeout_s(settings),
        ),
        is_user_path,
    )


def internal_server(
    settings: Settings, controller: Controller, descriptors: DescriptorBudget
) -> Server:
    """The server of the other controllers."""
    return Server(
        settings.internal,
        controller.peer_routes.route,
        ServerLimits(
            max_connections=descriptors.internal,
            max_user_connections=0,
            answer_timeout_s=answer_timeout_s(settings),
            idle_timeout_s=idle_timeout_s(settings),
        ),
    )


def serve(settings: Settings, operators: Operators) -> int:
    """Runs a controller until the process ends; returns the exit code."""
    threading.stack_size(THREAD_STACK_BYTES)
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()  # off while modules were imported (`run.py`)
    system = ThreadSystem()
    descriptors = DescriptorBudget(settings)
    for warning in small_quota_warnings(settings):
        log.warning(warning)
    controller = connect(settings, operators, descriptors)
    front = front_server(settings, controller, descriptors)
    internal = internal_server(settings, controller, descriptors)
    log.info(
        "%s reads what is stored from the state service at %s:%d; it waits for that as long as it "
        "takes, and answers users 503 until then",
        settings.node,
        *settings.state,
    )
    system.spawn(controller.actors())
    internal.begin("internal")
    Accountant(system, controller, (front, internal)).start()
    MemoryGuard(settings.mem_mb, controller.notify_memory_pressure, controller.describe).start()
    log.info("%s serves users and workers at %s:%d", settings.node, *settings.front)
    front.serve_forever()
    return 0
