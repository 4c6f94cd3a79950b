"""Which machine could be scaled in if its replicas moved elsewhere."""

from typing import NamedTuple

from .. import placement
from .cluster_view import ClusterView

MAX_MACHINES_TRIED = 8  # each costs a look at all machines for each of its replicas


class UnderusedMachine(NamedTuple):
    """A machine that holds few replicas, and how many."""

    name: str
    replicas: int


def find_underused_machine(
    cluster: ClusterView, type_name: str, limit: int
) -> UnderusedMachine | None:
    """One that only holds up to `limit` replicas, which all find capacity on others in use.

    Their images are there already.
    """
    usable = {
        name
        for name, machine in cluster.machines.items()
        if machine.schedulable
        and name not in cluster.taints
        and cluster.capacity.replicas.get(name)
    }
    for count, name in sorted(_candidates(cluster, type_name, limit))[:MAX_MACHINES_TRIED]:
        if _could_move(cluster, name, usable - {name}):
            return UnderusedMachine(name, count)
    return None


def _candidates(cluster: ClusterView, type_name: str, limit: int) -> list[tuple[int, str]]:
    """(replicas, machine) of the machines of this type that hold only up to `limit` of them."""
    rows = []
    for name, machine in cluster.machines.items():
        tasks = cluster.tasks_on(name)
        if (
            machine.type.name == type_name
            and not machine.spot
            and machine.schedulable
            and name not in cluster.taints
            and 0 < len(tasks) <= limit
            and all(
                job.spec.service and not binding.stop and not job.cancelled
                for job, _, binding in tasks.values()
            )
        ):
            rows.append((len(tasks), name))
    return rows


def _could_move(cluster: ClusterView, machine: str, usable: set[str]) -> bool:
    """Whether all tasks on a machine find capacity, with their image, on the usable ones."""
    with placement.PlacementRound(cluster.capacity, usable, cluster.images) as placement_round:
        for job, _, _ in cluster.tasks_on(machine).values():
            found = placement_round.place(job, 1)
            if not found or not cluster.images.has(found[0], job.spec.image):
                return False
    return True
