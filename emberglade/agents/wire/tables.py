"""The status table that each controller writes to the store every 5 s.

It contains counts for the leader and, while a peer does not exchange views with its writer, the
machines that send heartbeats to the writer. A long table is split into several values: the first is
in the controller's key, the others are under keys of their own; all contain the table's number.
"""

from typing import Any, NamedTuple

from . import peers, records

# A table without machines states this as the number of its values other than the first. That many
# never arrive, so neither this version nor the previous one considers the table a complete list of
# machines.
NEVER_COMPLETE = 9999


class TableHeader(NamedTuple):
    """The fields of a table other than its machines.

    Attributes:
        number: Unique among the tables of a controller.
        demand: {(machine type, spot): machines needed}.
        shortage: {(machine type, spot, zone): machines missing in that zone}.
        wall_time: Wall-clock time at which the table was made, in seconds since 1970.
        up_s: Seconds since the controller's process began.
        contact_age_s: Seconds since the controller sent its last answered sync.
        revision: The revision of the replica that the table was made from.
        machine_types: The names of machine types that machines' values refer to by index.
    """

    number: str
    demand: dict
    shortage: dict
    wall_time: float
    up_s: float
    contact_age_s: float
    revision: int
    machine_types: list[str]


def _write_counts(counts: dict) -> list[list]:
    return [[*pool, round(count, 4)] for pool, count in counts.items()]


def write_table(header: TableHeader) -> dict:
    """The first value of a table, without machines."""
    return {
        "t": header.number,
        "parts": NEVER_COMPLETE,
        "d": _write_counts(header.demand),
        "wall": header.wall_time,
        "z": _write_counts(header.shortage),
        "up": header.up_s,
        "contact": min(peers.MAX_CONTACT_AGE_S, header.contact_age_s),
        "rev": header.revision,
        "types": header.machine_types,
        "m": {},
    }


def add_machines(table: dict, values: list[dict[str, list]]) -> None:
    """Adds machines to a table: the first of `values`, and the number of the others."""
    table["parts"] = len(values) - 1
    table["m"] = values[0]


def write_overflow_value(number: str, machines: dict[str, list]) -> dict:
    """A value, other than the first, of the table with this number."""
    return {"t": number, "m": machines}


def _write_index(name: str, names: list[str]) -> int | str:
    return names.index(name) if name in names else name


def _read_index(value: int | str, names: list[str]) -> str:
    return names[value] if isinstance(value, int) else value


def compact_machine(values: tuple, machine_types: list[str], zones: list[str]) -> list:
    """A machine's `peers.machine_values` in the shorter form of tables, in the same order."""
    (
        age_s,
        machine_type,
        zone,
        spot,
        agent_epoch,
        sequence,
        spot_notice,
        unreachable,
        addr,
    ) = values
    return [
        age_s,
        _write_index(machine_type, machine_types),
        _write_index(zone, zones),
        int(spot),
        agent_epoch,
        sequence,
        int(spot_notice),
        int(unreachable),
        addr,
    ]


def _read_machines(
    values: list[dict], machine_types: list[str], zones: list[str]
) -> dict[str, list]:
    return {
        name: [age_s, _read_index(machine_type, machine_types), _read_index(zone, zones), *rest]
        for value in values
        for name, (age_s, machine_type, zone, *rest) in value["m"].items()
    }


class TableView(NamedTuple):
    """The machines of a complete table; `view` is None if they are malformed."""

    wall_time: float
    view: peers.MachineView | None


def read_table(node: str, stored: dict[str, Any], zones: list[str]) -> TableView | None:
    """The machines of a controller's table, or None while the table is not complete.

    Args:
        node: The controller.
        stored: The values of its key and its overflow keys, by key.
        zones: The names of zones that machines' values refer to by index.

    Raises:
        KeyError, TypeError, ValueError, IndexError: The table is malformed.
    """
    first = stored.get(records.node_key(node))
    table = first.get("table") if first is not None else None
    if not table:
        return None
    values = [
        table,
        *(
            value
            for key, value in stored.items()
            if key.startswith(records.OVERFLOW_PREFIX) and value["t"] == table["t"]
        ),
    ]
    if len(values) != table["parts"] + 1:
        # Some values have not arrived; machines in them must not be treated as unknown to the node.
        return None
    view = peers.read_machine_view(
        {
            "up": table["up"],
            "contact": table["contact"],
            "rev": table["rev"],
            "known": _read_machines(values, table["types"], zones),
        }
    )
    return TableView(table["wall"], view)
