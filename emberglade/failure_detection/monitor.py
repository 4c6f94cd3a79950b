"""The actor that sends and hears heartbeats, and tells the others of this process who serves."""

import logging
from collections import Counter

from ..actors import Actor
from ..membership import ownership_revision
from ..state import Follower
from ..transport import NO_ANSWER, REFUSED, Reply
from .detector import PeerDetector
from .messages import (
    HEARTBEAT_FIELD,
    Heartbeat,
    Incarnation,
    MalformedStatement,
    Mark,
    PeerState,
    PingOutcome,
    ProbeRequest,
    ProbeResult,
    read_heartbeat,
    read_ping,
    read_probe,
    read_probe_result,
    write_heartbeat,
    write_ping,
    write_probe,
    write_probe_result,
)
from .view import LivenessView

log = logging.getLogger("emberglade.failure_detection")

TURNS_PER_HEARTBEAT = 4
NODE_KEYS = "n/"  # below LIVE


class MonitoredLink:
    """A link to a peer whose questions carry heartbeats; everything else goes its own way."""

    def __init__(self, monitor, peer, link):
        self.monitor, self.peer, self.link = monitor, peer, link

    def call(self, method, path, body, timeout, reply):
        """Like the link's own `call`."""
        if path == "/peer/heard":
            self.monitor.tell_inline("ask", self.peer, body, timeout, reply)
        else:
            self.link.call(method, path, body, timeout, reply)


