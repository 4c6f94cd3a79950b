"""Field names, paths and keys of the cloud's API and of the fleet's records in the store.

Other modules don't use these names themselves, but the functions and constants of this one. Keys
are without LIVE_PREFIX, as in the replica.
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
    """The key of the taints with this number."""
    return f"{TAINT_PREFIX}{number}"


def read_taint(value: str) -> str:
    """The Taint for a stored value, or the value itself if it is unknown to this version.

    This version does not act on an unknown taint, but places no task on that machine.
    """
    return TAINTS_BY_VALUE.get(value, value)


# --- tables of controllers


def read_table(data: dict) -> dict | None:
    """The table in the record of a controller's key; None if there is none yet."""
    return data.get("table")


def read_demand(table: dict) -> Iterable[tuple[str, bool, float]]:
    """The demand, in rows `(machine type, spot, machines)`."""
    return table.get("d", ())


def read_zone_shortages(table: dict) -> Iterable[tuple[str, bool, str, float]]:
    """Machines missing for tasks bound to one zone: `(machine type, spot, zone, machines)`."""
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
# An unknown state is treated as neither booting nor failed.
UNKNOWN_STATE = MachineState.RUNNING


class ListedMachine(NamedTuple):
    """A machine as the cloud lists it; `age_s` is the time since it was requested."""

    name: str
    type: str
    zone: str
    spot: bool
    state: MachineState
    age_s: float


class MachinePage(NamedTuple):
    """One page of the cloud's list, and whether more pages follow."""

    rows: list[ListedMachine]
    has_more: bool


class ScaleOutRequest(NamedTuple):
    """A request to the cloud for `number` machines of one kind in one zone."""

    machine_type: str
    zone: str
    spot: bool
    number: int


def _read_amount(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError(f"expected a finite number, got {value!r}")
    return float(value)


def read_catalog(body: Any) -> dict[str, MachineType] | None:
    """{name: MachineType}, or None if the answer is malformed or empty."""
    try:
        machine_types = {row["label"]: _read_machine_type(row) for row in body["hearth_kinds"]}
    except (KeyError, TypeError, ValueError):
        return None
    return machine_types or None


def _read_machine_type(row: Any) -> MachineType:
    price = _read_amount(row["price"])
    return MachineType(
        row["label"],
        _read_amount(row["cpus"]),
        _read_amount(row.get("cards") or 0),
        _read_amount(row["ram_gb"]),
        _read_amount(row.get("local_gb") or 0),
        _read_amount(row.get("fetch_gb_per_s") or 0),
        price,
        _read_amount(row.get("spot_price") or price),
        _read_amount(row.get("boot_s") or 0),
        tuple(row["glades"]),
    )


def scale_out_body(name: str, request: ScaleOutRequest) -> dict:
    """The body of a request for machines; the cloud fulfils requests of one name only once."""
    return {
        "woodcall": name,
        "hearth_kind": request.machine_type,
        "glade": request.zone,
        "driftwood": request.spot,
        "number": request.number,
    }


def read_scaled_out(body: Any) -> list[str] | None:
    """The names of the machines that a request provided, or None if the answer is malformed."""
    names = body.get("hearths") if isinstance(body, dict) else None
    if not isinstance(names, list):
        return None
    return [name for name in names if isinstance(name, str)]


def is_refusal(status: int, body: Any) -> bool:
    """Whether an answer to a request for machines is final and provides none."""
    no_capacity = isinstance(body, dict) and body.get("error") == NO_CAPACITY
    return status == HTTPStatus.BAD_REQUEST or (
        status == HTTPStatus.SERVICE_UNAVAILABLE and no_capacity
    )


def scale_in_body(names: list[str]) -> dict:
    """The body of a request that returns machines to the cloud."""
    return {"hearths": names}


def page_path(after: str) -> str:
    """The path of the page that follows the machine `after`; "" for the first page."""
    return f"/hosts?since={after}&limit={PAGE_ROWS}"


def read_page(body: Any) -> MachinePage | None:
    """One page of the list, or None if the answer is malformed."""
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
