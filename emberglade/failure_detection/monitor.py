"""The actor that exchanges heartbeats, and notifies other actors of which peers are alive."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Any

from .. import peer_paths
from ..actors import callback_inline, send, send_after, send_inline
from ..membership import ownership_revision
from ..membership.wire import NODE_PREFIX, read_incarnation
from ..state import Change, ReplicaSubscriber, Store
from . import wire
from .bounds import DetectionBounds
from .detector import PeerDetector
from .domains import FailureDomains
from .heartbeats import HeartbeatReceiver, HeartbeatSource
from .messages import PeerState
from .probes import PeerProbing
from .view import LivenessListener, LivenessView, Transition

if TYPE_CHECKING:
    from ..config import Settings
    from ..transport import Client, Reply

log = logging.getLogger("emberglade.failure_detection")

TURNS_PER_HEARTBEAT = 4


class MonitoredLink:
    """A link to a peer that adds heartbeats to machine queries and passes other calls through.

    A machine query requests a peer's view of the machines (`peer_paths.MACHINES`).
    """

    def __init__(self, monitor: "PeerMonitor", peer: str, link: "Client") -> None:
        self.monitor, self.peer, self.link = monitor, peer, link

    def call(self, method: str, path: str, body: Any, timeout: float, reply: "Reply") -> None:
        """Same contract as `Client.call`."""
        if path == peer_paths.MACHINES:
            send_inline(self.monitor.on_ask, self.peer, body, timeout, reply)
        else:
            self.link.call(method, path, body, timeout, reply)


class PeerMonitor(ReplicaSubscriber):
    """Runs the failure detector, exchanges its messages, and notifies listeners of changes.

    Attributes:
        listeners: The actors that receive `liveness(view)` when the view changes, and
            `peer_dead(name)` when a death is confirmed.
        detector: The state machine of failure detection.
        heartbeats: Creates the heartbeats of this process.
        receiver: Receives the heartbeats of peers.
        probing: Pings peers, and sends and answers probes.
    """

    follows_syncs = True

    def __init__(
        self,
        settings: "Settings",
        bounds: DetectionBounds,
        failure_domains: FailureDomains,
        store: Store,
        links: Mapping[str, "Client"],
    ) -> None:
        node = settings.node
        self.bounds, self.store, self.links = bounds, store, links
        self.listeners: Sequence[LivenessListener] = ()
        self.detector = PeerDetector(node, links, bounds, failure_domains)
        self.heartbeats = HeartbeatSource(self, node, self.detector)
        self.receiver = HeartbeatReceiver(self, links, self.detector)
        self.probing = PeerProbing(self, node, links, self.detector, self.heartbeats, self.receiver)
        self._view: LivenessView | None = None  # the last one sent to the listeners
        # Revision of the last change of a node's, a shard's or the leader's key.
        self._ownership_revision = -1
        self._transition_counts: Counter[PeerState] = Counter()  # by the new state

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: subscribes, and starts the detector."""
        super().on_begin()
        self.detector.start(self.now())
        self.schedule_turn()

    def on_identity(self, incarnation: int) -> None:
        """Handles `identity(incarnation)` from the membership actor.

        The incarnation becomes part of this process's heartbeats.
        """
        super().on_identity(incarnation)
        self.heartbeats.lease = incarnation

    def links_with_heartbeats(self) -> dict[str, MonitoredLink]:
        """The links to the peers, which add this controller's heartbeats to machine queries."""
        return {name: MonitoredLink(self, name, link) for name, link in self.links.items()}

    # --- the replica

    def on_changed(self, changes: list[Change], revision: int, is_snapshot: bool) -> None:
        """Handles `changed(changes, revision, is_snapshot)` from the store.

        The first replica restarts the detector's startup period. Node keys show the detector
        which process of each peer is registered. A change of a node, shard or leader key publishes
        a new view.
        """
        now = self.now()
        if self.heartbeats.first_revision is None:
            self.heartbeats.first_revision = revision
            self.detector.note_first_replica(now)
        for key, data, _ in changes:
            if key.startswith(NODE_PREFIX):
                lease = None if data is None else read_incarnation(data)
                self.detector.note_key(key[len(NODE_PREFIX) :], lease)
        changed = ownership_revision(changes, revision, is_snapshot)
        if changed is not None:
            self._ownership_revision = max(self._ownership_revision, changed)
            self.publish(self.detector.view(now))

    def publish(self, view: LivenessView) -> None:
        """Sends the view to the listeners if it has changed."""
        if self.heartbeats.first_revision is None:
            return
        view = view._replace(revision=self._ownership_revision)
        if view != self._view:
            self._view = view
            for listener in self.listeners:
                send(listener.on_liveness, view)

    def on_sync_answered(self, sent_at: float, revision: int) -> None:
        """Handles `sync_answered` from the store: notes the contact with the state service."""
        self.detector.note_store_contact(sent_at)

    # --- the loop

    def schedule_turn(self) -> None:
        """Schedules the next turn in a quarter of the heartbeat interval."""
        period_s = self.bounds.heartbeat_s / TURNS_PER_HEARTBEAT
        self.heartbeats.turn_due = self.now() + period_s
        send_after(period_s, self.on_turn)

    def on_turn(self) -> None:
        """Handles `turn` from `schedule_turn`: runs one turn of the detector.

        Logs each transition, sends the requested probes, publishes the view, and then sends
        `peer_dead(name)` to the listeners for each peer whose death is now confirmed.
        """
        now = self.now()
        result = self.detector.turn(now, max(0.0, now - self.heartbeats.turn_due))
        self.schedule_turn()
        for transition in result.transitions:
            self._note_transition(transition)
        for probe in result.probes:
            self.probing.send_probe(probe)
        self.publish(result.view)
        for transition in result.transitions:
            if transition.after is PeerState.DEAD:
                for listener in self.listeners:
                    send(listener.on_peer_dead, transition.peer)

    def _note_transition(self, transition: Transition) -> None:
        self._transition_counts[transition.after] += 1
        log.info(
            "peer %s is %s, was %s: %s",
            transition.peer,
            transition.after,
            transition.before,
            transition.reason,
        )

    def account(self) -> dict[str, Any]:
        """The account line's fields about peers; counts are since the start of the process."""
        return {
            "peers": {name: peer.state.value for name, peer in self.detector.peers.items()},
            "suspicions": self._transition_counts[PeerState.SUSPECTED],
            "deaths": self._transition_counts[PeerState.DEAD],
            "refused_statements": self.receiver.refused_count,
            "slow": self.detector.health.slow,
        }

    # --- heartbeats on machine queries between controllers

    def on_ask(self, peer: str, body: Any, timeout: float, reply: "Reply") -> None:
        """Handles `ask(peer, body, timeout, reply)` from a link: sends a machine query to a peer.

        The query carries a heartbeat, and `reply` receives the response.
        """
        self.links[peer].call(
            "POST",
            peer_paths.MACHINES,
            self.heartbeats.add_to(body),
            timeout,
            callback_inline(self.on_asked, peer, self.now() + timeout, reply),
        )

    def on_asked(self, peer: str, deadline: float, reply: "Reply", status: int, body: Any) -> None:
        """Handles the response to a query that `on_ask` sent, from the peer's link.

        Notes the outcome of the call, applies the heartbeat in the response, and passes status and
        body on to `reply`.
        """
        ended_early = self.now() < deadline - self.bounds.heartbeat_s
        self.probing.note_call_outcome(peer, status, ended_early)
        if status == 200 and wire.has_heartbeat(body):
            self.receiver.receive(peer, body)
        reply(status, body)

    def on_hear_question(self, data: Any) -> None:
        """Handles `hear_question(data)` from the server: a query of a peer was received.

        Applies the heartbeat that the query carries, if any; the agent manager answers the query.
        """
        if wire.has_heartbeat(data):
            self.receiver.receive(wire.read_sender(data), data)

    def reply_with_heartbeat(self, reply: "Reply") -> Callable[..., None]:
        """Wraps `reply` so that a successful response carries a heartbeat."""
        return callback_inline(self.on_answer, reply)

    def on_answer(self, reply: "Reply", status: int, body: Any) -> None:
        """Handles this controller's response to a query: adds a heartbeat and sends it."""
        reply(status, self.heartbeats.add_to(body) if status == 200 else body)