class PeerMonitor(Follower):
    """Drives the state machine, carries its messages, and tells of what changes.

    `listeners` are told `liveness(view)` when the view changes, and `peer_dead(name)` once an
    end is confirmed.
    """

    hears_contact = True

    def __init__(self, settings, bounds, domains, store, links):
        self.settings, self.bounds, self.domains = settings, bounds, domains
        self.store, self.links = store, links
        self.listeners: list[Actor] = []
        self.detector: PeerDetector  # made when the actor begins
        self.first_revision: int | None = None
        self.sequence = 0
        self.view: LivenessView | None = None
        self.claims_revision = -1  # of the last change of a node's key, a shard or the lead
        self.keys: set[str] = set()  # peers whose keys are there
        self.moves: Counter[PeerState] = Counter()  # transitions to each state
        self.refused: Counter[str] = Counter()  # peer -> statements that were refused
        self.pinging: dict[str, list[Reply]] = {}  # peer -> probes that wait for its ping
        self.turn_due = 0.0

    def on_begin(self):
        super().on_begin()
        self.detector = PeerDetector(
            self.settings.node, self.links, self.bounds, self.domains, self.now()
        )
        self.schedule_turn()

    def links_with_heartbeats(self):
        """The links for the exchange of statements."""
        return {name: MonitoredLink(self, name, link) for name, link in self.links.items()}

    # --- the committed copy

    def on_changed(self, events, revision, whole):
        now = self.now()
        if self.first_revision is None:
            self.first_revision = revision
            self.detector.begin(now)
        changed = ownership_revision(events, revision, whole)
        if whole:
            present = {key[len(NODE_KEYS) :] for key, data, _ in events if data is not None}
            for name in self.keys - present:
                self.detector.register(name, None, now)
            self.keys &= present
        for key, data, _ in events:
            if not key.startswith(NODE_KEYS):
                continue
            name = key[len(NODE_KEYS) :]
            (self.keys.discard if data is None else self.keys.add)(name)
            self.detector.register(name, None if data is None else data.get("inc"), now)
        if changed is not None:
            self.claims_revision = max(self.claims_revision, changed)
            self.publish(self.detector.view(now))

    def publish(self, view):
        """Tells the listeners if anything in the view has changed."""
        if self.first_revision is None:
            return
        view = view._replace(revision=self.claims_revision)
        if view != self.view:
            self.view = view
            for listener in self.listeners:
                listener.tell("liveness", view)

    def on_contact(self, when, revision):
        self.detector.touched_state_service(when)

    # --- the loop

    def schedule_turn(self):
        period = self.bounds.heartbeat_s / TURNS_PER_HEARTBEAT
        self.turn_due = self.now() + period
        self.after(period, "turn")

    def on_turn(self):
        now = self.now()
        result = self.detector.turn(now, max(0.0, now - self.turn_due))
        self.schedule_turn()
        for transition in result.transitions:
            self.moves[transition.after] += 1
            log.info(
                "%s is %s, was %s: %s",
                transition.peer,
                transition.after,
                transition.before,
                transition.reason,
            )
        for order in result.probes:
            self.send_probes(order)
        self.publish(result.view)
        for transition in result.transitions:
            if transition.after is PeerState.DEAD:
                for listener in self.listeners:
                    listener.tell("peer_dead", transition.peer)

    def heartbeat(self):
        """The next heartbeat of this process, or None before it is known which process it is."""
        if self.incarnation is None or self.first_revision is None:
            return None
        now = self.now()
        self.sequence += 1
        # While this process stood still it could be in contact with nobody; it will be at once.
        excuse_s = self.detector.health.excuse_s(now, now - self.turn_due)
        return Heartbeat(
            sender=self.settings.node,
            mark=Mark(Incarnation(self.first_revision, self.incarnation), self.sequence),
            sent_wall=self.system.wall(),
            contact_age_s=min(1e6, max(0.0, now - self.detector.contact_at - excuse_s)),
            slow=self.detector.health.slow,
            opinions=self.detector.opinions(now),
        )

    def with_heartbeat(self, body):
        """A message's body with the next heartbeat."""
        heartbeat = self.heartbeat()
        if heartbeat is None:
            return body
        return {**body, HEARTBEAT_FIELD: write_heartbeat(heartbeat)}

    def account(self):
        """What an account of the process says of its peers, since the process began."""
        return {
            "peers": {name: peer.state.value for name, peer in self.detector.peers.items()},
            "suspicions": self.moves[PeerState.SUSPECTED],
            "deaths": self.moves[PeerState.DEAD],
            "refused_statements": sum(self.refused.values()),
            "slow": self.detector.health.slow,
        }

    # --- heartbeats on the exchange of statements

    def on_ask(self, peer, body, timeout, reply):
        """This controller's question to a peer."""
        self.links[peer].call(
            "POST",
            "/peer/heard",
            self.with_heartbeat(body),
            timeout,
            self.then_inline("asked", peer, self.now() + timeout, reply),
        )

    def on_asked(self, peer, deadline, reply, status, body):
        self.note_outcome(peer, status, self.now() < deadline - self.bounds.heartbeat_s)
        if status == 200 and isinstance(body, dict) and HEARTBEAT_FIELD in body:
            self.hear(peer, lambda: read_heartbeat(body[HEARTBEAT_FIELD]))
        reply(status, body)

    def note_outcome(self, peer, status, was_quick):
        """How a call to a peer ended, and a ping at once if its connection broke."""
        if status == REFUSED:
            self.detector.exchange_ended(peer, PingOutcome.REFUSED, self.now())
        elif status != NO_ANSWER:
            self.detector.exchange_ended(peer, PingOutcome.ANSWERED, self.now())
        else:
            self.detector.exchange_ended(peer, PingOutcome.SILENT, self.now())
            if was_quick and peer not in self.pinging:
                self.ping(peer)

    def on_hear_question(self, data):
        """A peer's question came in; what it carries besides is heard here."""
        if isinstance(data, dict) and HEARTBEAT_FIELD in data:
            sender = data.get("from")
            self.hear(str(sender), lambda: read_heartbeat(data[HEARTBEAT_FIELD]))

    def on_answer(self, reply, status, body):
        """This controller's answer to a question."""
        reply(status, self.with_heartbeat(body) if status == 200 else body)

    def answering(self, reply):
        """A reply whose answer carries a heartbeat."""
        return self.then_inline("answer", reply)

    def hear(self, peer, read):
        """Hears the heartbeat that `read` returns; None if it can't be taken."""
        try:
            heartbeat = read()
            self.detector.hear(heartbeat, self.now(), self.system.wall())
        except MalformedStatement as error:
            self.refuse(peer, error)
            return None
        return heartbeat

    def refuse(self, peer, error):
        """Counts a statement that can't be taken, and logs the first of each peer."""
        peer = peer if peer in self.links else "an unknown sender"
        self.refused[peer] += 1
        if self.refused[peer] == 1:
            log.warning("a statement of %s is refused, as will be others: %s", peer, error)

    # --- pings and probes

    def ping(self, peer, waiting=()):
        """Asks a peer for a sign of life; `waiting` are answered with what comes of it."""
        self.pinging[peer] = list(waiting)
        heartbeat = self.heartbeat()
        body = {} if heartbeat is None else write_ping(heartbeat)
        timeout = self.bounds.heartbeat_s
        # The link may be busy with a question that nobody answers.
        self.after(timeout, "ping_overdue", peer)
        self.links[peer].call("POST", "/peer/ping", body, timeout, self.then("pinged", peer))

    def on_pinged(self, peer, status, body):
        self.note_outcome(peer, status, False)
        if status == 200 and body:  # empty while that process does not know which one it is
            self.hear(peer, lambda: read_ping(body))
        if status == REFUSED:
            self.end_ping(peer, PingOutcome.REFUSED)
        else:
            self.end_ping(peer, PingOutcome.SILENT if status == NO_ANSWER else PingOutcome.ANSWERED)

    def on_ping_overdue(self, peer):
        self.end_ping(peer, PingOutcome.SILENT)

    def end_ping(self, peer, outcome):
        for reply in self.pinging.pop(peer, ()):
            reply(200, write_probe_result(self.probe_result(peer, outcome)))

    def probe_result(self, peer, outcome):
        """What this controller tells another about a peer."""
        record = self.detector.peers[peer]
        if outcome is not PingOutcome.ANSWERED or not record.heard_directly:
            return ProbeResult(peer, outcome, None, 0.0)
        return ProbeResult(
            peer, outcome, record.direct_mark, max(0.0, self.now() - record.direct_at)
        )

    def on_ping(self, data, reply):
        """A peer wants a sign of life."""
        if isinstance(data, dict) and HEARTBEAT_FIELD in data:
            self.hear("", lambda: read_ping(data))
        reply(200, self.with_heartbeat({}))

    def on_probe(self, data, reply):
        """A peer asks whether this controller reaches another one."""
        try:
            request = read_probe(data)
            self.detector.peer(request.sender)
            record = self.detector.peer(request.target)
        except MalformedStatement as error:
            self.refuse("", error)
            reply(400, {"error": str(error)})
            return
        now = self.now()
        if now - record.direct_at < self.bounds.heartbeat_s:
            outcome = PingOutcome.ANSWERED
        elif record.refuses(now) and now - record.refused_at < self.bounds.heartbeat_s:
            outcome = PingOutcome.REFUSED
        elif request.target in self.pinging:
            self.pinging[request.target].append(reply)
            return
        else:
            self.ping(request.target, [reply])
            return
        reply(200, write_probe_result(self.probe_result(request.target, outcome)))

    def send_probes(self, order):
        """Asks others about a suspected peer, and the peer itself."""
        if order.target not in self.pinging:
            self.ping(order.target)
        body = write_probe(ProbeRequest(self.settings.node, order.target))
        timeout = 2 * self.bounds.heartbeat_s
        for relay in order.relays:
            self.links[relay].call(
                "POST", "/peer/probe", body, timeout, self.then("probed", relay, order.target)
            )

    def on_probed(self, relay, target, status, body):
        if status != 200:
            return
        try:
            result = read_probe_result(body)
            if result.target != target:
                raise MalformedStatement("it is about another controller")
            self.detector.probed(relay, result, self.now())
        except MalformedStatement as error:
            self.refuse(relay, error)
