"""Settings and machine types in the size of the users' deployments."""

from typing import Any


def turnos() -> tuple[dict[str, str], dict[str, Any], dict[str, Any]]:
    """(controllers with their zones, settings, machine type) of the small roster cluster."""
    controllers = {"hearth-0": "xela", "hearth-1": "ciudad", "hearth-2": "antigua"}
    team = {"cpus": 32.0, "cpus_max": 72.0, "gpus": 0.0, "gpus_max": 0.0}
    settings: dict[str, Any] = {
        "zones": ["xela", "ciudad", "antigua"],
        "skew_ms": 1000.0,
        "teams": [{"name": f"equipo-turnos-{number}", **team} for number in range(10)],
        "objectives": [
            {"kind": "wait", "class": "roster-board", "within_s": 15.0, "share": 0.88},
            {"kind": "finished", "class": "legacy-import", "within_s": 250.0, "share": 0.9},
        ],
        "workers": {
            "report_s": 1.5,
            "lease_s": 10.0,
            "gang_wait_s": 40.0,
            "gang_peer_s": 4.0,
            "cancel_s": 40.0,
        },
        "state": {"rps": 100.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 16},
        "cloud": {"rps": 5.0, "list_lag_s": 5.0},
        "quota": {"cpu": 0.288, "mem_mb": 186.0, "fd_limit": 1200},
    }
    kind = {
        "label": "dieciseis",
        "cpus": 16.0,
        "cards": 0.0,
        "ram_gb": 64.0,
        "local_gb": 35.0,
        "fetch_gb_per_s": 0.2,
        "price": 0.62,
        "spot_price": 0.29,
        "boot_s": 25.0,
        "glades": ["xela", "ciudad", "antigua"],
    }
    return controllers, settings, kind


def harborpaws() -> tuple[dict[str, str], dict[str, Any], dict[str, Any]]:
    """(controllers with their zones, settings, machine type) of the small kibble cluster."""
    zones = ["worcester", "providence", "portland-me"]
    controllers = {f"hearth-{number}": zones[number] for number in range(3)}
    settings: dict[str, Any] = {
        "zones": sorted(zones),
        "skew_ms": 5.0,
        "teams": [
            {"name": "ops-kennel", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
        ],
        "objectives": [
            {"kind": "wait", "class": "storefront", "within_s": 4.0, "share": 0.92},
            {"kind": "deadline", "class": "renewals", "share": 0.92, "times": 1.0},
        ],
        "workers": {
            "report_s": 1.5,
            "lease_s": 12.0,
            "gang_wait_s": 30.0,
            "gang_peer_s": 5.0,
            "cancel_s": 42.0,
        },
        "state": {"rps": 100.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 6.0, "list_lag_s": 4.0},
        "quota": {"cpu": 0.288, "mem_mb": 186.0, "fd_limit": 1200},
    }
    kind = {
        "label": "octo-node",
        "cpus": 8.0,
        "cards": 0.0,
        "ram_gb": 16.0,
        "local_gb": 60.0,
        "fetch_gb_per_s": 0.2,
        "price": 0.33,
        "spot_price": 0.08,
        "boot_s": 35.0,
        "glades": zones,
    }
    return controllers, settings, kind


def harborpaws_fleet() -> tuple[dict[str, str], dict[str, Any], dict[str, Any]]:
    """(controllers with their zones, settings, machine type) of the kibble cluster as a fleet."""
    zones = ["worcester", "providence", "portland-me"]
    controllers = {f"hearth-{number}": zones[number % 3] for number in range(5)}
    _, settings, kind = harborpaws()
    settings["workers"] |= {"report_s": 2.5, "lease_s": 15.25, "cancel_s": 45.25}
    settings["state"] |= {"rps": 180.0, "write_rps": 50.0}
    settings["cloud"]["rps"] = 8.0
    settings["quota"] = {"cpu": 0.468, "mem_mb": 326.0, "fd_limit": 1966}
    return controllers, settings, kind
