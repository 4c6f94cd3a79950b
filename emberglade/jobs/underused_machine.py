"""Finds a machine that could be scaled in if its service replicas moved to other machines."""

from typing import NamedTuple

from .. import placement
from .cluster_view import ClusterView

MAX_MACHINES_TRIED = 8  # each try searches all usable machines once per replica


class UnderusedMachine(NamedTuple):
    """A machine that runs few replicas, and their number."""

    name: str
    replicas: int


def find_underused_machine(
    cluster: ClusterView, type_name: str, limit: int
) -> UnderusedMachine | None:
    """A machine that runs at most `limit` replicas, all of which fit on other machines in use.

    The other machines must have the replicas' images cached already.
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
    """(replicas, machine) of the ordinary machines that run at most `limit` replicas, nothing else.

    They are of the type `type_name`, schedulable and untainted.
    """
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
    """Whether all tasks on a machine fit on the usable machines that have their images cached."""
    with placement.PlacementRound(cluster.capacity, usable, cluster.images) as placement_round:
        for job, _, _ in cluster.tasks_on(machine).values():
            found = placement_round.place(job, 1)
            if not found or not cluster.images.has(found[0], job.spec.image):
                return False
    return True
