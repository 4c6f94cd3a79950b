"""Pings and indirect probes, which check whether a peer is alive.

A ping goes to the peer itself. A probe asks a relay whether it reaches the peer; the relay pings
the peer unless it knows the outcome from the last heartbeat interval. Heartbeats in responses are
applied.
"""

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any

from .. import peer_paths
from ..actors import Actor, ActorPart, callback, send_after
from ..transport import NO_ANSWER, REFUSED
from . import wire
from .detector import PeerDetector
from .heartbeats import HeartbeatReceiver, HeartbeatSource
from .messages import MalformedPeerMessageError, PingOutcome, ProbeRequest, ProbeResult
from .peer import Peer
from .view import IndirectProbe

if TYPE_CHECKING:
    from ..transport import Client, Reply

PROBE_TIMEOUT_INTERVALS = 2  # heartbeat intervals; the relay's own ping may take one


def outcome_of(status: int) -> PingOutcome:
    """The ping outcome that the status of a call to a peer stands for."""
    if status == REFUSED:
        return PingOutcome.REFUSED
    return PingOutcome.UNANSWERED if status == NO_ANSWER else PingOutcome.ANSWERED


class PeerProbing(ActorPart):
    """The part of the monitor that pings peers, and sends and answers probes."""

    def __init__(
        self,
        actor: Actor,
        node: str,
        links: Mapping[str, "Client"],
        detector: PeerDetector,
        heartbeats: HeartbeatSource,
        receiver: HeartbeatReceiver,
    ) -> None:
        super().__init__(actor)
        self.node, self.links, self.detector = node, links, detector
        self.heartbeats, self.receiver = heartbeats, receiver
        self.heartbeat_s = detector.bounds.heartbeat_s
        # Peer with a ping in flight -> replies to the probes that wait for its outcome.
        self._pings: dict[str, list[Reply]] = {}

    # --- pings

    def ping(self, peer: str, waiting: Iterable["Reply"] = ()) -> None:
        """Pings a peer; `waiting` are the replies of probes that wait for the outcome."""
        self._pings[peer] = list(waiting)
        body = self.heartbeats.add_to({})
        # The link may be blocked by a query without a response, so the ping has its own timeout.
        send_after(self.heartbeat_s, self.on_ping_overdue, peer)
        self.links[peer].call(
            "POST", peer_paths.PING, body, self.heartbeat_s, callback(self.on_pinged, peer)
        )

    def on_pinged(self, peer: str, status: int, body: Any) -> None:
        """Handles the response to a ping, from the peer's link: answers the waiting probes."""
        self.note_call_outcome(peer, status, ended_early=False)
        if status == 200 and body:  # empty while the peer's process does not know its incarnation
            self.receiver.receive(peer, body)
        self._end_ping(peer, outcome_of(status))

    def on_ping_overdue(self, peer: str) -> None:
        """Handles `ping_overdue`, sent to itself one heartbeat interval after a ping.

        The ping counts as unanswered. Does nothing if no ping to the peer is in flight.
        """
        self._end_ping(peer, PingOutcome.UNANSWERED)

    def _end_ping(self, peer: str, outcome: PingOutcome) -> None:
        """Answers the probes that wait for the ping of `peer` with `outcome`."""
        for reply in self._pings.pop(peer, ()):
            reply(200, wire.write_probe_result(self._probe_result(peer, outcome)))

    def note_call_outcome(self, peer: str, status: int, ended_early: bool) -> None:
        """Notes the outcome of a call to a peer; pings the peer at once if the connection broke.

        `ended_early`: the call ended more than a heartbeat interval before its timeout.
        """
        outcome = outcome_of(status)
        self.detector.note_call_outcome(peer, outcome, self.now())
        if outcome is PingOutcome.UNANSWERED and ended_early and peer not in self._pings:
            self.ping(peer)

    # --- requests of peers

    def on_ping(self, data: Any, reply: "Reply") -> None:
        """Handles `ping(data, reply)` from the server: a peer checks that this process is alive.

        Applies the heartbeat that the ping carries, if any. The reply carries a heartbeat of this
        process, unless its incarnation is still unknown.
        """
        if wire.has_heartbeat(data):
            self.receiver.receive("", data)
        reply(200, self.heartbeats.add_to({}))

    def on_probe(self, data: Any, reply: "Reply") -> None:
        """Handles `probe(data, reply)` from the server: a peer asks this controller to be a relay.

        Replies at once if the outcome is known from the last heartbeat interval, else after a ping.
        """
        try:
            request = wire.read_probe(data)
            self.detector.peer(request.sender)
            peer = self.detector.peer(request.target)
        except MalformedPeerMessageError as error:
            self.receiver.refuse("", error)
            reply(400, wire.write_refusal(error))
            return
        outcome = self._known_outcome(peer)
        if outcome is not None:
            reply(200, wire.write_probe_result(self._probe_result(peer.name, outcome)))
        elif peer.name in self._pings:
            self._pings[peer.name].append(reply)
        else:
            self.ping(peer.name, [reply])

    def _known_outcome(self, peer: Peer) -> PingOutcome | None:
        """The outcome of a ping if it is known from the last heartbeat interval, else None."""
        now = self.now()
        if now - peer.direct_sent_at < self.heartbeat_s:
            return PingOutcome.ANSWERED
        if peer.refuses_connections(now) and now - peer.refused_at < self.heartbeat_s:
            return PingOutcome.REFUSED
        return None

    def _probe_result(self, name: str, outcome: PingOutcome) -> ProbeResult:
        """The result of a probe for which this controller is the relay."""
        peer = self.detector.peers[name]
        if outcome is not PingOutcome.ANSWERED or not peer.has_direct_heartbeat:
            return ProbeResult(name, outcome, None, 0.0)
        age_s = max(0.0, self.now() - peer.direct_sent_at)
        return ProbeResult(name, outcome, peer.direct_version, age_s)

    # --- requests to relays

    def send_probe(self, probe: IndirectProbe) -> None:
        """Pings a suspected peer, and asks relays to probe it."""
        if probe.target not in self._pings:
            self.ping(probe.target)
        body = wire.write_probe(ProbeRequest(self.node, probe.target))
        timeout_s = PROBE_TIMEOUT_INTERVALS * self.heartbeat_s
        for relay in probe.relays:
            reply = callback(self.on_probed, relay, probe.target)
            self.links[relay].call("POST", peer_paths.PROBE, body, timeout_s, reply)

    def on_probed(self, relay: str, target: str, status: int, body: Any) -> None:
        """Handles a relay's response to a probe of `target`, from the relay's link.

        Rejects a result that is invalid or is about another controller.
        """
        if status != 200:
            return
        try:
            result = wire.read_probe_result(body)
            if result.target != target:
                raise MalformedPeerMessageError(
                    f"the probe result names the target {result.target!r}, expected {target!r}"
                )
            self.detector.note_probe_result(relay, result, self.now())
        except MalformedPeerMessageError as error:
            self.receiver.refuse(relay, error)
