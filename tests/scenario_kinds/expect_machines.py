"""Expectations of whole-cluster scenarios on machines and the tasks on them."""

from stand_ins.submissions import job_of

from .scenario_run import ScenarioRun


class MachineExpectations:
    """Verbs after `expect` on machines, agents and running tasks."""

    def __init__(self, run: ScenarioRun) -> None:
        self.observer = run.observer
        self.cloud = run.cluster.cloud

    def expect_running_tasks(self, job_id: str, count: str, where: str | None = None) -> None:
        """This many tasks of the job are running, all of them in this zone or on this machine."""
        machines = [
            machine
            for name, machines_of_task in self.observer.placements.items()
            if job_of(name) == job_id
            for machine in machines_of_task
        ]
        assert len(machines) == int(count), machines
        if where is not None:
            assert all(
                where in (machine, self.cloud.machines[machine].zone) for machine in machines
            ), machines

    def running_of_all(self, prefix: str) -> int:
        """Number of running tasks of all jobs with this prefix."""
        return sum(
            len(machines_of_task)
            for name, machines_of_task in self.observer.placements.items()
            if name.startswith("job-" + prefix)
        )

    def expect_running_tasks_of_all(self, prefix: str, count: str) -> None:
        """This many tasks of all jobs with this prefix are running."""
        running = self.running_of_all(prefix)
        assert running == int(count), running

    def expect_running_tasks_at_least(self, prefix: str, count: str) -> None:
        """At least this many tasks of all jobs with this prefix are running."""
        running = self.running_of_all(prefix)
        assert running >= int(count), running

    def expect_starts(self, job_id: str, count: str) -> None:
        """Tasks of the job were started this many times, all of them together."""
        starts = {
            name: starts
            for name, starts in self.observer.starts_of.items()
            if job_of(name) == job_id
        }
        assert sum(starts.values()) == int(count), starts

    def expect_agent_epochs_at_most(self, maximum: str) -> None:
        """No agent's epoch is above `maximum`; at epoch 1, the agent's lease has never expired."""
        epochs = {
            machine.name: machine.agent_epoch
            for machine in self.cloud.machines.values()
            if machine.up
        }
        assert max(epochs.values(), default=1) <= int(maximum), epochs

    def expect_listed(self, machine: str) -> None:
        """The machine is still rented."""
        assert self.cloud.machines[machine].listed

    def expect_scaled_in(self, machine: str) -> None:
        """The machine has been returned to the cloud."""
        assert not self.cloud.machines[machine].listed

    def expect_listed_machines(self, minimum: str, maximum: str) -> None:
        """The number of rented machines is in this range."""
        count = sum(machine.listed for machine in self.cloud.machines.values())
        assert int(minimum) <= count <= int(maximum), count
