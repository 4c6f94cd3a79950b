"""Puts one controller together: the actors, the links, and the two servers."""

import logging
import threading
import time
from dataclasses import dataclass

import orjson

from .actors import ThreadSystem
from .agents import Desk, read_facts
from .fleet import Steward
from .frontdoor import Door
from .jobs import Keeper
from .membership import Member
from .state import Ledger
from .transport import Link, Pool, Server

log = logging.getLogger("emberglade")

@dataclass
class Node:
    ledger: Ledger
    keeper: Keeper
    member: Member
    desk: Desk
    steward: Steward
    door: Door

    def actors(self):
        return [(self.ledger, "state"), (self.keeper, "jobs"), (self.member, "membership"), (self.desk, "agents"),
                (self.steward, "fleet"), (self.door, "frontdoor")]

    def peer_route(self, method, path, body, reply):
        try:
            data = orjson.loads(body) if body else None
        except ValueError:
            reply(400, {"error": "not JSON"})
            return
        if path == "/peer/heard" and method == "POST":
            self.desk.tell("heard", reply)
        elif path == "/peer/facts" and method == "POST" and isinstance(data, list):
            for fact in read_facts(data):
                self.keeper.tell(*fact)
            reply(200, {})
        else:
            reply(404, {"error": "no such path"})


def assemble(settings, operators, state_link, cloud_link, peer_links, workers):
    """The actors of one node, not running yet."""
    ledger = Ledger(settings, state_link)
    keeper = Keeper(settings, ledger)
    listeners = [keeper]
    member = Member(settings, ledger, listeners)
    desk = Desk(settings, ledger, keeper, member, peer_links, workers)
    keeper.desk = desk
    steward = Steward(settings, operators, ledger, keeper, desk, cloud_link)
    door = Door(settings, ledger, desk)
    listeners += [desk, steward]
    return Node(ledger, keeper, member, desk, steward, door)


def tell_accounts(system, interval=60.0):
    """Says now and then where the time goes, actor by actor."""
    spent = time.process_time()
    while True:
        time.sleep(interval)
        before, spent = spent, time.process_time()
        log.info("processor %.1f %%; in actors, waits included: %s", 100 * (spent - before) / interval,
                 ", ".join(f"{name} {100 * busy / interval:.1f} % for {count} messages"
                           for name, (busy, count) in system.take_account().items()))


def serve(settings, operators):
    threading.stack_size(256 * 1024)
    system = ThreadSystem()
    patience = min(settings.lease_s / 4, 3.0)
    node = assemble(
        settings, operators, Link(settings.state, 6, "state-link"),
        Link(settings.cloud, 2, "cloud-link"), {peer.name: Link(peer.address, 1, "peer-" + peer.name, 64) for peer in settings.peers},
        Pool(4, "workers"))
    # A quarter of the descriptors is kept for links and for what the platform itself needs.
    front = Server(settings.front, node.door.route, patience + 0.5, settings.fd_limit // 2)
    internal = Server(settings.internal, node.peer_route, patience, settings.fd_limit // 8)
    for actor, name in node.actors():
        system.spawn(actor, name)
    internal.begin("internal")
    threading.Thread(target=tell_accounts, args=(system,), name="accounts", daemon=True).start()
    log.info("%s serves users and workers at %s:%d", settings.node, *settings.front)
    front.serve_forever(poll_interval=3600)
    return 0
