"""Failure domains: which controllers are likely to fail, or to be cut off, together."""


class DomainError(Exception):
    """What is wrong with a domain: the field, its value, and why."""

    def __init__(self, field, value, reason):
        super().__init__(f"{field}: {value!r} {reason}")
        self.field, self.value, self.reason = field, value, reason


class FailureDomains:
    """The domain of each controller: by its address if a network names it, else its zone."""

    def __init__(self, domains):
        self.domains = domains  # controller -> name of its domain

    def of(self, controller):
        """The domain of a controller."""
        return self.domains[controller]

    @classmethod
    def read(cls, rows, addresses, zones):
        """From DomainNetwork rows; `addresses` and `zones` by controller."""
        domains = dict(zones)
        if rows:
            domains.update(_domains_by_address(rows, addresses))
        return cls(domains)


def _domains_by_address(rows, addresses):
    """{controller: domain} of those whose address is in one of the networks."""
    import netaddr  # only where networks are named: starting has to be cheap

    networks = []
    for row in rows:
        if not row.domain:
            raise DomainError("failure_domain.name", row.domain, "is not a name")
        networks.append((_parse_network(netaddr, row.network), row.domain))
    _refuse_overlaps(netaddr, networks)
    found = {}
    for controller, address in addresses.items():
        if not netaddr.valid_ipv4(address) and not netaddr.valid_ipv6(address):
            continue
        for network, domain in networks:
            if netaddr.IPAddress(address) in network:
                found[controller] = domain
    for row in rows:
        if row.domain not in found.values():
            raise DomainError(
                "failure_domain.name", row.domain, "is unknown: no controller is in its networks"
            )
    return found


def _parse_network(netaddr, text):
    if "/" not in text:
        raise DomainError("failure_domain.network", text, "is not a network like 10.0.0.0/24")
    try:
        network = netaddr.IPNetwork(text)
    except (netaddr.AddrFormatError, ValueError):
        raise DomainError(
            "failure_domain.network", text, "is not a network like 10.0.0.0/24"
        ) from None
    if network.ip != network.network:
        raise DomainError(
            "failure_domain.network", text, f"has bits set beyond its prefix ({network.cidr})"
        )
    return network


def _refuse_overlaps(netaddr, networks):
    ordered = sorted(networks, key=lambda row: (row[0].version, row[0].first, row[0].last))
    for (earlier, first_domain), (later, second_domain) in zip(ordered, ordered[1:], strict=False):
        if earlier.version == later.version and later.first <= earlier.last:
            raise DomainError(
                "failure_domain.network",
                str(later),
                f"of {second_domain} overlaps {earlier} of {first_domain}",
            )
