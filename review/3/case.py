"""A user calls off an array that has many small tasks on one machine."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.deployment import CannotRunError, Deployment, play  # noqa: E402
from review.common.sites import job, turnos  # noqa: E402

TASKS = 1080
BOARD, IMPORT, CALLS = "job-000400", "job-000411", "job-000412"
BEFORE_S, AFTER_S = 12.0, 45.0  # before and after the cancellation
TEAM = {"name": "equipo-turnos", "cpus": 32.0, "cpus_max": 72.0, "gpus": 0.0, "gpus_max": 0.0}


def submissions() -> list[dict]:
    """A shift board, an import that doesn't save, and an array of tasks that mostly wait."""
    return [
        job(
            BOARD,
            breed="roster-board",
            shape="standing",
            rank="critical",
            embers=2,
            cpus=2.0,
            ram_gb=4.3,
            scatter=True,
            driftwood=False,
            kindling="img-board",
            burn_s=0.0,
        ),
        job(
            IMPORT,
            breed="legacy-import",
            rank="idle",
            embers=4,
            cpus=2.0,
            ram_gb=6.7,
            kindling="img-import",
            burn_s=90.0,
        ),
        job(CALLS, embers=TASKS, cpus=0.005, ram_gb=0.02, burn_s=300.0),
    ]


async def case(here: Deployment) -> None:
    """Plays the case; the workers check the size of what they are sent."""
    fleet = here.fleet
    fleet.run_s = lambda ember: 300.0 if ember.startswith(CALLS) else 90.0
    for zone in here.site["zones"][:2]:
        fleet.add(zone, False, 0.2)
    await here.until_ready(2)
    await asyncio.sleep(1.0)
    for spec in submissions():
        await here.submit(spec)
        await here.wait_for(
            lambda spec=spec: fleet.on_machines[spec["id"]] == spec["embers"],
            f"all tasks of {spec['id']} run",
            20,
        )
    await asyncio.sleep(BEFORE_S)
    most = max(len(worker.tasks) for worker in fleet.machines.values())
    here.note(f"tasks on the fullest machine: {most}")
    if most < TASKS:
        raise CannotRunError("the array is spread over machines")
    starts = dict(fleet.starts)
    if here.trouble:
        await here.cancel(CALLS)
    began = time.monotonic()
    while time.monotonic() - began < AFTER_S:
        await asyncio.sleep(1.0)
        here.note(f"on the machines: {dict(fleet.on_machines)}")
    again = {
        name: sum(
            count - starts.get(ember, 0)
            for ember, count in fleet.starts.items()
            if ember.startswith(name)
        )
        for name in (BOARD, IMPORT)
    }
    leases = sum(worker.span - 1 for worker in fleet.machines.values())
    here.note(f"leases that ran out: {leases}; starts after the cancellation, by job: {again}")


if __name__ == "__main__":
    sys.exit(play(FOLDER, turnos([TEAM]), case))
