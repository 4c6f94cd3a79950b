"""Names of fields, paths and keys: of the cloud's API, and of what the fleet keeps in the store.

The one place that knows them. Keys are without the LIVE prefix, as the replica holds them.
"""

import math
from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

from ..placement import MachineType
from .states import MachineState, Taint

# --- keys of the store

CATALOG_KEY = "catalog"  # the machine types, as `placement.write_machine_types` writes them
TAINT_PREFIX = "m/"  # m/NUMBER: {machine: taint}

TAINTS_BY_VALUE = {taint.value: taint for taint in Taint}


def taint_key(number: int) -> str:
    """The key that holds the taints of one number."""
    return f"{TAINT_PREFIX}{number}"


def read_taint(value: str) -> str:
    """The Taint of a stored value; a value that is not known here stays as it is.

    It is no taint that this version acts on, but nothing is placed on that machine.
    """
    return TAINTS_BY_VALUE.get(value, value)


# --- tables of controllers


def read_table(data: dict) -> dict | None:
    """The table in the record of a controller's key; None if it holds none yet."""
    return data.get("table")


def read_demand(table: dict) -> Iterable[tuple[str, bool, float]]:
    """Rows `(machine type, spot, machines)` of demand."""
    return table.get("d", ())


def read_zone_shortages(table: dict) -> Iterable[tuple[str, bool, str, float]]:
    """Rows `(machine type, spot, zone, machines)` that tasks bound to one zone lack there."""
    return table.get("z", ())


# --- the cloud

CATALOG_PATH = "/catalog"
SCALE_OUT_PATH = "/hosts"
SCALE_IN_PATH = "/hosts/return"

MAX_SCALE_OUT = 50  # machines in one request: PROTOCOL's limit
MAX_SCALE_IN = 100  # machines in one request: PROTOCOL's limit
PAGE_ROWS = 500  # machines in one page of the list: PROTOCOL's limit

NO_CAPACITY = "no capacity"

STATES_BY_VALUE = {state.value: state for state in MachineState}
# A state that is not known here is neither booting nor failed.
UNKNOWN_STATE = MachineState.RUNNING


class ListedMachine(NamedTuple):
    """A machine as the cloud lists it; `age_s` is its age since it was requested."""

    name: str
    type: str
    zone: str
    spot: bool
    state: MachineState
    age_s: float


class MachinePage(NamedTuple):
    """One page of the cloud's list, and whether there are more."""

    rows: list[ListedMachine]
    more: bool


class ScaleOutRequest(NamedTuple):
    """What one request to the cloud asks for: `number` machines of one kind in one zone."""

    machine_type: str
    zone: str
    spot: bool
    number: int


def _amount(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"{value!r} is not an amount")
    return float(value)


def read_catalog(body: Any) -> dict[str, MachineType] | None:
    """{name: MachineType}, or None when the answer is malformed or empty."""
    try:
        machine_types = {row["label"]: _read_machine_type(row) for row in body["hearth_kinds"]}
    except (KeyError, TypeError, ValueError):
        return None
    return machine_types or None


def _read_machine_type(row: Any) -> MachineType:
    price = _amount(row["price"])
    return MachineType(
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


def scale_out_body(name: str, request: ScaleOutRequest) -> dict:
    """The body of a request for machines; the cloud fills a request of the same name once."""
    return {
        "woodcall": name,
        "hearth_kind": request.machine_type,
        "glade": request.zone,
        "driftwood": request.spot,
        "number": request.number,
    }


def read_scaled_out(body: Any) -> list[str] | None:
    """The names of the machines that a request got, or None when the answer is malformed."""
    names = body.get("hearths") if isinstance(body, dict) else None
    if not isinstance(names, list):
        return None
    return [name for name in names if isinstance(name, str)]


def is_refusal(status: int, body: Any) -> bool:
    """Whether an answer to a request for machines says that it got none, and never will."""
    no_capacity = isinstance(body, dict) and body.get("error") == NO_CAPACITY
    return status == HTTPStatus.BAD_REQUEST or (
        status == HTTPStatus.SERVICE_UNAVAILABLE and no_capacity
    )


def scale_in_body(names: list[str]) -> dict:
    """The body that gives machines back to the cloud."""
    return {"hearths": names}


def page_path(after: str) -> str:
    """The path that lists the machines after one of them; "": from the first."""
    return f"/hosts?since={after}&limit={PAGE_ROWS}"


def read_page(body: Any) -> MachinePage | None:
    """One page of the list, or None when the answer is malformed."""
    try:
        rows = [
            ListedMachine(
                row["id"],
                row["hearth_kind"],
                row["glade"],
                bool(row.get("driftwood")),
                _read_machine_state(row["glow"]),
                float(row.get("age_s") or 0),
            )
            for row in body["hearths"]
        ]
        return MachinePage(rows, bool(body.get("has_next")))
    except (KeyError, TypeError, ValueError):
        return None


def _read_machine_state(value: Any) -> MachineState:
    return STATES_BY_VALUE.get(value, UNKNOWN_STATE) if isinstance(value, str) else UNKNOWN_STATE
