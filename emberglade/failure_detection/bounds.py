"""The time bounds of failure detection, derived from the settings and validated."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .domains import FailureDomains
from .errors import DetectionError

if TYPE_CHECKING:
    from ..config import Operators, Settings

MAX_PHI = 16.0
# `serves_without_key_s` as a share of an agent's lease. A controller's lease at the state service
# is 1/3 as long as an agent's and is renewed every third of its length. While the controller has
# contact with the state service, the last renewal is therefore at most 1/3 of the length ago. So
# when the lease expires, the last contact is at least 2/3 of the length ago, which is 2/9 of an
# agent's lease.
SERVES_WITHOUT_KEY_LEASES = 2 / 9
FAILBACK_DOUBLINGS = 6  # outages double a controller's failback delay at most this many times


@dataclass(frozen=True, slots=True)
class DetectionBounds:
    """The time bounds, all in seconds of the monotonic clock.

    Attributes:
        heartbeat_s: The interval of the peer exchange, whose messages carry the heartbeats.
        suspect_s: Minimum time without a heartbeat before a peer is suspected.
        confirm_s: Time without a heartbeat after which a peer whose key has expired may be
            declared dead even if it refuses no connections.
        suspect_phi: A peer is suspected when its suspicion level (phi) reaches this, but not before
            `suspect_s` and not after `confirm_s` without a heartbeat.
        serves_without_key_s: A peer whose key is missing counts as serving only if its last
            contact with the state service was less than this long before it was last known to be
            alive.
        skew_s: Maximum difference between the wall clock of any machine and the true time.
    """

    heartbeat_s: float
    suspect_s: float
    confirm_s: float
    suspect_phi: float
    serves_without_key_s: float
    skew_s: float

    @property
    def min_failback_delay_s(self) -> float:
        """How long a controller must serve after its first outage to take home shards back."""
        return self.confirm_s

    @property
    def max_failback_delay_s(self) -> float:
        """Upper bound of the failback delay, reached after repeated outages."""
        return self.confirm_s * 2**FAILBACK_DOUBLINGS


def detection_bounds(settings: "Settings", operators: "Operators") -> DetectionBounds:
    """The bounds for these settings; raises DetectionError if they contradict each other."""
    _check_range("suspect_after", operators.suspect_after, 1, math.inf)
    _check_range("confirm_after", operators.confirm_after, 0, 1)
    _check_range("suspect_phi", operators.suspect_phi, 1, MAX_PHI)
    heartbeat_s = settings.peer_exchange_s
    suspect_s = operators.suspect_after * heartbeat_s
    confirm_s = operators.confirm_after * settings.lease_s
    if confirm_s < suspect_s:
        _refuse_contradiction(operators, suspect_s, confirm_s)
    return DetectionBounds(
        heartbeat_s=heartbeat_s,
        # With very short leases the defaults contradict each other; then suspect_s is confirm_s.
        suspect_s=min(suspect_s, confirm_s),
        confirm_s=confirm_s,
        suspect_phi=operators.suspect_phi,
        serves_without_key_s=settings.lease_s * SERVES_WITHOUT_KEY_LEASES,
        skew_s=settings.skew_s,
    )


def _check_range(field: str, value: float, minimum: float, maximum: float) -> None:
    if not minimum <= value <= maximum:
        raise DetectionError(field, value, f"is not from {minimum:g} to {maximum:g}")


def _refuse_contradiction(operators: "Operators", suspect_s: float, confirm_s: float) -> None:
    """Raises DetectionError unless both of the contradicting bounds have their default values."""
    defaults = type(operators)()
    if operators.suspect_after != defaults.suspect_after:
        reason = f"is {suspect_s:g} s, above confirm_after ({confirm_s:g} s)"
        raise DetectionError("suspect_after", operators.suspect_after, reason)
    if operators.confirm_after != defaults.confirm_after:
        reason = f"is {confirm_s:g} s, below suspect_after ({suspect_s:g} s)"
        raise DetectionError("confirm_after", operators.confirm_after, reason)


def describe_detection(settings: "Settings", operators: "Operators") -> str:
    """One line for operators: whether failure detection is on, and its bounds."""
    if not operators.failure_detection:
        return "failure detection: off; liveness is decided by leased keys alone"
    bounds = detection_bounds(settings, operators)
    domains = sorted(set(failure_domains(settings, operators).failure_domains.values()))
    return (
        f"failure detection: on; minimum time to suspicion {bounds.suspect_s:g} s, "
        f"time to confirmation {bounds.confirm_s:.3g} s; domains {', '.join(domains)}"
    )


def failure_domains(settings: "Settings", operators: "Operators") -> FailureDomains:
    """The failure domains of all controllers; raises DetectionError for invalid settings."""
    addresses = {peer.name: peer.address[0] for peer in settings.peers}
    addresses[settings.node] = settings.internal[0]
    zones = {peer.name: peer.zone for peer in settings.peers}
    zones[settings.node] = settings.zone
    return FailureDomains.read(operators.failure_domain, addresses, zones)
