"""Failure domains: groups of controllers that may fail or become unreachable together."""

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from .errors import DetectionError

if TYPE_CHECKING:
    from ..config import DomainNetwork

NAME_FIELD = "failure_domain.name"
NETWORK_FIELD = "failure_domain.network"


class DomainAddresses(NamedTuple):
    """A network, and the failure domain to which its addresses belong."""

    network: Any  # a netaddr.IPNetwork
    domain: str


class FailureDomains:
    """Maps each controller to its failure domain.

    If the controller's address is in a configured network, the domain is that of the network;
    otherwise it is the controller's zone.

    Attributes:
        failure_domains: The name of each controller's domain.
    """

    def __init__(self, failure_domains: Mapping[str, str]) -> None:
        self.failure_domains = failure_domains

    def of(self, controller: str) -> str:
        """The failure domain of a controller."""
        return self.failure_domains[controller]

    @classmethod
    def read(
        cls,
        rows: Collection["DomainNetwork"],
        addresses: Mapping[str, str],
        zones: Mapping[str, str],
    ) -> "FailureDomains":
        """Determines the domain of each controller.

        Args:
            rows: The networks of failure domains that the operators configured.
            addresses: The address of each controller, by its name.
            zones: The zone of each controller, by its name.

        Raises:
            DetectionError: A row is invalid, two networks overlap, or a domain's networks contain
                no controller.
        """
        failure_domains = dict(zones)
        if rows:
            failure_domains.update(_failure_domains_by_address(rows, addresses))
        return cls(failure_domains)


def _failure_domains_by_address(
    rows: Collection["DomainNetwork"], addresses: Mapping[str, str]
) -> dict[str, str]:
    """{controller: domain} for the controllers whose address is in one of the networks."""
    import netaddr  # only if networks are configured, to keep the start-up fast

    networks = []
    for row in rows:
        if not row.domain:
            raise DetectionError(NAME_FIELD, row.domain, "is not a name")
        networks.append(DomainAddresses(_parse_network(netaddr, row.network), row.domain))
    _refuse_overlaps(networks)
    found = {}
    for controller, address in addresses.items():
        if not netaddr.valid_ipv4(address) and not netaddr.valid_ipv6(address):
            continue
        for network, domain in networks:
            if netaddr.IPAddress(address) in network:
                found[controller] = domain
    for row in rows:
        if row.domain not in found.values():
            reason = "is unknown: no controller is in its networks"
            raise DetectionError(NAME_FIELD, row.domain, reason)
    return found


def _parse_network(netaddr: Any, text: str) -> Any:
    """Parses a text like 10.0.0.0/24 into a netaddr.IPNetwork."""
    reason = "is not a network like 10.0.0.0/24"
    if "/" not in text:
        raise DetectionError(NETWORK_FIELD, text, reason)
    try:
        network = netaddr.IPNetwork(text)
    except (netaddr.AddrFormatError, ValueError):
        raise DetectionError(NETWORK_FIELD, text, reason) from None
    if network.ip != network.network:
        reason = f"has bits set beyond its prefix ({network.cidr})"
        raise DetectionError(NETWORK_FIELD, text, reason)
    return network


def _refuse_overlaps(networks: list[DomainAddresses]) -> None:
    ordered = sorted(
        networks, key=lambda row: (row.network.version, row.network.first, row.network.last)
    )
    for (earlier, first_domain), (later, second_domain) in zip(ordered, ordered[1:], strict=False):
        if earlier.version == later.version and later.first <= earlier.last:
            reason = f"of {second_domain} overlaps {earlier} of {first_domain}"
            raise DetectionError(NETWORK_FIELD, str(later), reason)
