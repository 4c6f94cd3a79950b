"""A waiting job with many finished needs is not answered for, after all controllers restarted."""

import concurrent.futures
import time
from pathlib import Path

import sites
from cluster import Deployment, job, run_case, wait_for
from servers import Record, request

NEEDS = 132
DOWN_S = 3.0
POLL_S = 5.01
FORGOTTEN_S = 90.0
WAITING, LONG = "job-900000", "job-900001"


def play(record: Record, trouble: bool, deployments: list[Deployment]) -> list[str]:
    """Plays the case and returns the breaches."""
    controllers, settings, kind = sites.harborpaws_fleet()
    capacity = {"worcester": 10, "providence": 14, "portland-me": 13}
    deployment = Deployment(record, controllers, settings, kind, capacity, kind["boot_s"])
    deployments.append(deployment)
    for zone, count in (("worcester", 2), ("providence", 3), ("portland-me", 3)):
        for _ in range(count):
            deployment.cloud.add(zone).boot()
    deployment.start()
    ledger = deployment.ledger
    fields = {"crew": "ops-kennel", "burn_s": 0.5}

    # A pipeline: many short jobs and a long one, and a last job that awaits them all.
    needs = [f"job-{number:06d}" for number in range(NEEDS)]
    deployment.submit(job(LONG, run_s=300.0, **{**fields, "burn_s": 300.0}))
    with concurrent.futures.ThreadPoolExecutor(16) as pool:
        submitted = [
            pool.submit(deployment.submit, job(need, run_s=0.5, cpus=0.5, filler=True, **fields))
            for need in needs
        ]
        for future in submitted:
            future.result()
    record.note(f"user: {NEEDS} jobs are accepted")
    deployment.submit(job(WAITING, awaits=[*needs, LONG], run_s=1.0, **fields))
    wait_for(
        lambda: deployment.state.count("eg/l/j/") == 1 and len(ledger.done) == NEEDS,
        40.0,
        "all short jobs are done",
    )
    record.note(f"{NEEDS} jobs are done, {LONG} runs, {WAITING} waits for it")

    if trouble:
        for controller in deployment.controllers.values():
            controller.kill()
        time.sleep(DOWN_S)
        deployment.start()

    # The user of the waiting job polls about every 5 s, and so do others.
    polls = Polls(deployment)
    others = [LONG, needs[0], needs[1]]
    first = time.monotonic()
    while polls.span_s(WAITING) < FORGOTTEN_S and not polls.answered[WAITING]:
        time.sleep(max(0.0, first + POLL_S * polls.count(WAITING) - time.monotonic()))
        for asked_for in (WAITING, *others):
            polls.poll(asked_for)
    answered = sum(polls.answered[other] for other in others)
    asked = sum(polls.count(other) for other in others)
    record.note(
        f"polls answered: {WAITING} {polls.answered[WAITING]} of {polls.count(WAITING)} in "
        f"{polls.span_s(WAITING):.1f} s, others {answered} of {asked}"
    )
    if not polls.answered[WAITING] and 2 * answered > asked:
        ledger.breach(
            f"forgotten: all {polls.count(WAITING)} polls of {WAITING} failed for "
            f"{polls.span_s(WAITING):.1f} s, {answered} of {asked} others were answered"
        )
    return ledger.breaches


class Polls:
    """Polls of jobs, and how many of them were answered with 200."""

    def __init__(self, deployment: Deployment) -> None:
        """Begins without polls."""
        self.deployment = deployment
        self.at: dict[str, list[float]] = {}
        self.answered: dict[str, int] = {WAITING: 0}
        self.turns: dict[str, int] = {}

    def poll(self, job_id: str) -> None:
        """Asks for a job once, each controller in turn, on a connection of its own."""
        fronts = list(self.deployment.fronts.items())
        turn = self.turns[job_id] = self.turns.get(job_id, -1) + 1
        name, address = fronts[turn % len(fronts)]
        self.at.setdefault(job_id, []).append(time.monotonic())
        status, answer = request(address, "GET", f"/submissions/{job_id}", timeout=2.0)
        self.answered[job_id] = self.answered.get(job_id, 0) + (status == 200)
        self.deployment.record.note(f"user: polls {job_id} at {name}: {status} {answer}")

    def count(self, job_id: str) -> int:
        """How often a job was asked for."""
        return len(self.at.get(job_id, ()))

    def span_s(self, job_id: str) -> float:
        """Seconds between the first and the last poll of a job."""
        times = self.at.get(job_id)
        return times[-1] - times[0] if times else 0.0


run_case(Path(__file__).parent, play)
