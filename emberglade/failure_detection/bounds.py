"""The bounds of failure detection, as ratios to the settings, checked against each other."""

import math
from dataclasses import dataclass

from .domains import DomainError, FailureDomains

MAX_PHI = 16.0
# A node's lease at the state service is a third of a worker's, renewed at each third of it: when
# its key ends, its last renewal is at least two thirds of it old.
SERVES_WITHOUT_KEY_LEASES = 2 / 9
RETURN_DOUBLINGS = 6  # a controller that is lost again and again waits up to 2^6 times as long


class DetectionError(Exception):
    """A bound that contradicts another, or a domain that is wrong: field, value and reason."""

    def __init__(self, field, value, reason):
        super().__init__(f"{field}: {value!r} {reason}")
        self.field, self.value, self.reason = field, value, reason


@dataclass(frozen=True, slots=True)
class DetectionBounds:
    """All times in seconds of the steady clock."""

    heartbeat_s: float  # the interval of the exchange that heartbeats ride on
    suspect_s: float  # the shortest silence that is suspected
    confirm_s: float  # the silence that counts as an end once the peer's key is gone
    suspect_phi: float
    serves_without_key_s: float  # so old may a peer's contact be if its key is missing
    skew_s: float

    @property
    def first_return_s(self):
        """How long a returned controller serves before it gets shards back, the first time."""
        return self.confirm_s

    @property
    def last_return_s(self):
        """The longest that a controller which was lost again and again has to wait."""
        return self.confirm_s * 2**RETURN_DOUBLINGS


def detection_bounds(settings, operators):
    """The bounds for these settings; DetectionError if they contradict one another."""
    heartbeat_s = settings.peer_exchange_s
    suspect_s = operators.suspect_after * heartbeat_s
    confirm_s = operators.confirm_after * settings.lease_s
    _check("suspect_after", operators.suspect_after, 1, math.inf)
    _check("confirm_after", operators.confirm_after, 0, 1)
    _check("suspect_phi", operators.suspect_phi, 1, MAX_PHI)
    defaults = type(operators)()
    if confirm_s < suspect_s and operators.suspect_after != defaults.suspect_after:
        reason = f"is {suspect_s:g} s, above confirm_after ({confirm_s:g} s)"
        raise DetectionError("suspect_after", operators.suspect_after, reason)
    if confirm_s < suspect_s and operators.confirm_after != defaults.confirm_after:
        reason = f"is {confirm_s:g} s, below suspect_after ({suspect_s:g} s)"
        raise DetectionError("confirm_after", operators.confirm_after, reason)
    return DetectionBounds(
        heartbeat_s=heartbeat_s,
        # Leases so short that the defaults cross: both are the shorter one.
        suspect_s=min(suspect_s, confirm_s),
        confirm_s=confirm_s,
        suspect_phi=operators.suspect_phi,
        serves_without_key_s=settings.lease_s * SERVES_WITHOUT_KEY_LEASES,
        skew_s=settings.skew_s,
    )


def _check(field, value, least, most):
    if not least <= value <= most:
        raise DetectionError(field, value, f"is not from {least:g} to {most:g}")


def describe_detection(settings, operators):
    """One line for operators: whether it is on, and what its bounds are."""
    if not operators.failure_detection:
        return "failure detection: off, leased keys alone decide"
    bounds = detection_bounds(settings, operators)
    domains = sorted(set(failure_domains(settings, operators).domains.values()))
    return (
        f"failure detection: on, suspected after {bounds.suspect_s:g} s at the earliest, "
        f"confirmed after {bounds.confirm_s:.3g} s; domains {', '.join(domains)}"
    )


def failure_domains(settings, operators):
    """The domains of all controllers; DetectionError if a network is wrong."""
    addresses = {peer.name: peer.address[0] for peer in settings.peers}
    addresses[settings.node] = settings.internal[0]
    zones = {peer.name: peer.zone for peer in settings.peers}
    zones[settings.node] = settings.zone
    try:
        return FailureDomains.read(operators.failure_domain, addresses, zones)
    except DomainError as error:
        raise DetectionError(error.field, error.value, error.reason) from None
