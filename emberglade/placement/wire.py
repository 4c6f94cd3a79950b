"""The stored value of the catalog's key: machine types as rows without field names.

The value is `{"types": [row, ...]}`; a row contains a machine type's fields in the order in which
`MachineType` declares them.
"""

from typing import Any

from .machines import MachineType


def read_machine_types(data: dict[str, Any]) -> dict[str, MachineType]:
    """The machine types by name, from the value of the catalog's key."""
    machine_types = [_read_machine_type(row) for row in data["types"]]
    return {machine_type.name: machine_type for machine_type in machine_types}


def write_machine_types(machine_types: dict[str, MachineType]) -> dict[str, Any]:
    """The value of the catalog's key."""
    return {"types": [_write_machine_type(machine_type) for machine_type in machine_types.values()]}


def _read_machine_type(row: list[Any]) -> MachineType:
    name, cpus, gpus, ram_gb, cache_gb, fetch_gb_per_s, price, spot_price, boot_s, zones = row
    return MachineType(
        name=name,
        cpus=cpus,
        gpus=gpus,
        ram_gb=ram_gb,
        cache_gb=cache_gb,
        fetch_gb_per_s=fetch_gb_per_s,
        price=price,
        spot_price=spot_price,
        boot_s=boot_s,
        zones=tuple(zones),
    )


def _write_machine_type(machine_type: MachineType) -> list[Any]:
    return [
        machine_type.name,
        machine_type.cpus,
        machine_type.gpus,
        machine_type.ram_gb,
        machine_type.cache_gb,
        machine_type.fetch_gb_per_s,
        machine_type.price,
        machine_type.spot_price,
        machine_type.boot_s,
        list(machine_type.zones),
    ]
