"""Broken builds of quotas, zones and what is counted as taken."""

from emberglade.placement import preempt
from emberglade.placement.capacity import ClusterCapacity


def no_quota(patch):
    """Teams have no limits."""
    patch.setattr(ClusterCapacity, "tasks_within_quota", lambda self, spec: spec.tasks)


def ignores_used_zones(patch):
    """The zones of a job's other tasks don't matter."""
    patch.setattr(ClusterCapacity, "zones_of", lambda self, job: ({}, True))


def forgets_unheard_bindings(patch):
    """What is bound on a machine that is not heard does not count."""
    original = ClusterCapacity.inventory

    def inventory(self, machines):
        gone = [
            (job, task, binding)
            for name, rows in self.on.items()
            if name not in machines or not machines[name].open
            for (_, task), (job, binding) in rows.items()
        ]
        for job, _, _ in gone:
            use = self.team_use.get(job.spec.team)
            use[0] = max(0.0, use[0] - job.spec.cpus)
        original(self, machines)

    patch.setattr(ClusterCapacity, "inventory", inventory)


def preempts_what_does_not_fit(patch):
    """Tasks are stopped for a job that no machine has capacity for, with their capacity or not."""
    patch.setattr(preempt, "has_fit", lambda job, victims, placement_round: True)
