"""Selects the controllers that are asked to probe a suspected one."""

from collections.abc import Iterable

from .domains import FailureDomains

MAX_RELAYS = 4


def choose_relays(
    node: str, alive: Iterable[str], failure_domains: FailureDomains
) -> tuple[str, ...]:
    """The relays of `node`: up to MAX_RELAYS controllers outside its failure domain.

    One controller of each other domain comes first, then the rest. `alive` are the controllers that
    are considered alive, without the one to be probed.
    """
    own = failure_domains.of(node)
    others = sorted(name for name in alive if failure_domains.of(name) != own)
    first: list[str] = []
    further: list[str] = []
    seen: set[str] = set()
    for name in others:
        domain = failure_domains.of(name)
        (further if domain in seen else first).append(name)
        seen.add(domain)
    return tuple((first + further)[:MAX_RELAYS])
