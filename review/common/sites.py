"""Settings of the cases' deployments, after the site files of the users."""

from typing import Any


def turnos(teams: list[dict[str, Any]]) -> dict[str, Any]:
    """The settings of turnos-xela."""
    zones = ["xela", "ciudad", "antigua"]
    return {
        "nodes": [{"name": f"hearth-{n}", "zone": zone} for n, zone in enumerate(zones)],
        "zones": sorted(zones),
        "teams": teams,
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
        "kind": {
            "label": "dieciseis",
            "cpus": 16.0,
            "cards": 0.0,
            "ram_gb": 64.0,
            "local_gb": 35.0,
            "fetch_gb_per_s": 0.2,
            "price": 0.62,
            "spot_price": 0.29,
            "boot_s": 25.0,
            "glades": sorted(zones),
        },
    }


def job(job_id: str, **fields: Any) -> dict[str, Any]:
    """A submission; the fields that are not given are those of a small array."""
    return {
        "id": job_id,
        "breed": "payroll-sync",
        "crew": "equipo-turnos",
        "shape": "sweep",
        "rank": "normal",
        "embers": 1,
        "cpus": 1.0,
        "cards": 0.0,
        "ram_gb": 2.8,
        "kindling": "img-payroll",
        "image_gb": 0.3,
        "hearth_kinds": None,
        "glade": None,
        "one_zone": False,
        "scatter": False,
        "driftwood": True,
        "burn_s": 40.0,
        "bank_s": 0.0,
        "banking_s": 0.0,
        "due_s": None,
        **fields,
    }
