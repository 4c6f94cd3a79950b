"""Pings and probes: how a controller asks a suspected peer for a sign of life, and asks others.

A ping goes to the peer itself; a probe asks a relay whether it reaches the peer, and the relay
pings it unless it heard it a moment ago. Every answer that carries a heartbeat is heard.
"""

from collections.abc import Callable
from typing import Any

from ..actors import callback, tell_after
from ..state import ReplicaSubscriber
from ..transport import NO_ANSWER, REFUSED, Reply
from .detector import PeerDetector
from .messages import (
    HEARTBEAT_FIELD,
    Heartbeat,
    MalformedPeerMessageError,
    PingOutcome,
    ProbeRequest,
    ProbeResult,
    read_ping,
    read_probe,
    read_probe_result,
    write_ping,
    write_probe,
    write_probe_result,
)


class PeerProbing(ReplicaSubscriber):
    """The part of `PeerMonitor` that pings peers and answers and sends probes.

    It is an actor's part: its handlers are told by the links' answers and by its own timers.
    """

    settings: Any
    bounds: Any
    links: dict[str, Any]
    detector: PeerDetector
    pinging: dict[str, list[Reply]]  # peer -> probes that wait for its ping
    # Given by PeerMonitor.
    heartbeat: Callable[[], Heartbeat | None]
    with_heartbeat: Callable[[dict], dict]
    note_outcome: Callable[[str, int, bool], None]
    hear: Callable[[str, Callable[[], Heartbeat]], Heartbeat | None]
    refuse: Callable[[str, Exception], None]

    def ping(self, peer, waiting=()):
        """Asks a peer for a sign of life; `waiting` are answered with what comes of it."""
        self.pinging[peer] = list(waiting)
        heartbeat = self.heartbeat()
        body = {} if heartbeat is None else write_ping(heartbeat)
        timeout = self.bounds.heartbeat_s
        # The link may be busy with a question that nobody answers.
        tell_after(timeout, self.on_ping_overdue, peer)
        self.links[peer].call("POST", "/peer/ping", body, timeout, callback(self.on_pinged, peer))

    def on_pinged(self, peer, status, body):
        """Handles the answer to `ping`, from the peer's link: hears it, answers waiting probes."""
        self.note_outcome(peer, status, False)
        if status == 200 and body:  # empty while that process does not know which one it is
            self.hear(peer, lambda: read_ping(body))
        if status == REFUSED:
            self.end_ping(peer, PingOutcome.REFUSED)
        else:
            self.end_ping(peer, PingOutcome.SILENT if status == NO_ANSWER else PingOutcome.ANSWERED)

    def on_ping_overdue(self, peer):
        """Handles `ping_overdue`, a heartbeat interval after `ping`: the peer counts as silent."""
        self.end_ping(peer, PingOutcome.SILENT)

    def end_ping(self, peer, outcome):
        """Answers the probes that waited for the ping of `peer` with `outcome`."""
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
        except MalformedPeerMessageError as error:
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
                "POST", "/peer/probe", body, timeout, callback(self.on_probed, relay, order.target)
            )

    def on_probed(self, relay, target, status, body):
        """Handles a relay's answer to a probe about `target`, from the relay's link.

        A result that can't be read, or that is about another controller, is refused.
        """
        if status != 200:
            return
        try:
            result = read_probe_result(body)
            if result.target != target:
                raise MalformedPeerMessageError(
                    f"the probe result is about {result.target!r}, not the target {target!r}"
                )
            self.detector.probed(relay, result, self.now())
        except MalformedPeerMessageError as error:
            self.refuse(relay, error)
