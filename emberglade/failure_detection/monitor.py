"""The actor that sends and hears heartbeats, and tells the others of this process who serves."""

import logging
from collections import Counter

from ..actors import callback_inline, tell, tell_after, tell_inline
from ..membership import ownership_revision
from ..transport import NO_ANSWER, REFUSED, Reply
from .detector import PeerDetector
from .messages import (
    HEARTBEAT_FIELD,
    Heartbeat,
    Incarnation,
    MalformedPeerMessageError,
    Mark,
    PeerState,
    PingOutcome,
    read_heartbeat,
    write_heartbeat,
)
from .probes import PeerProbing
from .view import LivenessListener, LivenessView

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
            tell_inline(self.monitor.on_ask, self.peer, body, timeout, reply)
        else:
            self.link.call(method, path, body, timeout, reply)


class PeerMonitor(PeerProbing):
    """Drives the state machine, carries its messages, and tells of what changes.

    `listeners` are told `liveness(view)` when the view changes, and `peer_dead(name)` once an
    end is confirmed.
    """

    follows_syncs = True

    def __init__(self, settings, bounds, domains, store, links):
        self.settings, self.bounds, self.domains = settings, bounds, domains
        self.store, self.links = store, links
        self.listeners: list[LivenessListener] = []
        self.detector: PeerDetector  # made when the actor begins
        self.first_revision: int | None = None
        self.sequence = 0
        self.view: LivenessView | None = None
        self.ownership_revision = -1  # of the last change of a node's, shard's or leader's key
        self.keys: set[str] = set()  # peers whose keys are there
        self.moves: Counter[PeerState] = Counter()  # transitions to each state
        self.refused_messages: Counter[str] = Counter()  # peer -> its messages that were refused
        self.pinging: dict[str, list[Reply]] = {}  # peer -> probes that wait for its ping
        self.turn_due = 0.0

    def on_begin(self):
        """Handles `begin`, from the actor system: subscribes, makes the detector, starts turns."""
        super().on_begin()
        self.detector = PeerDetector(
            self.settings.node, self.links, self.bounds, self.domains, self.now()
        )
        self.schedule_turn()

    def links_with_heartbeats(self):
        """The links to the peers, each adding this controller's heartbeat to its questions."""
        return {name: MonitoredLink(self, name, link) for name, link in self.links.items()}

    # --- the committed copy

    def on_changed(self, events, revision, whole):
        """Handles `changed(events, revision, whole)` from the store.

        The first copy starts the detector. The peers' node keys (below `n/`) tell the detector
        which process of each peer holds its key; a change of claims publishes a new view.
        """
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
            self.ownership_revision = max(self.ownership_revision, changed)
            self.publish(self.detector.view(now))

    def publish(self, view):
        """Tells the listeners if anything in the view has changed."""
        if self.first_revision is None:
            return
        view = view._replace(revision=self.ownership_revision)
        if view != self.view:
            self.view = view
            for listener in self.listeners:
                tell(listener.on_liveness, view)

    def on_sync_answered(self, sent_at, revision):
        """Handles `sync_answered`, from the store: a sync sent at `sent_at` was answered."""
        self.detector.touched_state_service(sent_at)

    # --- the loop

    def schedule_turn(self):
        """Tells this actor `turn` after a quarter of the heartbeat interval."""
        period = self.bounds.heartbeat_s / TURNS_PER_HEARTBEAT
        self.turn_due = self.now() + period
        tell_after(period, self.on_turn)

    def on_turn(self):
        """Handles `turn`, from `schedule_turn`: one step of the detector.

        Logs each transition, sends the probes the detector orders, publishes the view, and tells
        the listeners `peer_dead(name)` for each peer whose death is now confirmed.
        """
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
                    tell(listener.on_peer_dead, transition.peer)

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
            "refused_statements": sum(self.refused_messages.values()),
            "slow": self.detector.health.slow,
        }

    # --- heartbeats carried by the questions between controllers

    def on_ask(self, peer, body, timeout, reply):
        """This controller's question to a peer."""
        self.links[peer].call(
            "POST",
            "/peer/heard",
            self.with_heartbeat(body),
            timeout,
            callback_inline(self.on_asked, peer, self.now() + timeout, reply),
        )

    def on_asked(self, peer, deadline, reply, status, body):
        """Handles the answer to a question of `on_ask`, from the peer's link.

        Notes how the call ended, hears the heartbeat in the answer, and hands status and body on
        to the asker's `reply`.
        """
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
        return callback_inline(self.on_answer, reply)

    def hear(self, peer, read):
        """Hears the heartbeat that `read` returns; None if it can't be taken."""
        try:
            heartbeat = read()
            self.detector.hear(heartbeat, self.now(), self.system.wall())
        except MalformedPeerMessageError as error:
            self.refuse(peer, error)
            return None
        return heartbeat

    def refuse(self, peer, error):
        """Counts a message that can't be taken, and logs the first of each peer."""
        peer = peer if peer in self.links else "an unknown sender"
        self.refused_messages[peer] += 1
        if self.refused_messages[peer] == 1:
            log.warning("a message of %s is refused, as will be others: %s", peer, error)
