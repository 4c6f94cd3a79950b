"""The free-room table of one round of placing."""

from dataclasses import dataclass

from .types import SLACK, MachineType

LEAST_OF_ESTIMATE = 0.6  # estimates are often wrong by half


@dataclass(frozen=True)
class Machine:
    name: str
    type: MachineType
    zone: str
    spot: bool
    session: int
    open: bool  # heard of lately and not about to be taken


def order(spec, objectives, wall):
    """The order in which jobs are served: rank, then what is due first, then age.

    Due is a job's own deadline or its class's aim on finishing; within a rank, what can't be in
    time any more comes after what still can.
    """
    within = spec.deadline_s
    if within is None:
        within = min((o.within_s for o in objectives if o.kind == "finished" and o.breed == spec.breed and o.within_s), default=None)
    due = spec.submitted + within if within is not None else float("inf")
    late = due - wall < spec.estimate_s * LEAST_OF_ESTIMATE
    return spec.rank, late, due, spec.submitted, spec.id


class Room:
    def __init__(self, inventory, usable, jobs, teams, images):
        machines = {name: inventory[name] for name in usable}
        self.machines, self.teams, self.images = machines, teams, images
        self.free = {name: [m.type.cpus, m.type.gpus, m.type.ram] for name, m in machines.items()}
        self.team_use = {}
        self.zones = {}  # job -> {zone: tasks}
        self.replicas = dict.fromkeys(machines, 0)
        self.zone_of = {name: m.zone for name, m in inventory.items()}
        self.unplaced_zone = set()
        for job in jobs:
            for _, bound in job.bound():
                self._count(job, bound.machine)

    def _count(self, job, name):
        spec = job.spec
        use = self.team_use.setdefault(spec.team, [0.0, 0.0])
        use[0] += spec.cpus
        use[1] += spec.gpus
        free = self.free.get(name)
        if free is not None:
            free[0] -= spec.cpus
            free[1] -= spec.gpus
            free[2] -= spec.ram
            self.replicas[name] += spec.service
        zone = self.zone_of.get(name)
        # A machine that is not known any more may be in any zone: the job has to wait for it
        # where zones matter.
        if zone is None:
            self.unplaced_zone.add(spec.id)
        else:
            zones = self.zones.setdefault(spec.id, {})
            zones[zone] = zones.get(zone, 0) + 1

    def take(self, job, name):
        self._count(job, name)

    def give(self, job, name):
        """Counts a task as gone; its zone stays taken until it really is."""
        spec = job.spec
        use = self.team_use[spec.team]
        use[0] -= spec.cpus
        use[1] -= spec.gpus
        free = self.free.get(name)
        if free is not None:
            free[0] += spec.cpus
            free[1] += spec.gpus
            free[2] += spec.ram

    def within_limit(self, spec):
        team = self.teams.get(spec.team)
        if team is None:
            return False
        use = self.team_use.get(spec.team, (0.0, 0.0))
        return ((team.cpus_max <= 0 or use[0] + spec.cpus <= team.cpus_max + SLACK)
                and (team.gpus_max <= 0 or use[1] + spec.gpus <= team.gpus_max + SLACK))

    @staticmethod
    def fits(spec, free):
        return free[0] + SLACK >= spec.cpus and free[2] + SLACK >= spec.ram and free[1] + SLACK >= spec.gpus

    def allowed(self, job, name):
        """Whether kind, type and zone of the machine suit the job, given its other tasks."""
        spec, machine = job.spec, self.machines[name]
        if machine.spot and not spec.spot:
            return False
        if spec.types is not None and machine.type.name not in spec.types:
            return False
        if spec.zone is not None and machine.zone != spec.zone:
            return False
        if spec.one_zone or spec.scatter:
            zones = self.zones.get(spec.id, {})
            if spec.id in self.unplaced_zone:
                return False
            if spec.one_zone and zones and machine.zone not in zones:
                return False
            if spec.scatter and zones.get(machine.zone, 0) >= (spec.tasks + 1) // 2:
                return False
        return True

    def holds_all(self, job, count):
        """Whether `count` tasks of the job would find room now."""
        taken = []
        while len(taken) < count and (name := self.choose(job)) is not None:
            self.take(job, name)
            taken.append(name)
        for name in taken:
            self.give(job, name)
            zones = self.zones[job.spec.id]
            zones[self.zone_of[name]] -= 1
            if not zones[self.zone_of[name]]:
                del zones[self.zone_of[name]]
        return len(taken) == count

    def choose(self, job):
        spec = job.spec
        if not self.within_limit(spec):
            return None
        best, best_score = None, None
        for name, machine in self.machines.items():
            if not self.fits(spec, self.free[name]) or not self.allowed(job, name):
                continue
            score = (
                0 if spec.image_gb <= 0 or self.images.has(name, spec.image) else 1,
                # Replicas live long: on few machines they keep few from going back.
                -self.replicas[name] if spec.service else self.replicas[name] > 0,
                # Cheap machines first for what may use them, so that ordinary room stays free.
                0 if machine.spot == spec.spot else 1,
                # The same machines first at all times, so that the others fall idle and go back.
                name,
            )
            if best_score is None or score < best_score:
                best, best_score = name, score
        return best
