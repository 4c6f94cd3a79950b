"""Broken builds of quotas, zones and capacity accounting."""

from emberglade import placement
from emberglade.placement.capacity import ClusterCapacity
from emberglade.placement.zones import JobZones


def no_quota(patch):
    """Team quotas are not enforced."""
    patch.setattr(ClusterCapacity, "tasks_within_quota", lambda self, spec: spec.tasks)


def ignores_used_zones(patch):
    """The zones of a job's other tasks are ignored."""
    patch.setattr(ClusterCapacity, "zones_of", lambda self, job: JobZones({}, complete=True))


def forgets_unschedulable_bindings(patch):
    """Tasks bound to unschedulable machines don't count towards the quota of their team."""
    original = ClusterCapacity.set_machines

    def set_machines(self, machines):
        gone = [
            row
            for name, rows in self.bound_tasks.items()
            if name not in machines or not machines[name].schedulable
            for row in rows.values()
        ]
        for row in gone:
            usage = self.team_usage[row.job.spec.team]
            usage.cpus = max(0.0, usage.cpus - row.job.spec.cpus)
        original(self, machines)

    patch.setattr(ClusterCapacity, "set_machines", set_machines)


def preempts_without_fit(patch):
    """Tasks are preempted for a job that does not fit even once they have ended."""
    patch.setattr(placement, "has_fit", lambda job, victims, placement_round: True)
