"""Which controllers are asked about one that is suspected."""

from collections.abc import Iterable

from .domains import FailureDomains

MAX_RELAYS = 4


def choose_relays(node: str, alive: Iterable[str], domains: FailureDomains) -> tuple[str, ...]:
    """Whom `node` is to ask: other domains than its own only, one a domain first.

    `alive` are those believed alive, other than the one that is asked about.
    """
    own = domains.of(node)
    others = sorted(name for name in alive if domains.of(name) != own)
    first: list[str] = []
    further: list[str] = []
    seen: set[str] = set()
    for name in others:
        domain = domains.of(name)
        (further if domain in seen else first).append(name)
        seen.add(domain)
    return tuple((first + further)[:MAX_RELAYS])
