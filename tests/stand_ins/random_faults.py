"""Random faults, single or combined, drawn from the scenario's seed."""

from collections.abc import Callable
from typing import NamedTuple

from . import combined_faults, state_service
from .cluster import Cluster
from .random_work import draw_work
from .world import PartitionMode

LOSS_CHANCE = 0.003
REPEAT_CHANCE = 0.01
DUPLICATE_CHANCE, MIN_DUPLICATE_S, MAX_DUPLICATE_S = 0.02, 1.0, 40.0
MAX_OUTAGE_S = 25
WORK_SHARE = 0.8  # the share of a combined-faults scenario in which jobs are submitted
QUIET_AFTER_S = 12  # between the end of the last combined fault and the end of message faults


def draw_faults(cluster: Cluster, faults: int, mass_faults: int, until: float) -> None:
    """Schedules random faults, and enables message loss and duplication.

    Args:
        cluster: The cluster that they affect.
        faults: The number of faults to draw from KINDS.
        mass_faults: The number of faults to draw from MASS_KINDS.
        until: When the scenario ends.
    """
    world, rng = cluster.world, cluster.world.random
    world.repeat_chance = REPEAT_CHANCE
    world.loss = LOSS_CHANCE
    cluster.duplicate_heartbeats(DUPLICATE_CHANCE, MIN_DUPLICATE_S, MAX_DUPLICATE_S)
    for _ in range(faults):
        world.at(rng.uniform(15, until * 0.75), inject, cluster)
    for _ in range(mass_faults):
        world.at(rng.uniform(20, until * 0.75), inject_mass_fault, cluster)


def draw_combined_faults(
    cluster: Cluster, jobs: int, count: int, until: float, needs_share: float = 0.0
) -> float:
    """Schedules jobs, and `count` combinations of two to four faults within some seconds.

    Returns:
        When all faults have ended.
    """
    world, rng = cluster.world, cluster.world.random
    work_until = until * WORK_SHARE
    draw_work(cluster, jobs, work_until, needs_share)
    draw_faults(cluster, 0, 0, work_until)
    end = 0.0
    for _ in range(count):
        begin = rng.uniform(20, until * 0.7)
        for _ in range(rng.randint(2, 4)):
            kind = rng.choice(list(combined_faults.KINDS))
            moment = begin + rng.uniform(0, 6)
            seconds = rng.choice([rng.uniform(1, 15), rng.uniform(15, 60)])
            world.at(moment, combined_faults.inject, cluster, kind, seconds)
            end = max(end, moment + seconds)
    world.at(end + QUIET_AFTER_S, cluster.end_faults)
    return end + QUIET_AFTER_S


class FaultDraw(NamedTuple):
    """The parameters drawn for one fault; `mode` is that of its partition, if it is one."""

    cluster: Cluster
    controller: str
    machines: list[str]
    seconds: float
    mode: PartitionMode


def inject(cluster: Cluster) -> None:
    """Draws a random fault and begins it."""
    rng = cluster.world.random
    draw = FaultDraw(
        cluster,
        rng.choice(cluster.names),
        [name for name, machine in cluster.cloud.machines.items() if machine.up],
        rng.uniform(5, 60),
        rng.choice([PartitionMode.DELAY, PartitionMode.DROP]),
    )
    KINDS[rng.randrange(len(KINDS))](draw)


def crash(draw: FaultDraw) -> None:
    """A controller crashes and restarts."""
    draw.cluster.crash(draw.controller, draw.cluster.world.random.choice([0.05, 0.3, 3.0]))


def crash_all(draw: FaultDraw) -> None:
    """All controllers crash and restart."""
    for name in draw.cluster.names:
        draw.cluster.crash(name, draw.cluster.world.random.uniform(0.3, 4))


def crash_three_times(draw: FaultDraw) -> None:
    """Three crashes of random controllers within five seconds."""
    rng = draw.cluster.world.random
    for _ in range(3):
        delay = rng.uniform(0, 5)
        name = rng.choice(draw.cluster.names)
        draw.cluster.world.at(delay, draw.cluster.crash, name, rng.choice([0.05, 0.2, 0.5]))


def isolate(draw: FaultDraw) -> None:
    """A controller is partitioned from all other hosts."""
    draw.cluster.isolate(draw.controller, draw.seconds, draw.mode)


