"""Puts one controller together: the actors, the links, and the two servers."""

import gc
import logging
import threading
import time
from dataclasses import dataclass

import orjson

from .actors import ThreadSystem
from .agents import AgentManager, read_facts, read_question, read_withdrawal
from .fleet import Autoscaler
from .frontdoor import Api
from .jobs import JobManager
from .membership import FormatUpgrade, Member
from .state import Store, read_since
from .transport import Link, Pool, Server

log = logging.getLogger("emberglade")

MOST_THREADS = 1700  # of 2,000 that a process may have; the others are links, actors and spare


@dataclass
class Node:
    """The actors of one controller."""

    store: Store
    job_manager: JobManager
    member: Member
    format_upgrade: FormatUpgrade
    agents: AgentManager
    autoscaler: Autoscaler
    api: Api

    def actors(self):
        return [
            (self.store, "state"),
            (self.job_manager, "jobs"),
            (self.member, "membership"),
            (self.format_upgrade, "format"),
            (self.agents, "agents"),
            (self.autoscaler, "fleet"),
            (self.api, "frontdoor"),
        ]

    def peer_route(self, method, path, body, reply):
        try:
            data = orjson.loads(body) if body else None
        except ValueError:
            reply(400, {"error": "not JSON"})
            return
        if path == "/peer/heard" and method == "POST":
            self.agents.hand("heard", read_question(data), reply)
        elif path == "/peer/facts" and method == "POST" and isinstance(data, list):
            for fact in read_facts(data):
                self.job_manager.tell(*fact)
            reply(200, {})
        elif path == "/peer/changes" and method == "POST" and read_since(data) is not None:
            self.store.hand("changes_for_peer", read_since(data), reply)
        elif path == "/peer/withdrawn" and method == "POST" and read_withdrawal(data) is not None:
            self.agents.hand("hear_withdrawal", *read_withdrawal(data))
            reply(200, {})
        else:
            reply(404, {"error": "no such path"})


def assemble(settings, operators, state_link, cloud_link, peer_links, workers):
    """The actors of one node, not running yet."""
    store = Store(settings, state_link)
    job_manager = JobManager(settings, store)
    listeners = [job_manager]
    member = Member(settings, store, listeners)
    agents = AgentManager(settings, store, job_manager, member, peer_links, workers)
    job_manager.agents = agents
    autoscaler = Autoscaler(settings, operators, store, job_manager, agents, cloud_link)
    api = Api(settings, store, agents)
    format_upgrade = FormatUpgrade(settings, store)
    listeners += [agents, autoscaler, format_upgrade, api]
    return Node(store, job_manager, member, format_upgrade, agents, autoscaler, api)


def tell_accounts(system, interval=60.0):
    """Says now and then where the time goes, actor by actor."""
    spent = time.process_time()
    while True:
        time.sleep(interval)
        before, spent = spent, time.process_time()
        log.info(
            "processor %.1f %%; in actors, waits included: %s",
            100 * (spent - before) / interval,
            ", ".join(
                f"{name} {100 * busy / interval:.1f} % for {count} messages"
                for name, (busy, count) in system.take_account().items()
            ),
        )


class Sockets:
    """Who may hold how many of the descriptors, and so of the threads."""

    def __init__(self, settings):
        every = settings.fd_limit
        self.calls = max(1, every // 8)  # kept connections to workers, for direct commands
        self.callers = max(2, min(every // 64, 64))  # each may wait for a machine that hangs
        self.internal = max(2, min(every // 16, 8 * settings.size))
        # A controller that stands alone has to hold all workers; the rest is for links, listeners
        # and what the platform itself needs.
        self.front = max(2, min(every * 3 // 4, MOST_THREADS - self.internal - self.callers))
        self.users = max(1, self.front // 3)
        if every < 64:
            log.warning(
                "settings.quota.fd_limit: %d is little: "
                "%d connections of workers and users, %d of peers",
                every,
                self.front,
                self.internal,
            )


def is_users(path):
    """Whether a path is one that users ask for."""
    return path.startswith("/submissions")


def serve(settings, operators):
    """Runs a controller until the process ends."""
    threading.stack_size(256 * 1024)
    # Records and reports hold no cycles worth speaking of; looking through all of them as often as
    # Python does by default took a tenth of the processor at 600 machines.
    gc.set_threshold(50_000, 20, 50)
    system = ThreadSystem()
    patience = min(settings.lease_s / 4, 3.0)
    limits = Sockets(settings)
    node = assemble(
        settings,
        operators,
        Link(settings.state, 6, "state-link"),
        Link(settings.cloud, 2, "cloud-link"),
        # Facts and questions each have a thread: neither waits for the other's long bodies.
        {peer.name: Link(peer.address, 2, "peer-" + peer.name, 64) for peer in settings.peers},
        Pool(limits.callers, limits.calls, "workers"),
    )
    idle_s = 2 * settings.lease_s
    front = Server(
        settings.front, node.api.route, patience + 0.5, idle_s, limits.front, is_users, limits.users
    )
    internal = Server(settings.internal, node.peer_route, patience, idle_s, limits.internal)
    system.spawn(node.actors())
    internal.begin("internal")
    threading.Thread(target=tell_accounts, args=(system,), name="accounts", daemon=True).start()
    log.info("%s serves users and workers at %s:%d", settings.node, *settings.front)
    front.serve_forever(poll_interval=3600)
    return 0
