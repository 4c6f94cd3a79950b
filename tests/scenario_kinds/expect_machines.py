"""What a whole-cluster scenario expects of machines and of what is on them."""

from stand_ins.submissions import job_of

from .played import Played


class MachineExpectations:
    """The verbs after `expect` on machines, agents and running tasks."""

    def __init__(self, played: Played) -> None:
        self.observer = played.observer
        self.cloud = played.cluster.cloud

    def expect_running_tasks(self, job_id: str, count: str, where: str | None = None) -> None:
        """So many tasks of the job are on machines, all in this zone or on this machine."""
        machines = [
            machine
            for name, places in self.observer.placements.items()
            if job_of(name) == job_id
            for machine in places
        ]
        assert len(machines) == int(count), machines
        if where is not None:
            assert all(
                where in (machine, self.cloud.machines[machine].zone) for machine in machines
            ), machines

    def running_of_all(self, prefix: str) -> int:
        """How many tasks of the jobs of that name are on machines."""
        return sum(
            len(places)
            for name, places in self.observer.placements.items()
            if name.startswith("job-" + prefix)
        )

    def expect_running_tasks_of_all(self, prefix: str, count: str) -> None:
        """So many tasks of the jobs of that name are on machines."""
        running = self.running_of_all(prefix)
        assert running == int(count), running

    def expect_running_tasks_at_least(self, prefix: str, count: str) -> None:
        """At least so many tasks of the jobs of that name are on machines."""
        running = self.running_of_all(prefix)
        assert running >= int(count), running

    def expect_agent_epochs_at_most(self, maximum: str) -> None:
        """No agent's lease expired more often than this allows; 1: none did."""
        epochs = {
            machine.name: machine.agent_epoch
            for machine in self.cloud.machines.values()
            if machine.up
        }
        assert max(epochs.values(), default=1) <= int(maximum), epochs

    def expect_listed(self, machine: str) -> None:
        """The machine has not been given back."""
        assert self.cloud.machines[machine].listed

    def expect_scaled_in(self, machine: str) -> None:
        """The machine has been given back."""
        assert not self.cloud.machines[machine].listed

    def expect_listed_machines(self, minimum: str, maximum: str) -> None:
        """So many machines are rented."""
        count = sum(machine.listed for machine in self.cloud.machines.values())
        assert int(minimum) <= count <= int(maximum), count
