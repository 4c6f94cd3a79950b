"""The state machine of failure detection: messages and time in, transitions and probes out.

Pure: it sends nothing and reads no clock. docs/failure-detection.md says why each rule is there.
"""

from collections.abc import Iterable

from .bounds import DetectionBounds
from .confirmation import death_evidence
from .domains import FailureDomains
from .local_health import LocalHealth
from .messages import (
    Heartbeat,
    HeartbeatVersion,
    MalformedPeerMessageError,
    Opinion,
    PeerState,
    PingOutcome,
    ProbeResult,
)
from .peer import NEVER, Peer
from .relays import choose_relays
from .view import IndirectProbe, LivenessView, Transition, TurnResult

FAILBACK_GRACE_INTERVALS = 2  # after its start, for peers to say how long it should wait
RECENT_CONTACT_INTERVALS = 2  # so old may this controller's contact with the state service be


class PeerDetector:
    """Takes in what is heard of the other controllers, and says what to take them for.

    Attributes:
        peers: What is known of each of them, by name.
        health: Whether this controller is itself slow.
        store_contact_at: This controller's own last contact with the state service.
    """

    def __init__(
        self,
        node: str,
        peer_names: Iterable[str],
        bounds: DetectionBounds,
        domains: FailureDomains,
    ) -> None:
        """Makes the detector of the controller `node`; `start` has to come before all else."""
        self.node, self.bounds, self.domains = node, bounds, domains
        self.peers = {name: Peer(name, bounds) for name in peer_names}
        self.health = LocalHealth(bounds.heartbeat_s)
        self.store_contact_at = NEVER
        self._began_at = NEVER
        self._failback_at = NEVER  # when this controller may have its shards back
        self._new_transitions: list[Transition] = []  # since the last turn

    def start(self, now: float) -> None:
        """This process began."""
        self._began_at = now
        grace_s = FAILBACK_GRACE_INTERVALS * self.bounds.heartbeat_s
        self._failback_at = max(self._failback_at, now + grace_s)

    def note_first_replica(self, now: float) -> None:
        """The replica was read for the first time: keys that are missing mean something."""
        self.start(now)

    # --- what comes in

    def peer(self, name: str) -> Peer:
        """The record of the peer `name`.

        Raises:
            MalformedPeerMessageError: `name` is not another controller of this cluster.
        """
        if name not in self.peers:
            raise MalformedPeerMessageError(f"{name!r} is no other controller of this cluster")
        return self.peers[name]

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float, wall: float) -> bool:
        """A heartbeat that came from its sender; False if it is a copy or came out of order.

        Raises:
            MalformedPeerMessageError: Its sender is unknown, or it comes from the future.
        """
        peer = self.peer(heartbeat.sender)
        self._check_clock(heartbeat, wall)
        if peer.direct_version is not None and heartbeat.version <= peer.direct_version:
            return False
        if not peer.note_version(heartbeat.version):
            return False
        delay_s = max(0.0, wall - heartbeat.sent_wall - 2 * self.bounds.skew_s)
        self._note_direct_heartbeat(peer, heartbeat, now - delay_s, now)
        for opinion in heartbeat.opinions:
            self._take_opinion(opinion, delay_s, now)
        return True

    def _check_clock(self, heartbeat: Heartbeat, wall: float) -> None:
        if heartbeat.sent_wall > wall + 2 * self.bounds.skew_s + self.bounds.heartbeat_s:
            raise MalformedPeerMessageError(
                f"{heartbeat.sender} sent its heartbeat at wall time {heartbeat.sent_wall:.3f},"
                f" later than this controller's {wall:.3f} allows"
            )

    def _note_direct_heartbeat(
        self, peer: Peer, heartbeat: Heartbeat, sent_at: float, now: float
    ) -> None:
        if peer.arrived_at > NEVER:
            peer.arrivals.add(min(now - peer.arrived_at, self.bounds.confirm_s))
        peer.direct_version = heartbeat.version
        peer.direct_sent_at = sent_at
        peer.arrived_at = now
        peer.direct_store_contact_at = sent_at - heartbeat.store_contact_age_s
        peer.store_contact_at = max(peer.store_contact_at, peer.direct_store_contact_at)
        peer.slow = heartbeat.slow
        self._note_sign_of_life(peer, sent_at, now, "heard")

    def _take_opinion(self, opinion: Opinion, delay_s: float, now: float) -> None:
        if opinion.peer == self.node:
            self._failback_at = max(self._failback_at, now + opinion.failback_delay_s)
            return
        peer = self.peers.get(opinion.peer)
        if peer is None or opinion.version is None:
            return
        sent_at = now - delay_s - opinion.age_s
        if self._note_indirect_heartbeat(peer, opinion.version, sent_at, now):
            contact_at = sent_at - opinion.store_contact_age_s
            peer.store_contact_at = max(peer.store_contact_at, contact_at)

    def _note_indirect_heartbeat(
        self, peer: Peer, version: HeartbeatVersion, sent_at: float, now: float
    ) -> bool:
        """Another controller received this heartbeat; False if it was of a former process."""
        if not peer.note_version(version):
            return False
        self._note_sign_of_life(peer, sent_at, now, "heard by another")
        return True

    def _note_sign_of_life(self, peer: Peer, at: float, now: float, reason: str) -> None:
        """Notes a sign of life, which refutes a suspicion if it is recent enough."""
        peer.note_sign_of_life(at)
        silent = peer.silence_s(now) >= peer.suspicion_timeout_s()
        if not silent and peer.state is not PeerState.ALIVE:
            peer.forget_evidence()
            self._move(peer, PeerState.ALIVE, reason)

    def note_key(self, name: str, lease: int | None) -> None:
        """A controller's key as the replica shows it; `lease` None: it is missing."""
        peer = self.peers.get(name)
        if peer is None:
            return
        replaced = lease is not None and lease != peer.key_lease
        peer.key_lease = lease
        if (
            replaced
            and peer.state is not PeerState.UNKNOWN
            and peer.version is not None
            and lease != peer.version.incarnation.lease
        ):
            # A process that was not heard yet, or one that sends no heartbeats.
            peer.begin_incarnation()
            self._move(peer, PeerState.UNKNOWN, "its key names another process")

    def note_call_outcome(self, name: str, outcome: PingOutcome, now: float) -> None:
        """How this controller's own question to a peer, or its ping, ended."""
        self.peers[name].refused_at = now if outcome is PingOutcome.REFUSED else NEVER

    def note_probe_result(self, relay: str, result: ProbeResult, now: float) -> None:
        """A relay says whether it reaches the controller that it was asked about.

        Raises:
            MalformedPeerMessageError: That is no other controller of this cluster.
        """
        peer = self.peer(result.target)
        if result.outcome is not PingOutcome.ANSWERED:
            peer.note_failed_probe(relay, result.outcome, now)
        elif result.version is not None:
            self._note_indirect_heartbeat(peer, result.version, now - result.age_s, now)

    def note_store_contact(self, at: float) -> None:
        """This controller's contact with the state service."""
        self.store_contact_at = max(self.store_contact_at, at)

    # --- what goes out

    def opinions(self, now: float) -> tuple[Opinion, ...]:
        """What this controller's heartbeats say of the others."""
        return tuple(peer.opinion(now) for peer in self.peers.values())

    def turn(self, now: float, late_s: float) -> TurnResult:
        """One turn of the loop, which came `late_s` after its time."""
        if self.health.note_turn(now, late_s):
            self._allow_for_pause(late_s, now)
        suspected = self._suspect_silent(now)
        isolated = self._is_isolated()
        probes = []
        for peer in suspected:
            if not self._confirm(peer, isolated, now):
                probe = self._indirect_probe(peer, isolated, now)
                if probe is not None:
                    probes.append(probe)
        view = self.view(now)
        transitions = tuple(self._new_transitions)
        self._new_transitions = []
        return TurnResult(transitions, tuple(probes), view)

    def _allow_for_pause(self, pause_s: float, now: float) -> None:
        """While this controller stood still it could hear nobody."""
        for peer in self.peers.values():
            if peer.state in (PeerState.ALIVE, PeerState.SUSPECTED):
                peer.alive_at = min(now, peer.alive_at + pause_s)

    def _suspect_silent(self, now: float) -> list[Peer]:
        """Suspects whoever is silent for too long; all who are suspected now."""
        paused_lately = self.health.paused_lately(now)
        for peer in self.peers.values():
            silence_s = peer.silence_s(now)
            if (
                peer.state is PeerState.ALIVE
                and silence_s >= peer.suspicion_timeout_s()
                and not paused_lately
            ):
                self._move(peer, PeerState.SUSPECTED, f"silent for {silence_s:.1f} s")
        return [peer for peer in self.peers.values() if peer.state is PeerState.SUSPECTED]

    def _is_isolated(self) -> bool:
        """Whether most of the controllers that were heard are silent: it may be this one."""
        states = [peer.state for peer in self.peers.values()]
        silent = states.count(PeerState.SUSPECTED)
        return silent >= 2 and 2 * silent > silent + states.count(PeerState.ALIVE)

    def _in_store_contact(self, now: float) -> bool:
        age_s = now - self.store_contact_at
        return age_s <= RECENT_CONTACT_INTERVALS * self.bounds.heartbeat_s

    def _confirm(self, peer: Peer, isolated: bool, now: float) -> bool:
        """Takes a suspected peer for dead if there is evidence for it; True if so."""
        if self.health.paused_lately(now):
            return False
        relays = () if isolated else self._relays(peer)
        key_shown_gone = peer.key_lease is None and self._in_store_contact(now)
        reason = death_evidence(peer, relays, key_shown_gone, self.domains, now)
        if reason is None:
            return False
        self._move(peer, PeerState.DEAD, reason)
        return True

    def _relays(self, target: Peer) -> tuple[str, ...]:
        """Whom to ask about the target."""
        alive = [
            peer.name
            for peer in self.peers.values()
            if peer is not target and peer.state is PeerState.ALIVE
        ]
        return choose_relays(self.node, alive, self.domains)

    def _indirect_probe(self, peer: Peer, isolated: bool, now: float) -> IndirectProbe | None:
        """A probe of a suspected peer through others, once an interval."""
        if isolated or self.health.paused_lately(now):
            return None
        if now - peer.probed_at < self.bounds.heartbeat_s:
            return None
        relays = self._relays(peer)
        if not relays:
            return None
        peer.probed_at = now
        peer.relays = relays
        return IndirectProbe(peer.name, relays)

    def view(self, now: float) -> LivenessView:
        """Whom to rely on, as of now."""
        paused_lately = self.health.paused_lately(now)
        slow = {peer.name for peer in self.peers.values() if peer.slow}
        if self.health.slow:
            slow.add(self.node)
        return LivenessView(
            states={peer.name: peer.state for peer in self.peers.values()},
            serving=self._serving(now),
            slow=frozenset(slow),
            may_fail_over=not paused_lately,
            may_fail_back=(
                now >= self._failback_at and not self._is_isolated() and not paused_lately
            ),
        )

    def _serving(self, now: float) -> frozenset[str]:
        """Who can commit, this controller among them; notes it for each peer."""
        startup_over = now - self._began_at >= self.bounds.confirm_s
        serving = {self.node}
        for peer in self.peers.values():
            serves = peer.serves(now, startup_over)
            peer.note_serving(serves, now)
            if serves:
                serving.add(peer.name)
        return frozenset(serving)

    def _move(self, peer: Peer, state: PeerState, reason: str) -> None:
        self._new_transitions.append(Transition(peer.name, peer.state, state, reason))
        peer.state = state
