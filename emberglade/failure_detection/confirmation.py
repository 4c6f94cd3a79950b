"""What confirms the end of a suspected controller."""

from collections.abc import Collection

from .domains import FailureDomains
from .peer import Peer


def death_evidence(
    peer: Peer,
    relays: Collection[str],
    key_shown_gone: bool,
    domains: FailureDomains,
    now: float,
) -> str | None:
    """What confirms the end of a suspected peer, in words for the log; None: nothing does.

    Args:
        peer: The suspected one.
        relays: Whom this controller can ask about it now.
        key_shown_gone: Whether the state service itself shows that the peer's key has ended.
        domains: Those of all controllers.
        now: By the steady clock, in seconds.
    """
    refuses = peer.refuses_connections(now)
    if key_shown_gone and refuses:
        # Two sources of evidence: the state service, and the machine where nobody listens any
        # more. Once slower than keys alone, when most controllers ended at once
        # (failure_detection/majority_lost.txt).
        return "refuses, and the state service has ended its key"
    if not relays:
        # The state service alone is the evidence.
        if key_shown_gone and peer.silence_s(now) >= peer.bounds.confirm_s:
            return "silent, and the state service has ended its key"
        return None
    outcomes = peer.confirming_outcomes(now, key_shown_gone)
    denying = {domains.of(relay) for relay in peer.failed_relays(outcomes, now)}
    if len(denying) < _needed_domains(peer.relays or relays, domains):
        return None
    return f"{'refuses' if refuses else 'silent'}; others confirm"


def _needed_domains(relays: Collection[str], domains: FailureDomains) -> int:
    """How many domains have to confirm an end: a majority of those of the relays asked."""
    return len({domains.of(relay) for relay in relays}) // 2 + 1
