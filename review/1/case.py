"""A team at its limit when the state service refuses the controller that owns its jobs."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.common.deployment import Deployment, play  # noqa: E402
from review.common.sites import job, turnos  # noqa: E402

LIMIT = 72.0
MACHINES = 6
EARLY_RUN_S, LONG_RUN_S = 12.0, 36.0
REFUSED_S = 10.0
TEAM = {"name": "equipo-turnos", "cpus": 32.0, "cpus_max": LIMIT, "gpus": 0.0, "gpus_max": 0.0}


def run_s(ember: str) -> float:
    """The run time of a task."""
    name, _, number = ember.rpartition("/")
    if name.startswith("job-early"):
        return EARLY_RUN_S + 0.02 * int(number)
    if name == "job-import":
        return LONG_RUN_S + 2.0 * int(number)
    return 40.0


async def case(here: Deployment) -> None:
    """Plays the case; the fleet checks the rules whenever a task begins."""
    fleet = here.fleet
    fleet.run_s = run_s
    for number in range(MACHINES):
        fleet.add(here.site["zones"][number % 3], False, 0.2)
    await here.until_ready(MACHINES)
    await asyncio.sleep(1.0)
    # The team fills its limit: short work that ends soon, and a long array with more to run.
    early = [job(f"job-early{n}", embers=8, due_s=90.0) for n in range(3)]
    await asyncio.gather(*(here.submit(spec) for spec in early))
    await here.wait_for(lambda: fleet.team_cpus("equipo-turnos") >= 24, "short work runs", 15)
    began = time.monotonic()
    await here.submit(
        job(
            "job-import",
            breed="legacy-import",
            rank="idle",
            embers=90,
            burn_s=60.0,
            kindling="img-import",
            image_gb=0.3,
        )
    )
    await here.wait_for(lambda: fleet.team_cpus("equipo-turnos") >= LIMIT, "limit reached", 9)
    owner = here.state.last_writer["eg/l/j/job-import"]
    await asyncio.sleep(max(0.0, began + EARLY_RUN_S - 0.5 - time.monotonic()))
    if here.trouble:
        here.note(f"the state service refuses {owner} alone for {REFUSED_S:g} s")
        here.state.refused.add(owner)
    refused_at = time.monotonic()
    await here.wait_for(lambda: fleet.team_cpus("equipo-turnos") < LIMIT, "short work ends", 5)
    await asyncio.sleep(0.8)
    # Work of a higher rank comes, as on any day.
    urgent = [job(f"job-urgent{n}", embers=6, due_s=120.0) for n in range(6)]
    for spec in urgent:
        here.background.append(asyncio.get_running_loop().create_task(here.submit(spec)))
    await asyncio.sleep(max(0.0, refused_at + REFUSED_S - time.monotonic()))
    here.state.refused.clear()
    here.note(f"{owner} is served again")
    await asyncio.sleep(40.0)


if __name__ == "__main__":
    sys.exit(play(FOLDER, turnos([TEAM]), case))
