"""The free-room table, kept up to date task by task, and one round of placing on it."""

from dataclasses import dataclass

from .machine_types import SLACK, MachineType

MIN_ESTIMATE_SHARE = 0.6  # estimates are often wrong by half


@dataclass(frozen=True)
class Machine:
    """A machine as placing sees it."""

    name: str
    type: MachineType
    zone: str
    spot: bool
    agent_epoch: int
    open: bool  # heard of lately, hears us, and not about to be taken


def placement_order(spec, objectives, wall):
    """The order in which jobs are served: rank, then what is due first, then age.

    Due is a job's own deadline or its class's aim on finishing; within a rank, what can't be in
    time any more comes after what still can.
    """
    within = spec.deadline_s
    if within is None:
        within = min(
            (
                o.within_s
                for o in objectives
                if o.kind == "finished" and o.job_class == spec.job_class and o.within_s
            ),
            default=None,
        )
    due = spec.submitted_at + within if within is not None else float("inf")
    late = due - wall < spec.estimated_run_s * MIN_ESTIMATE_SHARE
    return spec.priority, late, due, spec.submitted_at, spec.id


class ClusterCapacity:
    """What every bound task takes: per machine, per team. Changed only by `add` and `remove`."""

    def __init__(self, teams):
        self.teams = teams
        self.machines = {}
        self.free = {}  # machine -> [cpus, gpus, ram]
        self.replicas = {}
        self.team_use = {}
        self.on = {}  # machine -> {(job, task): (Job, Bound)}
        self.zones = {}  # machine -> zone, kept as long as a task may be there

    def inventory(self, machines):
        """The machines that are there now; what is bound on others stays bound."""
        for name, machine in machines.items():
            before = self.machines.get(name)
            if before is None or before.type is not machine.type:
                self.zones[name] = machine.zone
                free = self.free[name] = [machine.type.cpus, machine.type.gpus, machine.type.ram_gb]
                self.replicas[name] = 0
                for job, _ in self.on.get(name, {}).values():
                    self._take(job.spec, name, free)
        for name in [name for name in self.free if name not in machines]:
            del self.free[name], self.replicas[name]
            if name not in self.on:
                self.zones.pop(name, None)
        self.machines = machines

    def _take(self, spec, name, free):
        free[0] -= spec.cpus
        free[1] -= spec.gpus
        free[2] -= spec.ram_gb
        self.replicas[name] += spec.service

    def count(self, spec, name, sign=1):
        """Counts one task on a machine (or off it, with sign -1)."""
        use = self.team_use.get(spec.team)
        if use is None:
            use = self.team_use[spec.team] = [0.0, 0.0]
        use[0] += sign * spec.cpus
        use[1] += sign * spec.gpus
        free = self.free.get(name)
        if free is not None:
            free[0] -= sign * spec.cpus
            free[1] -= sign * spec.gpus
            free[2] -= sign * spec.ram_gb
            self.replicas[name] += sign * spec.service

    def add(self, job, task, binding):
        self.on.setdefault(binding.machine, {})[(job.id, task)] = (job, binding)
        self.count(job.spec, binding.machine)

    def remove(self, job, task, binding):
        here = self.on[binding.machine]
        del here[(job.id, task)]
        if not here:
            del self.on[binding.machine]
            if binding.machine not in self.machines:
                self.zones.pop(binding.machine, None)
        self.count(job.spec, binding.machine, -1)

    def tasks_within_quota(self, spec):
        """How many more tasks like this the team's limit allows."""
        team = self.teams.get(spec.team)
        return 0 if team is None else self._more(spec, team.cpu_quota, team.gpu_quota)

    def tasks_within_guarantee(self, spec):
        """How many more tasks like this the team is guaranteed."""
        team = self.teams.get(spec.team)
        return (
            0
            if team is None or not (team.guaranteed_cpus or team.guaranteed_gpus)
            else self._more(spec, team.guaranteed_cpus, team.guaranteed_gpus)
        )

    def _more(self, spec, cpus, gpus):
        use = self.team_use.get(spec.team, (0.0, 0.0))
        most = spec.tasks
        for limit, need, used in ((cpus, spec.cpus, use[0]), (gpus, spec.gpus, use[1])):
            if limit > 0 and need > 0:
                most = min(most, int((limit - used) / need + SLACK))
        return max(0, most)

    @staticmethod
    def fits(spec, free):
        return (
            free[0] + SLACK >= spec.cpus
            and free[2] + SLACK >= spec.ram_gb
            and free[1] + SLACK >= spec.gpus
        )

    def zones_of(self, job):
        """({zone: bound tasks}, whether every task's zone is known)."""
        zones: dict[str, int] = {}
        known = True
        for _, binding in job.bindings():
            zone = self.zones.get(binding.machine)
            # A machine that is not known any more may be in any zone: the job has to wait for it
            # where zones matter.
            if zone is None:
                known = False
            else:
                zones[zone] = zones.get(zone, 0) + 1
        return zones, known


