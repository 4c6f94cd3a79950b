"""Random jobs, drawn from the scenario's seed."""

import random as random_module
from typing import Any

from .cluster import Cluster
from .submissions import JobShape, Submission

SERVICE_SHARE = 0.25
PRIORITIES = ["critical", "urgent", "normal", "idle"]
CANCEL_SHARE = 0.35
CANCEL_SHARE_WITH_DEPENDENCIES = 0.1
MAX_DEPENDENCIES = 3
SUBMITTED_UNTIL_SHARE = 0.7  # the share of a scenario in which jobs are submitted


def draw_work(cluster: Cluster, jobs: int, until: float, needs_share: float = 0.0) -> None:
    """Schedules random submissions, and cancellations of some of the jobs.

    Args:
        cluster: The cluster whose users submit them.
        jobs: The number of jobs.
        until: When the scenario ends.
        needs_share: The share of jobs that have one to three dependencies.
    """
    world, rng = cluster.world, cluster.world.random
    earlier: list[str] = []
    cancel_share = CANCEL_SHARE_WITH_DEPENDENCIES if needs_share else CANCEL_SHARE
    for number in range(jobs):
        fields = draw_job(cluster, rng)
        job_id = f"job-{rng.randint(0, 999999):06d}"
        submitted_at = rng.uniform(0, until * SUBMITTED_UNTIL_SHARE) if number else 0.0
        if needs_share and earlier and rng.random() < needs_share:
            count = min(len(earlier), rng.randint(1, MAX_DEPENDENCIES))
            fields["needs"] = rng.sample(earlier, count)
        if needs_share and fields["shape"] == JobShape.ARRAY:
            earlier.append(job_id)
        world.at(submitted_at, cluster.users.submit, Submission(id=job_id, **fields))
        if rng.random() < cancel_share:
            world.at(submitted_at + rng.uniform(0, 60), cluster.users.cancel, job_id)


def draw_job(cluster: Cluster, rng: random_module.Random) -> dict[str, Any]:
    """Draws the fields of one job.

    The order of the draws must not change: it determines what a seed means.
    """
    service = rng.random() < SERVICE_SHARE
    run_s = rng.uniform(5, 40)
    return {
        "shape": JobShape.SERVICE if service else JobShape.ARRAY,
        "priority": rng.choice(PRIORITIES),
        "tasks": rng.randint(1, 5) if service else rng.randint(1, 30),
        "cpus": rng.choice([1.0, 2.0]),
        "ram_gb": rng.choice([1.0, 3.0]),
        "image": f"img-{rng.randint(0, 3)}",
        "image_gb": rng.uniform(0, 1),
        "spot": not service and rng.random() < 0.7,
        "zone_spread": service,
        "single_zone": not service and rng.random() < 0.2,
        "zone": rng.choice([None, None, None, *cluster.deployment.zones]) if not service else None,
        "team": rng.choice(sorted(cluster.deployment.teams)),
        "estimated_run_s": 0.0 if service else run_s * rng.uniform(0.5, 1.5),
        "checkpoint_interval_s": rng.choice([0.0, 5.0]),
        "checkpoint_save_s": 2.0,
        "deadline_s": rng.choice([None, run_s * 3]),
        "actual_run_s": run_s,
    }
