"""A preempted task that still saves is started on another machine."""

import signal
import threading
import time
import zlib
from pathlib import Path
from typing import Any

import sites
from cluster import CannotRunError, Deployment, job, run_case, wait_for
from servers import Record

FREEZE_S = 8.0
NODES = ["hearth-0", "hearth-1", "hearth-2"]
SHARDS = 4 * len(NODES)
OWNER = "hearth-1"  # of the jobs; the machine on which they meet reports to another controller


def team_owned_by(node: str, settings: dict[str, Any]) -> str:
    """A team whose jobs this controller owns while all controllers serve."""
    return next(
        team["name"]
        for team in settings["teams"]
        if NODES[zlib.crc32(f"team {team['name']}".encode()) % SHARDS % len(NODES)] == node
    )


def play(record: Record, trouble: bool, deployments: list[Deployment]) -> list[str]:
    """Plays the case and returns the breaches."""
    controllers, settings, kind = sites.turnos()
    capacity = {"xela": 7, "ciudad": 8, "antigua": 6}
    deployment = Deployment(record, controllers, settings, kind, capacity, kind["boot_s"])
    deployments.append(deployment)
    ledger, cloud = deployment.ledger, deployment.cloud
    first = cloud.add("xela", "hearth-0")
    second = cloud.add("ciudad", "hearth-1")
    deployment.start()
    first.boot()
    second.boot()
    crew = team_owned_by(OWNER, settings)
    replicas = {"crew": crew, "shape": "standing", "rank": "critical", "cpus": 2.0, "ram_gb": 4.3}

    def runs(job_id: str, tasks: int, seconds: float) -> None:
        wait_for(lambda: len(ledger.on_machines(job_id)) == tasks, seconds, f"{job_id} runs")

    # Seven of eight places of both machines are taken by replicas, the last one of the first
    # machine by a task that saves for 5 s.
    deployment.submit(job("job-000001", embers=7, glade="xela", filler=True, **replicas))
    deployment.submit(job("job-000002", embers=7, glade="ciudad", filler=True, **replicas))
    runs("job-000001", 7, 20.0)
    runs("job-000002", 7, 20.0)
    deployment.submit(
        job(
            "job-000003",
            breed="legacy-import",
            crew=crew,
            rank="idle",
            cpus=2.0,
            ram_gb=6.7,
            kindling="img-02",
            burn_s=120.0,
            run_s=120.0,
            bank_s=30.0,
            banking_s=5.0,
        )
    )
    task = "job-000003/0"
    wait_for(lambda: first.name in ledger.places.get(task, {}), 15.0, "the task runs")
    time.sleep(2.0)

    frozen = first.node  # the controller that gets the machine's reports
    record.note(f"{first.name} reports to {frozen}, {OWNER} owns the jobs")
    if frozen == OWNER:
        raise CannotRunError(f"{first.name} reports to the owner of the jobs")

    # A service that only fits in its place preempts it, but is cancelled before it has saved.
    again = threading.Event()

    def on_start(started: str, attempt: int) -> None:
        if (started, attempt) == (task, 2):
            again.set()
            if trouble:
                deployment.controllers[frozen].signal(signal.SIGSTOP)

    first.on_start = on_start
    deployment.submit(job("job-000004", glade="xela", **replicas), deployment.fronts["hearth-2"])
    wait_for(
        lambda: any(row.glow == "saving" for row in list(first.attempts.values())), 10.0, "it saves"
    )
    deployment.abort("job-000004", deployment.fronts["hearth-2"])
    if not again.wait(15.0):
        wait_for(again.is_set, 0.1, "the task starts again where it was")
    began = time.monotonic()

    # Another such service preempts it again.
    time.sleep(1.5)
    deployment.submit(job("job-000005", glade="xela", **replicas), deployment.fronts["hearth-2"])
    time.sleep(max(0.0, began + FREEZE_S - time.monotonic()))
    deployment.controllers[frozen].signal(signal.SIGCONT)
    time.sleep(6.0)
    return ledger.breaches


run_case(Path(__file__).parent, play)
