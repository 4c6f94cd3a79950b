"""One round of bin packing: chooses machines for pending tasks."""

from typing import TYPE_CHECKING, Any, NamedTuple

from .capacity import ClusterCapacity
from .images import ImageCaches
from .resources import ROUNDING_TOLERANCE, Resources
from .zones import has_zone_rule, zone_allows

if TYPE_CHECKING:
    from ..config import ServiceLevelObjective
    from ..jobs.job import Job
    from ..jobs.job_spec import JobSpec

# A job is late if less than this share of its estimated run time is left until it is due. The share
# is less than 1 because estimates are often wrong by half.
MIN_ESTIMATE_SHARE = 0.6


def placement_order(
    spec: "JobSpec", objectives: "tuple[ServiceLevelObjective, ...]", wall_time: float
) -> tuple[int, bool, float, float, str]:
    """The key by which the jobs of a round are sorted, the first to be placed first.

    By priority, then by due time, then by age. Within a priority, jobs that can no longer finish in
    time come after those that still can.

    Args:
        spec: The job.
        objectives: All objectives; those for the finish time of the job's class apply.
        wall_time: The wall-clock time, in seconds since 1970.

    Returns:
        The priority, whether the job will be late, when it is due, when it was submitted (both
        wall-clock times, in seconds since 1970), and its id.
    """
    due = _due_at(spec, objectives)
    late = due - wall_time < spec.estimated_run_s * MIN_ESTIMATE_SHARE
    return spec.priority, late, due, spec.submitted_at, spec.id


def _due_at(spec: "JobSpec", objectives: "tuple[ServiceLevelObjective, ...]") -> float:
    """When a job has to be finished: by its own deadline, else by its class's objective."""
    within = spec.deadline_s
    if within is None:
        within = min(
            (
                objective.within_s
                for objective in objectives
                if objective.kind == "finished"
                and objective.job_class == spec.job_class
                and objective.within_s
            ),
            default=None,
        )
    return float("inf") if within is None else spec.submitted_at + within


class _Change(NamedTuple):
    """One task of `spec` on each of `machines`, reserved or released for the rest of the round."""

    spec: "JobSpec"
    machines: list[str]
    reserved: bool


