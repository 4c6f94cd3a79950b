"""The state machine of failure detection: messages and time in, transitions and probes out.

It sends nothing and reads no clock. docs/failure-detection.md gives the reason for each rule.
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

# Heartbeat intervals after the start in which this controller takes no home shards back, because
# it learns its failback delay only from the heartbeats of its peers.
FAILBACK_GRACE_INTERVALS = 2
# A key that is missing from the replica counts as expired only if this controller's last contact
# with the state service was at most this many heartbeat intervals ago.
RECENT_CONTACT_INTERVALS = 2


class PeerDetector:
    """Derives the state of each other controller from heartbeats, keys, calls and probes.

    Attributes:
        peers: What is known about each other controller, by name.
        health: Tracks whether this controller itself is slow.
        store_contact_at: When this controller last had contact with the state service.
    """

    def __init__(
        self,
        node: str,
        peer_names: Iterable[str],
        bounds: DetectionBounds,
        failure_domains: FailureDomains,
    ) -> None:
        """Creates the detector of the controller `node`; call `start` before anything else."""
        self.node, self.bounds, self.failure_domains = node, bounds, failure_domains
        self.peers = {name: Peer(name, bounds) for name in peer_names}
        self.health = LocalHealth(bounds.heartbeat_s)
        self.store_contact_at = NEVER
        self._began_at = NEVER  # when the startup period began
        self._failback_at = NEVER  # from when on this controller may take its home shards back
        self._new_transitions: list[Transition] = []  # since the last turn

    def start(self, now: float) -> None:
        """Starts the startup period, and a wait before this controller takes home shards back.

        In the startup period, a peer without a key and without heartbeats counts as serving.
        """
        self._began_at = now
        grace_s = FAILBACK_GRACE_INTERVALS * self.bounds.heartbeat_s
        self._failback_at = max(self._failback_at, now + grace_s)

    def note_first_replica(self, now: float) -> None:
        """Restarts the startup period, because only a replica shows which keys are missing."""
        self.start(now)

    # --- inputs

    def peer(self, name: str) -> Peer:
        """What is known about the peer `name`.

        Raises:
            MalformedPeerMessageError: `name` is not another controller of this cluster.
        """
        if name not in self.peers:
            raise MalformedPeerMessageError(f"{name!r} is no other controller of this cluster")
        return self.peers[name]

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float, wall_time: float) -> bool:
        """Applies a heartbeat that this controller received directly from its sender.

        Returns:
            False if the heartbeat was ignored, because it is a duplicate, arrived out of order or
            is from a previous process of the sender.

        Raises:
            MalformedPeerMessageError: The sender is unknown, or the heartbeat's time of sending is
                too far ahead of this controller's wall clock.
        """
        peer = self.peer(heartbeat.sender)
        self._check_clock(heartbeat, wall_time)
        if peer.direct_version is not None and heartbeat.version <= peer.direct_version:
            return False
        if not peer.note_version(heartbeat.version):
            return False
        delay_s = max(0.0, wall_time - heartbeat.sent_wall_time - 2 * self.bounds.skew_s)
        self._note_direct_heartbeat(peer, heartbeat, now - delay_s, now)
        for opinion in heartbeat.opinions:
            self._apply_opinion(opinion, delay_s, now)
        return True

    def _check_clock(self, heartbeat: Heartbeat, wall_time: float) -> None:
        if heartbeat.sent_wall_time > wall_time + 2 * self.bounds.skew_s + self.bounds.heartbeat_s:
            raise MalformedPeerMessageError(
                f"the heartbeat of {heartbeat.sender} was sent at {heartbeat.sent_wall_time:.3f},"
                f" too far ahead of this controller's wall time {wall_time:.3f}"
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
        self._note_alive(peer, sent_at, now, "heartbeat received")

    def _apply_opinion(self, opinion: Opinion, delay_s: float, now: float) -> None:
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
        """Notes a heartbeat received by another controller; False if a previous process sent it."""
        if not peer.note_version(version):
            return False
        self._note_alive(peer, sent_at, now, "heartbeat received by another controller")
        return True

    def _note_alive(self, peer: Peer, at: float, now: float, reason: str) -> None:
        """Notes evidence that a peer was alive at `at`; if it is recent, the peer becomes ALIVE."""
        peer.note_alive(at)
        overdue = peer.time_since_alive_s(now) >= peer.suspicion_timeout_s()
        if not overdue and peer.state is not PeerState.ALIVE:
            peer.clear_failure_evidence()
            self._set_state(peer, PeerState.ALIVE, reason)

    def note_key(self, name: str, lease: int | None) -> None:
        """Notes the lease of a peer's node key; `lease` is None if the key is missing."""
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
            # The key belongs to a new process: either it sends no heartbeats, or none of them has
            # arrived yet.
            peer.begin_incarnation()
            self._set_state(peer, PeerState.UNKNOWN, "its key belongs to another process")

    def note_call_outcome(self, name: str, outcome: PingOutcome, now: float) -> None:
        """Notes the outcome of a request or a ping from this controller to a peer."""
        self.peers[name].refused_at = now if outcome is PingOutcome.REFUSED else NEVER

    def note_probe_result(self, relay: str, result: ProbeResult, now: float) -> None:
        """Notes whether a relay reached the target of a probe.

        Raises:
            MalformedPeerMessageError: The target is not another controller of this cluster.
        """
        peer = self.peer(result.target)
        if result.outcome is not PingOutcome.ANSWERED:
            peer.note_failed_probe(relay, result.outcome, now)
        elif result.version is not None:
            self._note_indirect_heartbeat(peer, result.version, now - result.age_s, now)

    def note_store_contact(self, at: float) -> None:
        """Notes a contact of this controller with the state service."""
        self.store_contact_at = max(self.store_contact_at, at)

    # --- outputs

    def opinions(self, now: float) -> tuple[Opinion, ...]:
        """This controller's opinions on its peers, for its heartbeats."""
        return tuple(peer.opinion(now) for peer in self.peers.values())

    def turn(self, now: float, late_s: float) -> TurnResult:
        """Runs one turn of the detection loop, which started `late_s` after its due time."""
        if self.health.note_turn(now, late_s):
            self._allow_for_pause(late_s, now)
        suspected = self._suspect_overdue(now)
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
        """Excludes a pause of this process from the time since each peer was last alive."""
        for peer in self.peers.values():
            if peer.state in (PeerState.ALIVE, PeerState.SUSPECTED):
                peer.last_alive_at = min(now, peer.last_alive_at + pause_s)

    def _suspect_overdue(self, now: float) -> list[Peer]:
        """Suspects peers without recent heartbeats; returns all peers that are suspected now."""
        recently_paused = self.health.recently_paused(now)
        for peer in self.peers.values():
            elapsed_s = peer.time_since_alive_s(now)
            if (
                peer.state is PeerState.ALIVE
                and elapsed_s >= peer.suspicion_timeout_s()
                and not recently_paused
            ):
                self._set_state(peer, PeerState.SUSPECTED, f"no heartbeat for {elapsed_s:.1f} s")
        return [peer for peer in self.peers.values() if peer.state is PeerState.SUSPECTED]

    def _is_isolated(self) -> bool:
        """Whether at least two peers are suspected, and more are suspected than alive.

        The cause may then be that this controller itself is isolated.
        """
        states = [peer.state for peer in self.peers.values()]
        suspected = states.count(PeerState.SUSPECTED)
        return suspected >= 2 and 2 * suspected > suspected + states.count(PeerState.ALIVE)

    def _has_recent_store_contact(self, now: float) -> bool:
        age_s = now - self.store_contact_at
        return age_s <= RECENT_CONTACT_INTERVALS * self.bounds.heartbeat_s

    def _confirm(self, peer: Peer, isolated: bool, now: float) -> bool:
        """Declares a suspected peer dead if there is evidence for it; returns whether it did."""
        if self.health.recently_paused(now):
            return False
        relays = () if isolated else self._relays(peer)
        key_expired = peer.key_lease is None and self._has_recent_store_contact(now)
        reason = death_evidence(peer, relays, key_expired, self.failure_domains, now)
        if reason is None:
            return False
        self._set_state(peer, PeerState.DEAD, reason)
        return True

    def _relays(self, target: Peer) -> tuple[str, ...]:
        """The controllers that are asked to probe the target."""
        alive = [
            peer.name
            for peer in self.peers.values()
            if peer is not target and peer.state is PeerState.ALIVE
        ]
        return choose_relays(self.node, alive, self.failure_domains)

    def _indirect_probe(self, peer: Peer, isolated: bool, now: float) -> IndirectProbe | None:
        """The next indirect probe of a suspected peer, at most one per heartbeat interval."""
        if isolated or self.health.recently_paused(now):
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
        """The liveness of all controllers as of now."""
        recently_paused = self.health.recently_paused(now)
        slow = {peer.name for peer in self.peers.values() if peer.slow}
        if self.health.slow:
            slow.add(self.node)
        return LivenessView(
            states={peer.name: peer.state for peer in self.peers.values()},
            serving=self._serving(now),
            slow=frozenset(slow),
            may_fail_over=not recently_paused,
            may_fail_back=(
                now >= self._failback_at and not self._is_isolated() and not recently_paused
            ),
        )

    def _serving(self, now: float) -> frozenset[str]:
        """The controllers that can commit, this one included.

        Also records for each peer when it stops or starts serving.
        """
        startup_complete = now - self._began_at >= self.bounds.confirm_s
        serving = {self.node}
        for peer in self.peers.values():
            serves = peer.serves(now, startup_complete)
            peer.note_serving(serves, now)
            if serves:
                serving.add(peer.name)
        return frozenset(serving)

    def _set_state(self, peer: Peer, state: PeerState, reason: str) -> None:
        self._new_transitions.append(Transition(peer.name, peer.state, state, reason))
        peer.state = state
