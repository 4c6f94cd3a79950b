"""What this controller knows about one other controller."""

from collections import deque
from collections.abc import Collection
from typing import NamedTuple

from .arrivals import ArrivalWindow
from .bounds import DetectionBounds
from .messages import HeartbeatVersion, Opinion, PeerState, PingOutcome

NEVER = float("-inf")
MAX_OUTAGES = 16  # recorded outages per peer; the newest are kept


class FailedProbe(NamedTuple):
    """The outcome of a probe by a relay that could not reach the peer."""

    outcome: PingOutcome
    at: float


class Peer:
    """What heartbeats, keys, calls and probes show of one controller.

    All times are in seconds of this controller's monotonic clock, and NEVER if there was no such
    event.

    Attributes:
        state: The state of the peer, as this controller sees it.
        version: The version of the peer's newest heartbeat, whichever controller received it.
        direct_version: The version of the newest heartbeat that this controller received itself.
        direct_sent_at: When that heartbeat was sent.
        direct_store_contact_at: The peer's last contact with the state service, as that heartbeat
            states it.
        arrived_at: When that heartbeat arrived.
        arrivals: The intervals between the heartbeats that this controller received itself.
        last_alive_at: The newest time for which there is evidence, direct or indirect, that the
            peer was alive.
        store_contact_at: The peer's last contact with the state service, from all heartbeats.
        slow: Whether the peer reports that its own detection loop runs late.
        key_lease: The lease of the process that owns the peer's key; None if the key is missing.
        refused_at: When the latest call to the peer ended, if it failed because the connection was
            refused; otherwise NEVER.
        failed_probes: The latest failed probe of the peer by each relay.
        probed_at: When relays were last asked to probe the peer.
        relays: The relays that were last asked.
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
        self.last_alive_at = NEVER
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
        self._outages: deque[float] = deque(maxlen=MAX_OUTAGES)  # times at which it stopped serving

    # --- evidence that it is alive

    def begin_incarnation(self) -> None:
        """Resets the state that applied only to the peer's previous process."""
        self.arrivals = ArrivalWindow(self.bounds.heartbeat_s)
        self.arrived_at = NEVER
        self.direct_sent_at = NEVER
        self.store_contact_at = NEVER
        self.slow = False
        self.clear_failure_evidence()

    def clear_failure_evidence(self) -> None:
        """Clears the evidence that the peer is dead."""
        self.refused_at = NEVER
        self.failed_probes = {}
        self.probed_at = NEVER

    def note_version(self, version: HeartbeatVersion) -> bool:
        """Notes the version of a heartbeat, whichever controller received it.

        Returns False if a previous process of the peer sent the heartbeat.
        """
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
    def has_direct_heartbeat(self) -> bool:
        """Whether this controller itself received a heartbeat of the current process."""
        return self.direct_sent_at > NEVER

    def note_alive(self, at: float) -> None:
        """Notes evidence that the peer was alive at time `at`."""
        self.last_alive_at = max(self.last_alive_at, at)

    def time_since_alive_s(self, now: float) -> float:
        """Seconds since the peer was last known to be alive."""
        return now - self.last_alive_at

    def suspicion_timeout_s(self) -> float:
        """Seconds without evidence that the peer is alive after which it is suspected."""
        phi_timeout_s = self.arrivals.timeout_at_phi(self.bounds.suspect_phi)
        return min(max(phi_timeout_s, self.bounds.suspect_s), self.bounds.confirm_s)

    def opinion(self, now: float) -> Opinion:
        """This controller's opinion on the peer, for its heartbeats."""
        if not self.has_direct_heartbeat:
            return Opinion(self.name, self.state, None, 0.0, 0.0, self.failback_delay_s(now))
        return Opinion(
            self.name,
            self.state,
            self.direct_version,
            max(0.0, now - self.direct_sent_at),
            max(0.0, self.direct_sent_at - self.direct_store_contact_at),
            self.failback_delay_s(now),
        )

    # --- evidence that it is dead

    def note_failed_probe(self, relay: str, outcome: PingOutcome, now: float) -> None:
        """Notes that a relay could not reach the peer."""
        self.failed_probes[relay] = FailedProbe(outcome, now)

    def failed_relays(self, outcomes: Collection[PingOutcome], now: float) -> list[str]:
        """The relays that recently reported one of these outcomes."""
        oldest = now - 2 * self.bounds.heartbeat_s
        return [
            relay
            for relay, probe in self.failed_probes.items()
            if probe.outcome in outcomes and probe.at >= oldest
        ]

    def refuses_connections(self, now: float) -> bool:
        """Whether the peer recently refused a connection of this controller."""
        return now - self.refused_at <= 2 * self.bounds.heartbeat_s

    def confirming_outcomes(self, now: float, key_expired: bool) -> tuple[PingOutcome, ...]:
        """The probe outcomes that now count as confirmation that the peer is dead; may be empty."""
        if key_expired and self.time_since_alive_s(now) >= self.bounds.confirm_s:
            return (PingOutcome.REFUSED, PingOutcome.UNANSWERED)
        if self.refuses_connections(now):
            return (PingOutcome.REFUSED,)
        return ()

    # --- whether it can commit

    def serves(self, now: float, startup_complete: bool) -> bool:
        """Whether the peer counts as able to commit for its shards.

        `startup_complete`: this controller has run long enough for a missing key to be meaningful.
        """
        if self.state is PeerState.DEAD:
            return False
        if self.key_lease is not None:
            return True
        if self.state is PeerState.UNKNOWN:
            return not startup_complete
        # Without a key, the peer serves if it had recent contact with the state service when it was
        # last known to be alive. If the age of that contact were measured now instead, a pause of
        # two seconds would exceed the limit for a peer that is not even suspected
        # (failure_detection/short_pause.txt). A suspected peer counts as serving for a limited
        # time, so that relays can be asked first.
        return (
            self.last_alive_at - self.store_contact_at < self.bounds.serves_without_key_s
            and self.time_since_alive_s(now) < 2 * self.bounds.confirm_s
        )

    def note_serving(self, serving: bool, now: float) -> None:
        """Records when the peer stopped serving and when it started again."""
        if self._was_serving and not serving:
            self._outages.append(now)
        if serving and not self._was_serving:
            self._serving_since = now
        self._was_serving = serving

    def failback_delay_s(self, now: float) -> float:
        """How long the peer must still serve before it takes its home shards back.

        The delay doubles with each recent outage after the first, up to `max_failback_delay_s`.
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
