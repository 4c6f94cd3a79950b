"""Machine types as the catalog gives them and as they are kept."""

from dataclasses import dataclass

SLACK = 1e-9  # amounts are decimal numbers; sums of them are not exact


@dataclass(frozen=True)
class MachineType:
    """A machine type of the catalog."""

    name: str
    cpus: float
    gpus: float
    ram_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple

    def holds(self, spec):
        """How many tasks like this fit an empty machine."""
        counts = [
            have / need
            for have, need in (
                (self.cpus, spec.cpus),
                (self.gpus, spec.gpus),
                (self.ram_gb, spec.ram_gb),
            )
            if need > 0
        ]
        return int(min(counts, default=1000) + SLACK)

    def allows(self, spec):
        return (
            (spec.allowed_types is None or self.name in spec.allowed_types)
            and (spec.zone is None or spec.zone in self.zones)
            and self.holds(spec) >= 1
        )


def read_machine_types(data):
    """{name: MachineType} of the catalog's key."""
    return {row[0]: _read_type(row) for row in data["types"]}


def _read_type(row):
    name, cpus, gpus, ram_gb, cache_gb, fetch_gb_per_s, price, spot_price, boot_s, zones = row
    return MachineType(
        name, cpus, gpus, ram_gb, cache_gb, fetch_gb_per_s, price, spot_price, boot_s, tuple(zones)
    )


def write_machine_types(machine_types):
    """The value of the catalog's key."""
    return {
        "types": [
            [
                t.name,
                t.cpus,
                t.gpus,
                t.ram_gb,
                t.cache_gb,
                t.fetch_gb_per_s,
                t.price,
                t.spot_price,
                t.boot_s,
                list(t.zones),
            ]
            for t in machine_types.values()
        ]
    }


def fits_some_type(spec, machine_types):
    """Whether a task fits an empty machine of some type."""
    return any(t.allows(spec) for t in machine_types.values())
