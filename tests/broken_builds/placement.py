"""Broken builds of quotas, zones and what is counted as taken."""

from emberglade import placement
from emberglade.placement.capacity import ClusterCapacity
from emberglade.placement.zones import JobZones


def no_quota(patch):
    """Teams have no limits."""
    patch.setattr(ClusterCapacity, "tasks_within_quota", lambda self, spec: spec.tasks)


def ignores_used_zones(patch):
    """The zones of a job's other tasks don't matter."""
    patch.setattr(ClusterCapacity, "zones_of", lambda self, job: JobZones({}, complete=True))


def forgets_unschedulable_bindings(patch):
    """What is bound on a machine that is not heard does not count."""
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
    """Tasks are stopped for a job that no machine has capacity for, with their capacity or not."""
    patch.setattr(placement, "has_fit", lambda job, victims, placement_round: True)
