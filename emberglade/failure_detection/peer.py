"""What is known of one other controller."""

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from .arrivals import ArrivalWindow
from .bounds import DetectionBounds
from .messages import HeartbeatVersion, Opinion, PeerState, PingOutcome

NEVER = float("-inf")
MAX_OUTAGES = 16  # remembered of each peer


class FailedProbe(NamedTuple):
    """What a relay found that could not reach the peer."""

    outcome: PingOutcome
    at: float


class Peer:
    """One controller as messages, keys and the results of probes show it; pure bookkeeping.

    All times are of this controller's steady clock, in seconds; NEVER: there was none.

    Attributes:
        version: Of the newest heartbeat that anybody told of.
        direct_version: Of the newest heartbeat that came here.
        direct_sent_at: When that one was sent.
        direct_store_contact_at: The contact with the state service that it stated.
        arrived_at: When it came.
        alive_at: When the newest sign of life was given, by any account.
        store_contact_at: Its last contact with the state service, by any account.
        slow: Whether it says that its own loop runs late.
        key_lease: The process that its key names, by its lease; None if the key is missing.
        refused_at: Since when its connections are refused here.
        probed_at: When relays were last asked about it.
        relays: Those that were asked.
    """

    def __init__(self, name: str, bounds: DetectionBounds) -> None:
        self.name = name
        self.bounds = bounds
        self.state = PeerState.UNKNOWN
        self.version: HeartbeatVersion | None = None
        self.direct_version: HeartbeatVersion | None = None
        self.direct_sent_at = NEVER
        self.direct_store_contact_at = NEVER
        self.arrived_at = NEVER
        self.alive_at = NEVER
        self.arrivals = ArrivalWindow(bounds.heartbeat_s)
        self.store_contact_at = NEVER
        self.slow = False
        self.key_lease: int | None = None
        self.refused_at = NEVER
        self.failed_probes: dict[str, FailedProbe] = {}  # by relay
        self.probed_at = NEVER
        self.relays: tuple[str, ...] = ()
        self._was_serving = False
        self._serving_since = NEVER
        self._outages: deque[float] = deque(maxlen=MAX_OUTAGES)  # when it stopped serving

    # --- signs of life

    def begin_incarnation(self) -> None:
        """Forgets what only its former process showed."""
        self.arrivals = ArrivalWindow(self.bounds.heartbeat_s)
        self.arrived_at = NEVER
        self.direct_sent_at = NEVER
        self.store_contact_at = NEVER
        self.slow = False
        self.forget_evidence()

    def forget_evidence(self) -> None:
        """Forgets what spoke for its end."""
        self.refused_at = NEVER
        self.failed_probes = {}
        self.probed_at = NEVER

    def note_version(self, version: HeartbeatVersion) -> bool:
        """Notes a heartbeat that somebody received; True unless it is of a former process."""
        if self.version is None:
            self.version = version
            return True
        if version.incarnation < self.version.incarnation:
            return False
        if version.incarnation > self.version.incarnation:
            self.begin_incarnation()
        self.version = max(self.version, version)
        return True

    @property
    def heard_directly(self) -> bool:
        """Whether this controller itself has heard the process that is there now."""
        return self.direct_sent_at > NEVER

    def note_sign_of_life(self, at: float) -> None:
        """Notes a sign of life given at that moment."""
        self.alive_at = max(self.alive_at, at)

    def silence_s(self, now: float) -> float:
        """How long it has been silent."""
        return now - self.alive_at

    def suspicion_timeout_s(self) -> float:
        """The silence from which on it is suspected."""
        surprising_s = self.arrivals.silence_at_phi(self.bounds.suspect_phi)
        return min(max(surprising_s, self.bounds.suspect_s), self.bounds.confirm_s)

    def opinion(self, now: float) -> Opinion:
        """What this controller's heartbeats say of it."""
        if not self.heard_directly:
            return Opinion(self.name, self.state, None, 0.0, 0.0, self.failback_delay_s(now))
        return Opinion(
            self.name,
            self.state,
            self.direct_version,
            max(0.0, now - self.direct_sent_at),
            max(0.0, self.direct_sent_at - self.direct_store_contact_at),
            self.failback_delay_s(now),
        )

    # --- what relays found

    def note_failed_probe(self, relay: str, outcome: PingOutcome, now: float) -> None:
        """Notes that a relay could not reach it."""
        self.failed_probes[relay] = FailedProbe(outcome, now)

    def failed_relays(self, outcomes: Collection[PingOutcome], now: float) -> list[str]:
        """The relays that were asked lately and found one of these outcomes."""
        oldest = now - 2 * self.bounds.heartbeat_s
        return [
            relay
            for relay, probe in self.failed_probes.items()
            if probe.outcome in outcomes and probe.at >= oldest
        ]

    def refuses_connections(self, now: float) -> bool:
        """Whether its connections are refused here, as of lately."""
        return now - self.refused_at <= 2 * self.bounds.heartbeat_s

    def confirming_outcomes(self, now: float, key_shown_gone: bool) -> tuple[PingOutcome, ...]:
        """The outcomes of relays' probes that would confirm its end now; none: nothing would."""
        if key_shown_gone and self.silence_s(now) >= self.bounds.confirm_s:
            return (PingOutcome.REFUSED, PingOutcome.SILENT)
        if self.refuses_connections(now):
            return (PingOutcome.REFUSED,)
        return ()

    # --- whether it can commit

    def serves(self, now: float, startup_over: bool) -> bool:
        """Whether it can be relied on to do the work of its shards.

        `startup_over`: this controller has run for so long that missing keys mean something.
        """
        if self.state is PeerState.DEAD:
            return False
        if self.key_lease is not None:
            return True
        if self.state is PeerState.UNKNOWN:
            return not startup_over
        # Its key is gone: what counts is how old its contact with the state service was when it was
        # last heard. Once broken: a pause of two seconds made the contact of one that was not even
        # suspected look old (failure_detection/short_pause.txt). A suspected one serves for a
        # while, until others have been asked.
        return (
            self.alive_at - self.store_contact_at < self.bounds.serves_without_key_s
            and self.silence_s(now) < 2 * self.bounds.confirm_s
        )

    def note_serving(self, serving: bool, now: float) -> None:
        """Keeps account of when it stopped serving and when it began again."""
        if self._was_serving and not serving:
            self._outages.append(now)
        if serving and not self._was_serving:
            self._serving_since = now
        self._was_serving = serving

    def failback_delay_s(self, now: float) -> float:
        """How long it should still serve before it gets shards back.

        It doubles with each outage of late.
        """
        oldest_s = 2 * self.bounds.max_failback_delay_s
        outages = sum(now - at < oldest_s for at in self._outages)
        if not outages:
            return 0.0
        delay_s = self.bounds.min_failback_delay_s * 2 ** (outages - 1)
        delay_s = min(delay_s, self.bounds.max_failback_delay_s)
        if not self._was_serving:
            return delay_s
        return max(0.0, self._serving_since + delay_s - now)
