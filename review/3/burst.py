"""Not the case's test: the same fault when arrays of small tasks come three times as often.

It is played like the test, also with TROUBLE=0; its last lines in record.txt say what became of the
work. It exits with 1 only if a worker was sent a line that is too long.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.deployment import Deployment, play  # noqa: E402
from review.common.sites import job, turnos  # noqa: E402

JOBS = 6
TASKS = 330
RUN_S = 20.0
INTERVAL_S = 12.0  # payroll-sync: 5.1 a minute
BURST_FACTOR = 3.0
PLAYED_S = 95.0
TEAM = {"name": "equipo-turnos", "cpus": 32.0, "cpus_max": 72.0, "gpus": 0.0, "gpus_max": 0.0}


def service() -> dict:
    """A shift board with two replicas, in two zones."""
    return job(
        "job-000400",
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
    )


def array(number: int) -> dict:
    """An array of tasks that mostly wait, such as calls to clients' systems."""
    return job(f"job-{412 + number:06}", embers=TASKS, cpus=0.01, ram_gb=0.02, burn_s=RUN_S)


async def case(here: Deployment) -> None:
    """Plays the case; the workers check the size of what they are sent."""
    fleet = here.fleet
    fleet.run_s = lambda ember: RUN_S
    for zone in here.site["zones"][:2]:
        fleet.add(zone, False, 0.2)
    await here.until_ready(2)
    await asyncio.sleep(1.0)
    await here.submit(service())
    await here.wait_for(lambda: fleet.on_machines["job-000400"] == 2, "the service runs", 15)
    interval_s = INTERVAL_S / BURST_FACTOR if here.trouble else INTERVAL_S
    began = time.monotonic()
    names = []
    while (played_s := time.monotonic() - began) < PLAYED_S:
        if len(names) < JOBS and played_s >= len(names) * interval_s:
            spec = array(len(names))
            names.append(spec["id"])
            here.background.append(asyncio.get_running_loop().create_task(here.submit(spec)))
        await asyncio.sleep(0.25)
        done = [sum(f"{name}/{task}" in fleet.completed for task in range(TASKS)) for name in names]
        tasks = {worker.name: len(worker.tasks) for worker in fleet.machines.values()}
        here.note(f"tasks done by job: {done}; tasks on the machines: {tasks}")
    again = sum(max(0, fleet.starts[ember] - 1) for ember in fleet.starts if "000400" in ember)
    here.note(
        f"after {PLAYED_S:g} s: {sum(done)} of {JOBS * TASKS} tasks are done, "
        f"{sum(here.states.get(name) == 'done' for name in names)} of {JOBS} arrays are called "
        f"done, {sum(worker.span - 1 for worker in fleet.machines.values())} leases ran out, "
        f"replicas of the service began again {again} times"
    )


if __name__ == "__main__":
    sys.exit(play(FOLDER, turnos([TEAM]), case))
