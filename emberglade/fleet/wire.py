"""What the cloud says and is told, field names included."""

import math
from dataclasses import dataclass

from ..placement import MachineType


@dataclass(frozen=True)
class Listed:
    """A machine as the cloud lists it."""

    name: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


def _amount(value):
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{value!r} is not an amount")
    return float(value)


def read_catalog(body):
    """{name: MachineType}, or None when the answer is odd."""
    try:
        machine_types = {}
        for row in body["hearth_kinds"]:
            price = _amount(row["price"])
            machine_types[row["label"]] = MachineType(
                row["label"],
                _amount(row["cpus"]),
                _amount(row.get("cards") or 0),
                _amount(row["ram_gb"]),
                _amount(row.get("local_gb") or 0),
                _amount(row.get("fetch_gb_per_s") or 0),
                price,
                _amount(row.get("spot_price") or price),
                _amount(row.get("boot_s") or 0),
                tuple(row["glades"]),
            )
    except (KeyError, TypeError, ValueError):
        return None
    return machine_types or None


def rent(request, machine_type, zone, spot, count):
    """The body of a rental request."""
    return {
        "woodcall": request,
        "hearth_kind": machine_type,
        "glade": zone,
        "driftwood": spot,
        "number": count,
    }


def give_back(names):
    """The body of a return."""
    return {"hearths": names}


def read_rented(body):
    """The names of the machines rented, or None when the answer is odd."""
    names = body.get("hearths") if isinstance(body, dict) else None
    return [n for n in names if isinstance(n, str)] if isinstance(names, list) else None


def list_path(after):
    """The path that lists machines after one of them."""
    return f"/hosts?since={after}&limit=500"


def read_list(body):
    """([Listed], more) or None when the answer is odd."""
    try:
        return [
            Listed(
                row["id"],
                row["hearth_kind"],
                row["glade"],
                bool(row.get("driftwood")),
                row["glow"],
                float(row.get("age_s") or 0),
            )
            for row in body["hearths"]
        ], bool(body.get("has_next"))
    except (KeyError, TypeError, ValueError):
        return None