def isolate_from_control_plane(draw: FaultDraw) -> None:
    """A controller is partitioned from the state service and its peers."""
    draw.cluster.isolate_from_control_plane(draw.controller, draw.seconds, draw.mode)


def partition_from_state(draw: FaultDraw) -> None:
    """A controller is partitioned from the state service."""
    world = draw.cluster.world
    world.partition([draw.controller], [state_service.HOST], draw.seconds, draw.mode)


def partition_from_workers(draw: FaultDraw) -> None:
    """A controller is partitioned from all workers."""
    world = draw.cluster.world
    world.partition([draw.controller], draw.machines, draw.seconds, draw.mode)


def refuse(draw: FaultDraw) -> None:
    """The state service refuses one controller."""
    draw.cluster.state.refuse(draw.controller, draw.seconds)


def state_outage(draw: FaultDraw) -> None:
    """The state service has an outage."""
    draw.cluster.state.begin_outage(min(draw.seconds, MAX_OUTAGE_S))


def partition_machines(draw: FaultDraw) -> None:
    """Two machines are partitioned from all controllers."""
    if draw.machines:
        draw.cluster.world.partition(sample_two(draw), draw.cluster.names, draw.seconds, draw.mode)


def make_unreachable(draw: FaultDraw) -> None:
    """Two machines get no messages from controllers; their heartbeats arrive."""
    if draw.machines:
        draw.cluster.world.drop_messages(draw.cluster.names, sample_two(draw), draw.seconds)


def sample_two(draw: FaultDraw) -> list[str]:
    """Draws two machines, or takes the only one."""
    return draw.cluster.world.random.sample(draw.machines, min(2, len(draw.machines)))


def reclaim_spot(draw: FaultDraw) -> None:
    """The cloud reclaims a share of the spot machines."""
    rng = draw.cluster.world.random
    draw.cluster.cloud.reclaim_spot(rng.random(), rng.choice([0.0, 5.0]))


def cloud_outage(draw: FaultDraw) -> None:
    """The cloud has an outage."""
    draw.cluster.cloud.begin_outage(draw.seconds)


# The order must not change: a seed's draw is an index into this list.
KINDS: list[Callable[[FaultDraw], None]] = [
    crash,
    crash_all,
    isolate,
    partition_from_state,
    partition_from_workers,
    refuse,
    state_outage,
    partition_machines,
    reclaim_spot,
    cloud_outage,
    make_unreachable,
    isolate_from_control_plane,
    crash_three_times,
]


# --- faults that hit a share of all machines at once


def kill_many(cluster: Cluster, count: int) -> None:
    """Machines are killed."""
    cluster.cloud.kill_machines(count)


def hang_many(cluster: Cluster, count: int) -> None:
    """Machines hang."""
    cluster.cloud.hang_machines(count, cluster.world.random.uniform(5, 40))


def partition_one_zone(cluster: Cluster, count: int) -> None:
    """A zone is partitioned from all other hosts."""
    rng = cluster.world.random
    zone = rng.choice(cluster.deployment.zones)
    seconds = rng.uniform(10, 45)
    mode = rng.choice([PartitionMode.DELAY, PartitionMode.DROP])
    cluster.partition_zone(zone, seconds, mode)


def reclaim_all_spot(cluster: Cluster, count: int) -> None:
    """The cloud reclaims all spot machines, then has an outage."""
    cluster.cloud.reclaim_spot(1.0, 0.0)
    cluster.cloud.begin_outage(cluster.world.random.uniform(10, 60))


def pause_one(cluster: Cluster, count: int) -> None:
    """A controller's process is paused."""
    rng = cluster.world.random
    cluster.pause(rng.choice(cluster.names), rng.uniform(5, 40))


MASS_KINDS: list[Callable[[Cluster, int], None]] = [
    kill_many,
    hang_many,
    partition_one_zone,
    reclaim_all_spot,
    pause_one,
]


def inject_mass_fault(cluster: Cluster) -> None:
    """Draws a random fault that affects a share of all machines, and begins it."""
    rng = cluster.world.random
    count = int(rng.uniform(0.1, 0.35) * len(cluster.cloud.machines))
    MASS_KINDS[rng.randrange(len(MASS_KINDS))](cluster, count)
