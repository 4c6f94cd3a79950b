"""The kinds of faults that scenarios combine within a few seconds of each other."""

from collections.abc import Callable
from typing import NamedTuple

from . import state_service
from .cluster import Cluster
from .world import PartitionMode

LEADER_CHANCE = 0.6  # the probability that a fault hits the leader and not a random controller
RESTART_S = [0.05, 0.3, 3.0]
MAX_SLOW_STATE_S = 3.0
MAX_PAUSE_S = 25
MAX_DELAY_S = 12
LEADER_CRASHES = 10
MIN_DUPLICATE_S, MAX_DUPLICATE_S = 1.0, 60.0


class CombinedFault(NamedTuple):
    """The parameters drawn for one fault.

    Attributes:
        machines: All machines that are up.
        some_machines: One to four of them, drawn at random.
    """

    cluster: Cluster
    controller: str
    machines: list[str]
    some_machines: list[str]
    seconds: float
    mode: PartitionMode


def inject(cluster: Cluster, kind: str, seconds: float) -> None:
    """Draws a fault's parameters and begins it.

    The order of the draws must not change: it determines what a seed means.
    """
    rng = cluster.world.random
    leader = cluster.leader()
    hits_leader = leader is not None and rng.random() < LEADER_CHANCE
    controller = leader if hits_leader and leader is not None else rng.choice(cluster.names)
    machines = sorted(machine.name for machine in cluster.cloud.running())
    some_machines = rng.sample(machines, min(len(machines), rng.randint(1, 4)))
    mode = rng.choice([PartitionMode.DELAY, PartitionMode.DROP])
    KINDS[kind](CombinedFault(cluster, controller, machines, some_machines, seconds, mode))


def refuse(fault: CombinedFault) -> None:
    """The state service refuses one controller."""
    fault.cluster.state.refuse(fault.controller, fault.seconds)


def state_outage(fault: CombinedFault) -> None:
    """The state service has an outage."""
    fault.cluster.state.begin_outage(fault.seconds)


def late_transactions(fault: CombinedFault) -> None:
    """A share of transactions gets no answer and is carried out late."""
    share = fault.cluster.world.random.uniform(0.05, 0.5)
    fault.cluster.state.delay_transactions(share, fault.seconds)


def slow_state(fault: CombinedFault) -> None:
    """Messages between the state service and one controller are delayed."""
    fault.cluster.world.partition(
        [fault.controller],
        [state_service.HOST],
        min(fault.seconds, MAX_SLOW_STATE_S),
        PartitionMode.DELAY,
    )


def crash(fault: CombinedFault) -> None:
    """A controller crashes and restarts."""
    fault.cluster.crash(fault.controller, fault.cluster.world.random.choice(RESTART_S))


def crash_all(fault: CombinedFault) -> None:
    """All controllers crash and restart."""
    for name in fault.cluster.names:
        down_s = fault.cluster.world.random.choice([*RESTART_S, fault.seconds])
        fault.cluster.crash(name, down_s)


def crash_leaders(fault: CombinedFault) -> None:
    """Ten times in a row, the controller that is leader at the time crashes."""
    cluster = fault.cluster
    for number in range(LEADER_CRASHES):
        delay = number * fault.seconds / LEADER_CRASHES
        down_s = cluster.world.random.choice([0.05, 0.3, 1.0])
        cluster.world.at(delay, cluster.crash_leader, down_s)


def isolate_from_control_plane(fault: CombinedFault) -> None:
    """A controller is partitioned from the state service and its peers."""
    fault.cluster.isolate_from_control_plane(fault.controller, fault.seconds, fault.mode)


def partition_zone(fault: CombinedFault) -> None:
    """A zone is partitioned from all other hosts."""
    zone = fault.cluster.world.random.choice(fault.cluster.deployment.zones)
    fault.cluster.partition_zone(zone, fault.seconds, fault.mode)


def partition_machines(fault: CombinedFault) -> None:
    """Some machines are partitioned from all controllers."""
    if fault.some_machines:
        fault.cluster.world.partition(
            fault.some_machines, fault.cluster.names, fault.seconds, fault.mode
        )


def make_unreachable(fault: CombinedFault) -> None:
    """Some machines get no messages from controllers; their heartbeats arrive."""
    if fault.some_machines:
        fault.cluster.world.drop_messages(fault.cluster.names, fault.some_machines, fault.seconds)


def block_heartbeats(fault: CombinedFault) -> None:
    """Some or all machines can't connect to controllers; direct commands reach them."""
    if fault.some_machines:
        machines = fault.cluster.world.random.choice([fault.some_machines, fault.machines])
        fault.cluster.world.block_connections(machines, fault.cluster.names, fault.seconds)


def hang_machines(fault: CombinedFault) -> None:
    """Some machines hang."""
    count = fault.cluster.world.random.randint(1, 4)
    fault.cluster.cloud.hang_machines(count, fault.seconds)


def kill_machines(fault: CombinedFault) -> None:
    """Some machines are killed."""
    fault.cluster.cloud.kill_machines(fault.cluster.world.random.randint(1, 3))


def cancel_running_jobs(fault: CombinedFault) -> None:
    """Users cancel some running jobs at once; some of the jobs' machines may hang."""
    rng = fault.cluster.world.random
    count = rng.randint(1, 6)
    fault.cluster.users.cancel_running_jobs(count, rng.choice([0, fault.seconds]))


def cancel_on_completion(fault: CombinedFault) -> None:
    """Users cancel jobs just when they complete."""
    share = fault.cluster.world.random.uniform(0.3, 1.0)
    fault.cluster.users.cancel_on_completion(share, fault.seconds)


def send_invalid_requests(fault: CombinedFault) -> None:
    """Users send requests that must be refused."""
    fault.cluster.invalid_requests.begin(fault.seconds)


def partition_controllers(fault: CombinedFault) -> None:
    """Controllers can't reach each other."""
    fault.cluster.partition_controllers(fault.seconds)


def pause(fault: CombinedFault) -> None:
    """A controller's process is paused."""
    fault.cluster.pause(fault.controller, min(fault.seconds, MAX_PAUSE_S))


def delay_messages(fault: CombinedFault) -> None:
    """Commands, heartbeats and their answers are delayed for some seconds."""
    if fault.some_machines:
        fault.cluster.world.partition(
            fault.some_machines,
            [fault.controller],
            min(fault.seconds, MAX_DELAY_S),
            PartitionMode.DELAY,
        )


def duplicate_heartbeats(fault: CombinedFault) -> None:
    """Duplicates of heartbeats arrive late, at random controllers."""
    chance = fault.cluster.world.random.uniform(0.02, 0.3)
    fault.cluster.duplicate_heartbeats(chance, MIN_DUPLICATE_S, MAX_DUPLICATE_S)


# The order must not change: a seed's draw is an index into these.
KINDS: dict[str, Callable[[CombinedFault], None]] = {
    function.__name__: function
    for function in (
        refuse,
        state_outage,
        late_transactions,
        slow_state,
        crash,
        crash_all,
        crash_leaders,
        isolate_from_control_plane,
        partition_zone,
        partition_machines,
        make_unreachable,
        block_heartbeats,
        hang_machines,
        kill_machines,
        cancel_running_jobs,
        cancel_on_completion,
        send_invalid_requests,
        partition_controllers,
        pause,
        delay_messages,
        duplicate_heartbeats,
    )
}
