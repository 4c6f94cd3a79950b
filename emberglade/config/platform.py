"""Reads the platform's settings from a TOML file, once at the start; ignores unknown fields.

The platform defines the names of the fields; only this module uses them.
"""

import tomllib
from typing import Any

from .settings import Peer, ServiceLevelObjective, Settings, SettingsError, StateLimits, Team
from .toml_table import TomlTable

BYTES_PER_KB = 1024
MS_PER_S = 1000
# A value has to fit into a transaction together with its key and conditions; PROTOCOL allows 64 KiB
# for all of them, whatever the limit on values is.
MAX_VALUE_BYTES = 56 * BYTES_PER_KB


def load_platform(file: object) -> Settings:
    """Reads the settings from a file.

    Args:
        file: Path of the file.

    Raises:
        SettingsError: The file is missing or invalid.
    """
    top = TomlTable(file, "", _read_toml(file))
    endpoints, settings = top.table("endpoints"), top.table("settings")
    workers, state = settings.table("workers"), settings.table("state")
    cloud, quota = settings.table("cloud"), settings.table("quota")
    peers = _read_peers(top)
    teams = _read_teams(settings)
    objectives = _read_objectives(settings)
    limits = _read_limits(state)
    node = top.string("node_name")
    return Settings(
        node=node,
        zone=top.string("location"),
        front=top.address("front"),
        internal=top.address("internal_addr"),
        peers=peers,
        cloud=endpoints.address("cloud"),
        state=endpoints.address("state"),
        cluster_size=settings.positive_integer("size"),
        zones=settings.strings("zones"),
        skew_s=settings.non_negative_number("skew_ms", 0.0) / MS_PER_S,
        teams=teams,
        objectives=objectives,
        agent_heartbeat_s=workers.positive_number("report_s"),
        lease_s=workers.positive_number("lease_s"),
        cancel_s=workers.positive_number("cancel_s"),
        state_rps=limits.rps,
        state_write_rps=limits.write_rps,
        value_bytes=limits.value_bytes,
        txn_ops=limits.txn_ops,
        cloud_rps=cloud.positive_number("rps"),
        list_lag_s=cloud.non_negative_number("list_lag_s"),
        cpu=quota.positive_number("cpu"),
        mem_mb=quota.positive_number("mem_mb"),
        fd_limit=quota.positive_integer("fd_limit"),
        names=tuple(sorted([node, *(peer.name for peer in peers)])),
    )


def _read_toml(file: Any) -> dict[str, Any]:
    try:
        with open(file, "rb") as source:
            return tomllib.load(source)
    except OSError as error:
        raise SettingsError(file, f"cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(file, f"is not TOML: {error}") from None


def _read_peers(top: TomlTable) -> tuple[Peer, ...]:
    return tuple(
        Peer(row.string("node_name"), row.string("location"), row.address("endpoint"))
        for row in top.tables("peers")
    )


def _read_teams(settings: TomlTable) -> dict[str, Team]:
    teams: dict[str, Team] = {}
    for row in settings.tables("teams"):
        name = row.string("name")
        if name in teams:
            row.reject("name", name, "is the name of more than one team")
        teams[name] = Team(
            name=name,
            guaranteed_cpus=row.non_negative_number("cpus", 0.0),
            cpu_quota=row.non_negative_number("cpus_max", 0.0),
            guaranteed_gpus=row.non_negative_number("gpus", 0.0),
            gpu_quota=row.non_negative_number("gpus_max", 0.0),
        )
    return teams


def _read_objectives(settings: TomlTable) -> tuple[ServiceLevelObjective, ...]:
    return tuple(
        ServiceLevelObjective(
            kind=row.string("kind"),
            job_class=row.raw_value("class") or "",
            within_s=row.non_negative_number("within_s") if "within_s" in row else None,
            share=row.non_negative_number("share", 0.0),
        )
        for row in settings.tables("objectives")
    )


def _read_limits(state: TomlTable) -> StateLimits:
    """The limits of the state service: for each, the smaller of the current and announced value."""
    limits = StateLimits(
        rps=state.positive_number("rps"),
        write_rps=state.positive_number("write_rps"),
        value_bytes=min(
            int(state.positive_number("value_kb") * BYTES_PER_KB),
            MAX_VALUE_BYTES,
        ),
        txn_ops=state.positive_integer("txn_ops"),
    )
    if "next" not in state:
        return limits
    announced = state.table("next")
    value_kb = limits.value_bytes / BYTES_PER_KB
    return limits.within(
        StateLimits(
            rps=announced.positive_number("rps", limits.rps),
            write_rps=announced.positive_number("write_rps", limits.write_rps),
            value_bytes=int(announced.positive_number("value_kb", value_kb) * BYTES_PER_KB),
            txn_ops=announced.positive_integer("txn_ops", limits.txn_ops),
        )
    )
