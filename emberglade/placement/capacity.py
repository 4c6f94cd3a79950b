"""The cluster's capacity: what all bound tasks use of the machines and of the teams' quotas.

It is updated task by task. Only the free resources of a machine that is new or
changed its type are computed from all tasks bound to it.
"""

from collections import defaultdict
from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from .machines import Machine
from .resources import Resources, TeamUsage
from .zones import JobZones

if TYPE_CHECKING:
    from ..config import Team
    from ..jobs.binding import Binding
    from ..jobs.job import Job
    from ..jobs.job_spec import JobSpec

_NO_USAGE = TeamUsage()  # shared by all teams that never had a task, so it must not be modified


class BoundTask(NamedTuple):
    """A task that is bound to a machine.

    Attributes:
        job: The task's job.
        task: The task's number in the job.
        binding: Its attempt and its machine.
    """

    job: "Job"
    task: int
    binding: "Binding"


class ClusterCapacity:
    """What every bound task uses: per machine, per team.

    `add` and `remove` count bound tasks. Other callers of `reserve` and `release` change the same
    amounts only temporarily: they must later undo each call by calling the other method with the
    same arguments.

    Attributes:
        teams: The teams with their quotas and guarantees, by name.
        machines: The current machines, by name.
        free: The free resources of each of these machines.
        replicas: How many service tasks are bound to each of these machines.
        team_usage: What each team's tasks use.
        bound_tasks: {machine: {(job id, task): BoundTask}}, also for machines that no longer exist.
        zones: The zone of each current machine, and of other machines as long as tasks are bound
            to them.
    """

    def __init__(self, teams: dict[str, "Team"]) -> None:
        self.teams = teams
        self.machines: Mapping[str, Machine] = {}
        self.free: dict[str, Resources] = {}
        self.replicas: dict[str, int] = {}
        self.team_usage: defaultdict[str, TeamUsage] = defaultdict(TeamUsage)
        self.bound_tasks: dict[str, dict[tuple[str, int], BoundTask]] = {}
        self.zones: dict[str, str] = {}

    def set_machines(self, machines: Mapping[str, Machine]) -> None:
        """Replaces the current machines; tasks on other machines stay bound."""
        for name, machine in machines.items():
            previous = self.machines.get(name)
            if previous is None or previous.type is not machine.type:
                self._add_machine(name, machine)
        for name in [name for name in self.free if name not in machines]:
            del self.free[name]
            del self.replicas[name]
            if name not in self.bound_tasks:
                self.zones.pop(name, None)
        self.machines = machines

    def _add_machine(self, name: str, machine: Machine) -> None:
        """Computes the free resources of a machine that is new or changed its type."""
        machine_type = machine.type
        free = Resources(machine_type.cpus, machine_type.gpus, machine_type.ram_gb)
        replicas = 0
        for bound_task in self.bound_tasks.get(name, {}).values():
            free.reserve(bound_task.job.spec)
            replicas += bound_task.job.spec.service
        self.zones[name] = machine.zone
        self.free[name] = free
        self.replicas[name] = replicas

    def add(self, job: "Job", task: int, binding: "Binding") -> None:
        """Counts a newly bound task."""
        bound_tasks = self.bound_tasks.setdefault(binding.machine, {})
        bound_tasks[(job.id, task)] = BoundTask(job, task, binding)
        self.reserve(job.spec, binding.machine)

    def remove(self, job: "Job", task: int, binding: "Binding") -> None:
        """Stops counting a task that was bound."""
        bound_tasks = self.bound_tasks[binding.machine]
        del bound_tasks[(job.id, task)]
        if not bound_tasks:
            del self.bound_tasks[binding.machine]
            if binding.machine not in self.machines:
                self.zones.pop(binding.machine, None)
        self.release(job.spec, binding.machine)

    def reserve(self, spec: "JobSpec", name: str) -> None:
        """Adds one task of a job to its team's usage and to the used part of a machine.

        `Resources.reserve` is inlined, since every bound or placed task is counted here.
        """
        usage = self.team_usage[spec.team]
        usage.cpus += spec.cpus
        usage.gpus += spec.gpus
        free = self.free.get(name)
        if free is not None:
            free.cpus -= spec.cpus
            free.gpus -= spec.gpus
            free.ram_gb -= spec.ram_gb
            self.replicas[name] += spec.service

    def release(self, spec: "JobSpec", name: str) -> None:
        """Removes one task of a job from its team's usage and from the used part of a machine.

        `Resources.release` is inlined, since every unbound task is counted here.
        """
        usage = self.team_usage[spec.team]
        usage.cpus -= spec.cpus
        usage.gpus -= spec.gpus
        free = self.free.get(name)
        if free is not None:
            free.cpus += spec.cpus
            free.gpus += spec.gpus
            free.ram_gb += spec.ram_gb
            self.replicas[name] -= spec.service

    def usage_of(self, team: str) -> TeamUsage:
        """What a team's tasks use; read-only."""
        return self.team_usage.get(team, _NO_USAGE)

    def tasks_within_quota(self, spec: "JobSpec") -> int:
        """How many more tasks of a job its team's quota allows, at most the number of its tasks."""
        team = self.teams.get(spec.team)
        if team is None:
            return 0
        usage = self.usage_of(spec.team)
        return usage.tasks_within(spec, spec.tasks, team.cpu_quota, team.gpu_quota)

    def tasks_within_guarantee(self, spec: "JobSpec") -> int:
        """How many more tasks of a job are within its team's guarantee, at most all its tasks."""
        team = self.teams.get(spec.team)
        if team is None or not team.has_guarantee:
            return 0
        usage = self.usage_of(spec.team)
        return usage.tasks_within(spec, spec.tasks, team.guaranteed_cpus, team.guaranteed_gpus)

    def zones_of(self, job: "Job") -> JobZones:
        """The zones of a job's bound tasks."""
        counts: dict[str, int] = {}
        complete = True
        for _, binding in job.bindings():
            zone = self.zones.get(binding.machine)
            # A machine that is no longer known may be in any zone, so a job with a rule on zones
            # has to wait until its tasks there have ended.
            if zone is None:
                complete = False
            else:
                counts[zone] = counts.get(zone, 0) + 1
        return JobZones(counts, complete)