class PlacementRound:
    """One round of placing: what it takes is taken back by `undo`, unless it was bound since."""

    def __init__(self, capacity, usable, images):
        self.capacity, self.images = capacity, images
        self.usable = usable
        # Most machines are full most of the time; only the others are looked at for every job.
        self.with_capacity = [
            name
            for name in usable
            if capacity.free[name][0] > SLACK and capacity.free[name][2] > SLACK
        ]
        self.taken = []
        self.full = set()  # needs for which no room was left; room only shrinks within a round

    def allowed(self, spec, name):
        """Whether kind, type and zone of the machine suit the job, its other tasks apart."""
        machine = self.capacity.machines[name]
        return (
            (spec.spot or not machine.spot)
            and (spec.allowed_types is None or machine.type.name in spec.allowed_types)
            and (spec.zone is None or machine.zone == spec.zone)
        )

    def score(self, spec, name):
        capacity = self.capacity
        missing = spec.image_gb > 0 and not self.images.has(name, spec.image)
        # Cheap machines first for what may use them, so that ordinary room stays free; and the same
        # machines first at all times, so that the others fall idle and go back.
        last = capacity.machines[name].spot != spec.spot, name
        if spec.service:
            # Replicas live long: on few machines they keep few from going back.
            return missing, -capacity.replicas[name], *last
        # Where replicas are, their images are: that room is for more of them, who can't wait for
        # one.
        return capacity.replicas[name] > 0, missing, *last

    @staticmethod
    def needs(spec):
        return spec.cpus, spec.gpus, spec.ram_gb, spec.spot, spec.allowed_types, spec.zone

    def most(self, spec):
        """At most so many tasks may find room: a cheap look that saves most jobs a dear one."""
        if not (spec.single_zone or spec.zone_spread) and self.needs(spec) in self.full:
            return 0
        return self.capacity.tasks_within_quota(spec)

    def fitting(self, spec):
        """The machines on which one more task like this fits now, zones apart.

        `ClusterCapacity.fits` in place: looking over all machines is most of what a round costs.
        """
        cpus, gpus, ram_gb = spec.cpus - SLACK, spec.gpus - SLACK, spec.ram_gb - SLACK
        free = self.capacity.free
        return [
            name
            for name in self.with_capacity
            if (left := free[name])[0] >= cpus
            and left[2] >= ram_gb
            and left[1] >= gpus
            and self.allowed(spec, name)
        ]

    def fill(self, job, count):
        """Takes room for up to `count` tasks and returns the machines, one a task."""
        spec, capacity = job.spec, self.capacity
        count = min(count, self.most(spec))
        if count <= 0:
            return []
        zoned = spec.single_zone or spec.zone_spread
        zones, known = capacity.zones_of(job) if zoned else ({}, True)
        if not known:
            return []
        free, fits = capacity.free, capacity.fits
        found: list[str] = []
        fitting = self.fitting(spec)
        most = (spec.tasks + 1) // 2
        ordered = [name for _, name in sorted((self.score(spec, name), name) for name in fitting)]
        # A service's replicas go to a machine each where they can: what a machine's loss costs is
        # less, and more machines hold the image for those that come later.
        at_once = 1 if spec.service else count
        while ordered and len(found) < count:
            again = []
            for name in ordered:
                zone = capacity.machines[name].zone
                for _ in range(min(at_once, count - len(found))):
                    if not fits(spec, free[name]) or (
                        zoned
                        and (
                            (spec.single_zone and zones and zone not in zones)
                            or (spec.zone_spread and zones.get(zone, 0) >= most)
                        )
                    ):
                        break
                    zones[zone] = zones.get(zone, 0) + 1
                    capacity.count(spec, name)
                    found.append(name)
                else:
                    again.append(name)
                if len(found) >= count:
                    break
            ordered = again
        if not zoned and len(found) < count:
            self.full.add(self.needs(spec))
        self.taken += [(spec, name) for name in found]
        return found

    def give(self, spec, name):
        """Counts a task as gone until `undo`; its zone stays taken until it really is."""
        self.capacity.count(spec, name, -1)
        self.taken.append((spec, name, -1))
        self.full.clear()
        if name in self.usable and name not in self.with_capacity:
            self.with_capacity.append(name)

    def forget(self, count):
        """Takes the last `count` of what `fill` took back at once."""
        for _ in range(count):
            spec, name = self.taken.pop()
            self.capacity.count(spec, name, -1)

    def undo(self):
        for row in self.taken:
            self.capacity.count(row[0], row[1], -row[2] if len(row) > 2 else -1)
        self.taken = []
