"""Accepted jobs with long descriptions wait for machines that come up late."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.deployment import Deployment, play  # noqa: E402
from review.common.sites import job, turnos  # noqa: E402

JOBS = 32
PER_S = 4.0
LATE_S = 10.0
MACHINES = 3
MAX_WAIT_S = 90.0
KINDS = 320
TEAM = {"name": "equipo-turnos", "cpus": 32.0, "cpus_max": 72.0, "gpus": 0.0, "gpus_max": 0.0}


def submission(number: int) -> dict:
    """A job of one task whose user lists all machine types that its image runs on."""
    kinds = ["dieciseis", *(f"kind-{n:04}.x" for n in range(KINDS))]
    return job(
        f"job-badge{number:03}",
        breed="badge-checks",
        kindling="img-badge",
        hearth_kinds=kinds,
        burn_s=5.0,
        due_s=None,
    )


async def case(here: Deployment) -> None:
    """Plays the case: every accepted job has to begin within 90 s of the trouble's end."""
    fleet = here.fleet
    fleet.run_s = lambda ember: 5.0
    if not here.trouble:
        for number in range(MACHINES):
            fleet.add(here.site["zones"][number], False, 0.2)
    await here.until_ready(0 if here.trouble else MACHINES)
    await asyncio.sleep(2.0)
    began = time.monotonic()
    specs = [submission(number) for number in range(JOBS)]
    for number, spec in enumerate(specs):
        await asyncio.sleep(max(0.0, began + number / PER_S - time.monotonic()))
        here.background.append(asyncio.get_running_loop().create_task(here.submit(spec)))
    await here.wait_for(lambda: len(here.states) == JOBS, "all jobs are accepted", 20)
    if here.trouble:
        await asyncio.sleep(max(0.0, began + LATE_S - time.monotonic()))
        here.note("the machines come up now, late")
        for number in range(MACHINES):
            fleet.add(here.site["zones"][number], False, 0.2)
        await here.until_ready(MACHINES)
    end = time.monotonic() + MAX_WAIT_S
    while time.monotonic() < end and not all(f"{spec['id']}/0" in fleet.starts for spec in specs):
        await asyncio.sleep(0.5)
    left = [spec["id"] for spec in specs if f"{spec['id']}/0" not in fleet.starts]
    used = [worker.usage()[0] for worker in fleet.machines.values() if worker.up]
    here.note(f"CPUs in use on the machines: {used}; jobs that have not begun: {len(left)}")
    if left and min(used) + 1.0 <= here.site["kind"]["cpus"]:
        here.record.broken(
            "left_waiting",
            f"{len(left)} of {JOBS} accepted jobs have not begun {MAX_WAIT_S:g} s after the "
            f"machines came up, and a machine has room: {' '.join(left[:5])}",
        )


if __name__ == "__main__":
    sys.exit(play(FOLDER, turnos([TEAM]), case))