class PlacementRound:
    """One placement round on the cluster's capacity.

    Its reservations and releases are undone when the round ends; tasks that were actually bound
    are counted by `ClusterCapacity.add`. Use it as a context manager, or call `undo` at the end.

    Attributes:
        capacity: What all bound tasks use, and this round's reservations.
        usable: Names of the machines on which tasks may be placed.
        images: The images that each machine is expected to have cached.
    """

    def __init__(self, capacity: ClusterCapacity, usable: set[str], images: ImageCaches) -> None:
        self.capacity = capacity
        self.usable = usable
        self.images = images
        # Most machines are full most of the time; only the others are checked for every job.
        self._with_capacity: dict[str, Resources] = {
            name: free
            for name in usable
            if (free := capacity.free[name]).cpus > ROUNDING_TOLERANCE
            and free.ram_gb > ROUNDING_TOLERANCE
        }
        self._changes: list[_Change] = []
        # Requirements of jobs for which `place` found fewer machines than requested. They are not
        # tried again until `release` frees capacity and clears this set.
        self._unplaceable: set[tuple[Any, ...]] = set()

    def __enter__(self) -> "PlacementRound":
        return self

    def __exit__(self, *error: object) -> None:
        self.undo()

    def max_tasks(self, spec: "JobSpec") -> int:
        """An upper bound on how many tasks `place` can place; a cheap check before a call."""
        if not has_zone_rule(spec) and self._requirements(spec) in self._unplaceable:
            return 0
        return self.capacity.tasks_within_quota(spec)

    def place(self, job: "Job", count: int) -> list[str]:
        """Reserves capacity for up to `count` more tasks of a job.

        Returns:
            The machines, one per task.
        """
        spec = job.spec
        count = min(count, self.max_tasks(spec))
        if count <= 0:
            return []
        zone_counts = None
        if has_zone_rule(spec):
            zone_counts, complete = self.capacity.zones_of(job)
            if not complete:
                return []
        machines = self._reserve(spec, count, zone_counts)
        if machines:
            self._changes.append(_Change(spec, machines, reserved=True))
        if zone_counts is None and len(machines) < count:
            self._unplaceable.add(self._requirements(spec))
        return machines

    def undo_place(self, machines: list[str]) -> None:
        """Undoes the last change, a call of `place`, given the machines that it returned."""
        if machines:
            self._undo_change(self._changes.pop())

    def release(self, spec: "JobSpec", name: str) -> None:
        """Counts a bound task as ended for the rest of the round; rules on zones still count it."""
        self.capacity.release(spec, name)
        self._changes.append(_Change(spec, [name], reserved=False))
        self._unplaceable.clear()
        if name in self.usable and name not in self._with_capacity:
            self._with_capacity[name] = self.capacity.free[name]

    def undo(self) -> None:
        """Undoes all reservations and releases of this round."""
        for change in self._changes:
            self._undo_change(change)
        self._changes = []

    def _undo_change(self, change: _Change) -> None:
        revert = self.capacity.release if change.reserved else self.capacity.reserve
        for name in change.machines:
            revert(change.spec, name)

    @staticmethod
    def _requirements(spec: "JobSpec") -> tuple[Any, ...]:
        """Everything in a job that decides which machines fit, except rules on zones."""
        return spec.cpus, spec.gpus, spec.ram_gb, spec.spot, spec.allowed_types, spec.zone

    def _machines_that_fit(self, spec: "JobSpec") -> list[str]:
        """The machines on which one more task of a job fits now, ignoring rules on zones.

        `Resources.fits` is inlined: scanning all machines is most of the cost of a round.
        """
        cpus = spec.cpus - ROUNDING_TOLERANCE
        gpus = spec.gpus - ROUNDING_TOLERANCE
        ram_gb = spec.ram_gb - ROUNDING_TOLERANCE
        machines = self.capacity.machines
        return [
            name
            for name, free in self._with_capacity.items()
            if free.cpus >= cpus
            and free.ram_gb >= ram_gb
            and free.gpus >= gpus
            and machines[name].is_allowed_for(spec)
        ]

    def _preference(self, spec: "JobSpec", name: str) -> tuple[Any, ...]:
        """The key by which the machines that fit are sorted, the best first."""
        capacity = self.capacity
        missing = spec.image_gb > 0 and not self.images.has(name, spec.image)
        # Jobs that may use spot machines prefer them, so that on-demand capacity stays free. The
        # name comes last in the key: the order of machines is then always the same, so the last
        # ones become idle and are scaled in.
        other_kind = capacity.machines[name].spot != spec.spot
        if spec.service:
            # Replicas run long and keep their machines from being scaled in, so they are placed on
            # as few machines as possible.
            return missing, -capacity.replicas[name], other_kind, name
        # Machines with replicas have the services' images cached, so their free capacity is left
        # for further replicas, which can't wait for an image to be fetched.
        return capacity.replicas[name] > 0, missing, other_kind, name

    def _reserve(
        self, spec: "JobSpec", count: int, zone_counts: dict[str, int] | None
    ) -> list[str]:
        """Reserves up to `count` tasks on machines that fit; returns the machines, one per task.

        `zone_counts` are the job's tasks by zone, updated here; None if it has no rule on zones.
        """
        candidates = sorted(
            self._machines_that_fit(spec), key=lambda name: self._preference(spec, name)
        )
        # A service's replicas are spread over machines where possible: losing a machine costs
        # fewer of them, and more machines have the image cached for later replicas.
        tasks_at_once = 1 if spec.service else count
        reserved: list[str] = []
        while candidates and len(reserved) < count:
            not_full = []
            for name in candidates:
                limit = min(tasks_at_once, count - len(reserved))
                tasks = self._reserve_on(name, spec, limit, zone_counts)
                reserved += [name] * tasks
                if tasks == limit:
                    not_full.append(name)
                if len(reserved) >= count:
                    break
            candidates = not_full
        return reserved

    def _reserve_on(
        self, name: str, spec: "JobSpec", limit: int, zone_counts: dict[str, int] | None
    ) -> int:
        """Reserves up to `limit` tasks on one machine; returns how many."""
        capacity = self.capacity
        free = capacity.free[name]
        zone = capacity.machines[name].zone
        for tasks in range(limit):
            if not free.fits(spec):
                return tasks
            if zone_counts is not None:
                if not zone_allows(spec, zone_counts, zone):
                    return tasks
                zone_counts[zone] = zone_counts.get(zone, 0) + 1
            capacity.reserve(spec, name)
        return limit
