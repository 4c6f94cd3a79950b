"""The bounds of failure detection, as ratios to the settings, checked against each other."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .domains import FailureDomains
from .errors import DetectionError

if TYPE_CHECKING:
    from ..config import Operators, Settings

MAX_PHI = 16.0
# A node's lease at the state service is a third of a worker's, renewed at each third of it: when
# its key ends, its last renewal is at least two thirds of it old.
SERVES_WITHOUT_KEY_LEASES = 2 / 9
FAILBACK_DOUBLINGS = 6  # a controller that is lost again and again waits up to 2^6 times as long


@dataclass(frozen=True, slots=True)
class DetectionBounds:
    """All times in seconds of the steady clock.

    Attributes:
        heartbeat_s: The interval of the exchange that heartbeats ride on.
        suspect_s: The shortest silence that is suspected.
        confirm_s: The silence that counts as an end once the peer's key is gone.
        suspect_phi: The suspicion level (phi) from which on a silence is suspected.
        serves_without_key_s: So old may a peer's contact with the state service be if its key is
            missing.
        skew_s: The most that the time of day differs between any machine and the true one.
    """

    heartbeat_s: float
    suspect_s: float
    confirm_s: float
    suspect_phi: float
    serves_without_key_s: float
    skew_s: float

    @property
    def min_failback_delay_s(self) -> float:
        """How long a returned controller serves before it gets shards back, the first time."""
        return self.confirm_s

    @property
    def max_failback_delay_s(self) -> float:
        """The longest that a controller which was lost again and again has to wait."""
        return self.confirm_s * 2**FAILBACK_DOUBLINGS


def detection_bounds(settings: "Settings", operators: "Operators") -> DetectionBounds:
    """The bounds for these settings; DetectionError if they contradict one another."""
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
        # Leases so short that the defaults cross: both are the shorter one.
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
    """Names the bound that operators have set so that the two cross, if it was one of them."""
    defaults = type(operators)()
    if operators.suspect_after != defaults.suspect_after:
        reason = f"is {suspect_s:g} s, above confirm_after ({confirm_s:g} s)"
        raise DetectionError("suspect_after", operators.suspect_after, reason)
    if operators.confirm_after != defaults.confirm_after:
        reason = f"is {confirm_s:g} s, below suspect_after ({suspect_s:g} s)"
        raise DetectionError("confirm_after", operators.confirm_after, reason)


def describe_detection(settings: "Settings", operators: "Operators") -> str:
    """One line for operators: whether it is on, and what its bounds are."""
    if not operators.failure_detection:
        return "failure detection: off, leased keys alone decide"
    bounds = detection_bounds(settings, operators)
    domains = sorted(set(failure_domains(settings, operators).domains.values()))
    return (
        f"failure detection: on, suspected after {bounds.suspect_s:g} s at the earliest, "
        f"confirmed after {bounds.confirm_s:.3g} s; domains {', '.join(domains)}"
    )


def failure_domains(settings: "Settings", operators: "Operators") -> FailureDomains:
    """The domains of all controllers; DetectionError if a network is wrong."""
    addresses = {peer.name: peer.address[0] for peer in settings.peers}
    addresses[settings.node] = settings.internal[0]
    zones = {peer.name: peer.zone for peer in settings.peers}
    zones[settings.node] = settings.zone
    return FailureDomains.read(operators.failure_domain, addresses, zones)
