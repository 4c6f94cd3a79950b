"""The state machine of failure detection: messages and time in, transitions and probes out.

Pure: it sends nothing and reads no clock. docs/failure-detection.md says why each rule is there.
"""

from typing import NamedTuple

from .local_health import LocalHealth
from .messages import MalformedPeerMessageError, Opinion, PeerState, PingOutcome
from .peer import Peer
from .view import LivenessView

MAX_RELAYS = 4  # controllers asked about one that is suspected


class Transition(NamedTuple):
    """A peer is taken for something else than before."""

    peer: str
    before: PeerState
    after: PeerState
    reason: str


class ProbeOrder(NamedTuple):
    """These controllers are to be asked whether they reach the target."""

    target: str
    relays: tuple[str, ...]


class TurnResult(NamedTuple):
    """What a turn of the loop led to."""

    transitions: tuple[Transition, ...]
    probes: tuple[ProbeOrder, ...]
    view: LivenessView


class PeerDetector:
    """Takes in what is heard of the other controllers, and says what to take them for."""

    def __init__(self, node, peer_names, bounds, domains, now):
        self.node, self.bounds, self.domains = node, bounds, domains
        self.began = now
        self.peers = {name: Peer(name, bounds) for name in peer_names}
        self.health = LocalHealth(bounds.heartbeat_s)
        self.contact_at = float("-inf")  # our own last contact with the state service
        # Peers say how long this controller, perhaps just restarted, should wait for its shards.
        self.return_at = now + 2 * bounds.heartbeat_s
        self.pending = []  # transitions since the last turn

    def begin(self, now):
        """The first copy of the state service is there: keys that are missing mean something."""
        self.began = now
        self.return_at = max(self.return_at, now + 2 * self.bounds.heartbeat_s)

    # --- what comes in

    def peer(self, name):
        """The record of the peer `name`.

        Raises:
            MalformedPeerMessageError: `name` is not another controller of this cluster.
        """
        if name not in self.peers:
            raise MalformedPeerMessageError(f"{name!r} is no other controller of this cluster")
        return self.peers[name]

    def hear(self, heartbeat, now, wall):
        """A heartbeat that came from its sender; False if it is a copy or came out of order."""
        peer = self.peer(heartbeat.sender)
        if heartbeat.sent_wall > wall + 2 * self.bounds.skew_s + self.bounds.heartbeat_s:
            raise MalformedPeerMessageError(
                f"{heartbeat.sender} sent its heartbeat at wall time {heartbeat.sent_wall:.3f},"
                f" later than this controller's {wall:.3f} allows"
            )
        if peer.direct_mark is not None and heartbeat.mark <= peer.direct_mark:
            return False
        if not peer.note_mark(heartbeat.mark):
            return False
        delay_s = max(0.0, wall - heartbeat.sent_wall - 2 * self.bounds.skew_s)
        sent_at = now - delay_s
        if peer.arrived_at > float("-inf"):
            peer.arrivals.add(min(now - peer.arrived_at, self.bounds.confirm_s))
        peer.direct_mark, peer.direct_at, peer.arrived_at = heartbeat.mark, sent_at, now
        peer.direct_contact_at = sent_at - heartbeat.contact_age_s
        peer.contact_at = max(peer.contact_at, peer.direct_contact_at)
        peer.slow = heartbeat.slow
        self._note_life(peer, sent_at, now, "heard")
        for opinion in heartbeat.opinions:
            self._take_opinion(opinion, delay_s, now)
        return True

    def _take_opinion(self, opinion, delay_s, now):
        if opinion.peer == self.node:
            self.return_at = max(self.return_at, now + opinion.return_wait_s)
            return
        peer = self.peers.get(opinion.peer)
        if peer is None or opinion.mark is None:
            return
        sent_at = now - delay_s - opinion.age_s
        if self._note_heard_by_other(peer, opinion.mark, sent_at, now):
            peer.contact_at = max(peer.contact_at, sent_at - opinion.contact_age_s)

    def _note_heard_by_other(self, peer, mark, sent_at, now):
        """Somebody else heard the peer at that moment; False if it was a former process."""
        if not peer.note_mark(mark):
            return False
        self._note_life(peer, sent_at, now, "heard by another")
        return True

    def _note_life(self, peer, at, now, reason):
        peer.live(at)
        if peer.silence(now) < peer.suspicion_s() and peer.state is not PeerState.ALIVE:
            peer.forget_evidence()
            self._move(peer, PeerState.ALIVE, reason)

    def register(self, name, lease, now):
        """A peer's key as the copy of the state service shows it; `lease` None: it is missing."""
        peer = self.peers.get(name)
        if peer is None:
            return
        replaced = lease is not None and lease != peer.key_lease
        peer.key_lease = lease
        if (
            replaced
            and peer.state is not PeerState.UNKNOWN
            and peer.mark is not None
            and lease != peer.mark.incarnation.lease
        ):
            # A process that was not heard yet, or one that sends no heartbeats.
            peer.begin_incarnation()
            self._move(peer, PeerState.UNKNOWN, "its key names another process")

    def exchange_ended(self, name, outcome, now):
        """How this controller's own question to a peer, or its ping, ended."""
        peer = self.peers[name]
        peer.refused_at = now if outcome is PingOutcome.REFUSED else float("-inf")

    def probed(self, relay, result, now):
        """A controller says whether it reaches the one that it was asked about."""
        peer = self.peer(result.target)
        if result.outcome is PingOutcome.ANSWERED:
            if result.mark is not None:
                self._note_heard_by_other(peer, result.mark, now - result.age_s, now)
            return
        peer.denials[relay] = (result.outcome, now)

    def touched_state_service(self, at):
        """This controller's contact with the state service."""
        self.contact_at = max(self.contact_at, at)

    # --- what goes out

    def opinions(self, now):
        """What this controller's heartbeats say of the others."""
        return tuple(
            Opinion(
                peer.name,
                peer.state,
                peer.direct_mark if peer.heard_directly else None,
                max(0.0, now - peer.direct_at) if peer.heard_directly else 0.0,
                max(0.0, peer.direct_at - peer.direct_contact_at) if peer.heard_directly else 0.0,
                peer.return_wait_s(now),
            )
            for peer in self.peers.values()
        )

    def turn(self, now, late_s):
        """One turn of the loop, which came `late_s` after its time."""
        if self.health.turn(now, late_s):
            self._forgive(late_s, now)
        suspected = self._suspect(now)
        isolated = self._isolated()
        probes = []
        for peer in suspected:
            if not self._confirm(peer, isolated, now):
                order = self._ask_others(peer, isolated, now)
                if order is not None:
                    probes.append(order)
        view = self.view(now)
        transitions, self.pending = tuple(self.pending), []
        return TurnResult(transitions, tuple(probes), view)

    def _forgive(self, late_s, now):
        """While this controller stood still it could hear nobody."""
        for peer in self.peers.values():
            if peer.state in (PeerState.ALIVE, PeerState.SUSPECTED):
                peer.heard_at = min(now, peer.heard_at + late_s)

    def _suspect(self, now):
        """Suspects whoever is silent for too long; all who are suspected now."""
        for peer in self.peers.values():
            if (
                peer.state is PeerState.ALIVE
                and peer.silence(now) >= peer.suspicion_s()
                and not self.health.doubtful(now)
            ):
                self._move(peer, PeerState.SUSPECTED, f"silent for {peer.silence(now):.1f} s")
        return [peer for peer in self.peers.values() if peer.state is PeerState.SUSPECTED]

    def _isolated(self):
        """Whether most of the controllers that were heard are silent: it may be this one."""
        states = [peer.state for peer in self.peers.values()]
        silent = states.count(PeerState.SUSPECTED)
        return silent >= 2 and 2 * silent > silent + states.count(PeerState.ALIVE)

    def _in_contact(self, now):
        return now - self.contact_at <= 2 * self.bounds.heartbeat_s

    def _confirm(self, peer, isolated, now):
        """Takes a suspected peer for dead if there is evidence for it; True if so."""
        if self.health.doubtful(now):
            return False
        key_shown_gone = peer.key_lease is None and self._in_contact(now)
        if key_shown_gone and peer.refuses(now):
            # Two sources of evidence: the state service, and the machine where nobody listens any
            # more. Once slower than keys alone, when most controllers ended at once
            # (failure_detection/majority_lost.txt).
            self._move(peer, PeerState.DEAD, "refuses, and the state service has ended its key")
            return True
        relays = () if isolated else self._relays(peer)
        if not relays:
            # The state service alone is the evidence.
            if not key_shown_gone or peer.silence(now) < self.bounds.confirm_s:
                return False
            self._move(peer, PeerState.DEAD, "silent, and the state service has ended its key")
            return True
        outcomes = peer.confirming_outcomes(now, key_shown_gone)
        denying = {self.domains.of(name) for name in peer.denying(outcomes, now)}
        if len(denying) < self._needed(peer, relays):
            return False
        self._move(
            peer, PeerState.DEAD, f"{'refuses' if peer.refuses(now) else 'silent'}; others confirm"
        )
        return True

    def _needed(self, peer, relays):
        """How many domains have to confirm: a majority of those asked."""
        asked = {self.domains.of(name) for name in peer.asked or relays}
        return len(asked) // 2 + 1

    def _relays(self, target):
        """Whom to ask about the target: other domains than ours first, one a domain first."""
        alive = [
            peer.name
            for peer in self.peers.values()
            if peer is not target and peer.state is PeerState.ALIVE
        ]
        own = self.domains.of(self.node)
        others = [name for name in alive if self.domains.of(name) != own]
        first: list[str] = []
        further: list[str] = []
        seen: set[str] = set()
        for name in sorted(others):
            (further if self.domains.of(name) in seen else first).append(name)
            seen.add(self.domains.of(name))
        return tuple((first + further)[:MAX_RELAYS])

    def _ask_others(self, peer, isolated, now):
        """A ProbeOrder about a suspected peer, once an interval."""
        if isolated or self.health.doubtful(now) or now - peer.asked_at < self.bounds.heartbeat_s:
            return None
        relays = self._relays(peer)
        if not relays:
            return None
        peer.asked_at, peer.asked = now, relays
        return ProbeOrder(peer.name, relays)

    def view(self, now):
        """Whom to rely on, as of now."""
        doubtful = self.health.doubtful(now)
        startup_over = now - self.began >= self.bounds.confirm_s
        serving = {self.node}
        for peer in self.peers.values():
            serves = peer.serves(now, startup_over)
            peer.follow_service(serves, now)
            if serves:
                serving.add(peer.name)
        slow = {peer.name for peer in self.peers.values() if peer.slow}
        if self.health.slow:
            slow.add(self.node)
        return LivenessView(
            states={peer.name: peer.state for peer in self.peers.values()},
            serving=frozenset(serving),
            slow=frozenset(slow),
            may_fail_over=not doubtful,
            may_return=now >= self.return_at and not self._isolated() and not doubtful,
        )

    def _move(self, peer, state, reason):
        self.pending.append(Transition(peer.name, peer.state, state, reason))
        peer.state = state
