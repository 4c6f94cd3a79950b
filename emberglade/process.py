"""Runs one controller in this process, with its clients, its servers and its accounting."""

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
# Records and heartbeats form hardly any reference cycles; with Python's default thresholds, garbage
# collection takes a tenth of the processor time at 600 machines.
GC_THRESHOLDS = (50_000, 20, 50)

MAX_ANSWER_TIMEOUT_S = 3.0
# Added to the time-out of requests to the front server, so that a request still waits when the
# request to the store that it caused times out.
FRONT_ANSWER_MARGIN_S = 0.5

# Threads of each client; each thread has its own connection.
STORE_THREADS = 6
CLOUD_THREADS = 2
# One thread each for status updates and for questions, so that the large bodies of one kind do not
# delay the other.
PEER_THREADS = 2
PEER_BACKLOG = 64  # calls that may be queued for one peer


class DescriptorBudget:
    """How the process's file descriptors are divided.

    The descriptors not listed here are for clients, listeners and the platform itself.

    Attributes:
        agent_connections: Connections to agents that are kept open for commands.
        agent_threads: Threads for commands to agents; each machine that hangs can block one of
            them.
        internal: Connections of the other controllers.
        front: Connections of users and agents. They get most of the descriptors, because a single
            remaining controller has to serve all agents.
        users: How many of the front connections users may have.
    """

    def __init__(self, settings: Settings) -> None:
        total = settings.fd_limit
        self.agent_connections = max(1, total // 8)
        self.agent_threads = max(2, min(total // 64, 64))
        self.internal = max(2, min(total // 16, 8 * settings.cluster_size))
        self.front = max(2, total * 3 // 4)
        self.users = max(1, self.front // 3)


def answer_timeout_s(settings: Settings) -> float:
    """How long a request waits for its answer, in seconds."""
    return min(settings.lease_s / 4, MAX_ANSWER_TIMEOUT_S)


def idle_timeout_s(settings: Settings) -> float:
    """How long an idle connection is kept open, in seconds."""
    return 2 * settings.lease_s


def create_controller(
    settings: Settings, operators: Operators, descriptors: DescriptorBudget
) -> Controller:
    """Creates a controller and the clients that it uses."""
    return assemble(
        settings,
        operators,
        Client(settings.state, STORE_THREADS, "state"),
        Client(settings.cloud, CLOUD_THREADS, "cloud"),
        {
            peer.name: Client(peer.address, PEER_THREADS, "peer-" + peer.name, PEER_BACKLOG)
            for peer in settings.peers
        },
        ClientPool(descriptors.agent_threads, descriptors.agent_connections, "workers"),
    )


def front_server(
    settings: Settings, controller: Controller, descriptors: DescriptorBudget
) -> Server:
    """Creates the server for users, agents and health checks."""
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
    """Creates the server for the other controllers."""
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
    gc.enable()  # `run.py` disables it while modules are imported
    system = ThreadSystem()
    descriptors = DescriptorBudget(settings)
    for warning in small_quota_warnings(settings):
        log.warning(warning)
    controller = create_controller(settings, operators, descriptors)
    front = front_server(settings, controller, descriptors)
    internal = internal_server(settings, controller, descriptors)
    log.info(
        "%s loads its replica from the state service at %s:%d; it waits until the service "
        "answers, and users get 503 until then",
        settings.node,
        *settings.state,
    )
    system.spawn(controller.actors())
    internal.begin("internal")
    Accountant(system, controller, (front, internal)).start()
    MemoryGuard(settings.mem_mb, controller.notify_memory_pressure, controller.describe).start()
    log.info("%s serves users and agents at %s:%d", settings.node, *settings.front)
    front.serve_forever()
    return 0
