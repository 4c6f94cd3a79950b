"""The rules by which a suspected controller is confirmed dead."""

from collections.abc import Collection

from .domains import FailureDomains
from .peer import Peer


def death_evidence(
    peer: Peer,
    relays: Collection[str],
    key_expired: bool,
    failure_domains: FailureDomains,
    now: float,
) -> str | None:
    """The evidence that a suspected peer is dead, as a text for the log; None if it is too weak.

    Args:
        peer: The suspected peer.
        relays: The controllers that this one can ask to probe the peer now.
        key_expired: Whether the peer's key is missing from a replica that was recently synced.
        failure_domains: The failure domains of all controllers.
        now: The monotonic time, in seconds.
    """
    refuses = peer.refuses_connections(now)
    if key_expired and refuses:
        # Two independent sources: the state service, and the machine, where nothing listens on the
        # port any more. Without this rule, failover after the loss of most controllers is slower
        # than without failure detection, where an expired key alone suffices
        # (failure_detection/majority_lost.txt).
        return "refuses connections, and its key has expired"
    if not relays:
        # No relay can be asked, so only the state service can provide further evidence.
        if key_expired and peer.time_since_alive_s(now) >= peer.bounds.confirm_s:
            return "sends no heartbeats, and its key has expired"
        return None
    outcomes = peer.confirming_outcomes(now, key_expired)
    confirming = {failure_domains.of(relay) for relay in peer.failed_relays(outcomes, now)}
    if len(confirming) < _needed_failure_domains(peer.relays or relays, failure_domains):
        return None
    return f"{'refuses connections' if refuses else 'sends no heartbeats'}; relays confirm"


def _needed_failure_domains(relays: Collection[str], failure_domains: FailureDomains) -> int:
    """How many domains must confirm a death: a majority of the domains of the relays."""
    return len({failure_domains.of(relay) for relay in relays}) // 2 + 1
