"""Fault injection in whole-cluster scenarios."""

from stand_ins import state_wire, wire
from stand_ins.worker import AgentMemory, Worker
from stand_ins.world import CommandCopies, PartitionMode

from .scenario_run import ScenarioRun

ALL = "all"
WORKERS, CONTROLLERS = "workers", "controllers"
CPU_STARVATION_S = 60
LOW = "low"


class FaultVerbs:
    """Verbs that inject faults.

    Controllers are given by name or alias. Partition modes are those of PartitionMode: `delay` and
    `drop`.
    """

    def __init__(self, run: ScenarioRun) -> None:
        self.run = run
        self.cluster = run.cluster
        self.world = run.cluster.world
        self.state = run.cluster.state
        self.cloud = run.cluster.cloud
        self.repeated_starts = 0

    def hosts(self, host: str) -> list[str]:
        """Returns the hosts for `workers`, `controllers`, or the name of one host."""
        if host == WORKERS:
            return list(self.cloud.machines)
        if host == CONTROLLERS:
            return self.cluster.names
        return [self.run.resolve(host)]

    def do_end_faults(self) -> None:
        """Declares that no more faults follow.

        From now on a job that makes no progress breaks a rule.
        """
        self.cluster.end_faults()

    # --- controllers

    def do_crash(self, controller: str, seconds: str) -> None:
        """Kills a controller, or `all`, and restarts it after this time."""
        for name in self.cluster.names if controller == ALL else self.hosts(controller):
            self.cluster.crash(name, float(seconds))

    def do_crash_leader(self, seconds: str) -> None:
        """Kills the leader and restarts it after this time."""
        self.cluster.crash_leader(float(seconds))

    def do_crash_leaders(self, count: str, every: str, seconds: str) -> None:
        """Kills the current leader `count` times, at intervals of `every` seconds."""
        for number in range(int(count)):
            self.world.at(number * float(every), self.cluster.crash_leader, float(seconds))

    def do_power_off(self, controller: str, seconds: str) -> None:
        """Powers off a controller's machine: connections time out instead of being refused."""
        self.cluster.crash(self.run.resolve(controller), float(seconds), power=False)

    def do_pause(self, controller: str, seconds: str) -> None:
        """Suspends a controller's process while its clocks advance."""
        self.cluster.pause(self.run.resolve(controller), float(seconds))

    def do_starve_cpu(self, controller: str, every: str, seconds: str) -> None:
        """For CPU_STARVATION_S, suspends a controller for `seconds`, every `every` seconds."""
        for number in range(int(CPU_STARVATION_S / float(every))):
            self.world.at(number * float(every), self.do_pause, controller, seconds)

    def do_upgrade(self, controller: str, seconds: str) -> None:
        """Stops a controller and restarts it with the new version."""
        self.cluster.upgrade(self.run.resolve(controller), float(seconds))

    def do_downgrade(self, controller: str, seconds: str) -> None:
        """Stops a controller and restarts it with the previous version."""
        self.cluster.downgrade(self.run.resolve(controller), float(seconds))

    def do_memory(self, controller: str, state: str) -> None:
        """Sets the state of a controller's memory, `low` or `normal`."""
        self.cluster.controllers[self.run.resolve(controller)].notify_memory_pressure(state == LOW)

    # --- the network

    def do_partition(self, first: str, second: str, seconds: str, mode: str) -> None:
        """Partitions two groups of hosts from each other."""
        near = self.hosts(first)
        far = [name for name in self.hosts(second) if name not in near]
        self.world.partition(near, far, float(seconds), PartitionMode(mode))

    def do_partition_zone(self, zone: str, seconds: str, mode: str) -> None:
        """Partitions a zone, its controllers included, from all other hosts."""
        self.cluster.partition_zone(zone, float(seconds), PartitionMode(mode))

    def do_partition_controllers(self, seconds: str) -> None:
        """Partitions all controllers from each other."""
        self.cluster.partition_controllers(float(seconds))

    def do_isolate(self, name: str, seconds: str, mode: str) -> None:
        """Partitions a controller from all other hosts."""
        controller = self.run.resolve(name)
        self.cluster.isolate(controller, float(seconds), PartitionMode(mode))

    def do_isolate_from_control_plane(self, name: str, seconds: str, mode: str) -> None:
        """Partitions a controller from the state service and its peers, but not from workers."""
        controller = self.run.resolve(name)
        self.cluster.isolate_from_control_plane(controller, float(seconds), PartitionMode(mode))

    def do_drop_one_way(self, source: str, target: str, seconds: str) -> None:
        """Drops all messages from `source` to `target`; the other direction works."""
        self.world.drop_messages(self.hosts(source), self.hosts(target), float(seconds))

    def do_flap_link(self, first: str, second: str, period: str, count: str) -> None:
        """Partitions two hosts for the first half of each of `count` periods."""
        half = str(float(period) / 2)
        for number in range(int(count)):
            delay = number * float(period)
            self.world.at(delay, self.do_partition, first, second, half, PartitionMode.DROP)

    def do_slow_links(self, seconds: str) -> None:
        """Adds a random delay of up to this many seconds to every message."""
        self.world.max_extra_delay_s = float(seconds)

    def do_duplicate_heartbeats(self, chance: str, min_delay: str, max_delay: str) -> None:
        """Delivers delayed duplicates of agents' heartbeats to random controllers."""
        self.cluster.duplicate_heartbeats(float(chance), float(min_delay), float(max_delay))

    # --- machines

    def do_kill_machines(self, count: str) -> None:
        """Kills machines together with their tasks."""
        self.cloud.kill_machines(int(count))

    def do_hang_machines(self, count: str, seconds: str) -> None:
        """Suspends machines: they run nothing and answer no requests."""
        self.cloud.hang_machines(int(count), float(seconds))

    def do_restart_agents(self, memory: str, *machines: str) -> None:
        """Restarts the agents of machines, or of `all`; `memory` is an AgentMemory."""
        for machine in self.machines(machines):
            machine.restart_agent(AgentMemory(memory))

    def do_repeat_starts(self, prefix: str) -> None:
        """Delivers again all executed direct commands that start tasks of jobs with a prefix."""
        for machine in self.machines((ALL,)):
            for commands in list(machine.executed):
                if any(
                    command.kind == wire.CommandKind.START
                    and command.task.startswith("job-" + prefix)
                    for command in commands.commands
                ):
                    self.repeated_starts += 1
                    machine.receive_copy(commands)

    def do_copy_commands(self, chance: str, min_delay: str, max_delay: str) -> None:
        """Delivers late copies of executed direct commands to their machines."""
        self.world.command_copies = CommandCopies(float(chance), float(min_delay), float(max_delay))

    def machines(self, names: tuple[str, ...]) -> list[Worker]:
        """The machines with these names, or all that are up."""
        if names == (ALL,):
            return [machine for machine in self.cloud.machines.values() if machine.up]
        return [self.cloud.machines[name] for name in names]

    def do_make_unreachable(self, machine: str, seconds: str) -> None:
        """Drops all messages from controllers to a machine; its heartbeats still arrive."""
        self.world.drop_messages(self.cluster.names, [machine], float(seconds))

    def do_block_heartbeats(self, machine: str, seconds: str) -> None:
        """Blocks connections from a machine, or `all`, to controllers.

        Commands that controllers send to the machine, and their answers, still pass.
        """
        machines = list(self.cloud.machines) if machine == ALL else [machine]
        self.world.block_connections(machines, self.cluster.names, float(seconds))

    def do_make_faulty(self, machine: str) -> None:
        """Makes all tasks on a machine fail."""
        self.cloud.machines[machine].faulty = True

    # --- the cloud

    def do_cloud_outage(self, seconds: str) -> None:
        """Makes the cloud answer all requests with 503 for this time."""
        self.cloud.begin_outage(float(seconds))

    def do_reclaim_spot(self, share: str, notice: str) -> None:
        """Reclaims a share of the spot machines, `notice` seconds after announcing it."""
        self.cloud.reclaim_spot(float(share), float(notice))

    def do_boot_failures(self, share: str) -> None:
        """Sets the share of new machines that never boot."""
        self.cloud.boot_failure_share = float(share)

    # --- the state service

    def do_state_outage(self, seconds: str) -> None:
        """Makes the state service answer all new requests with 503 for this time."""
        self.state.begin_outage(float(seconds))

    def do_refuse(self, controller: str, seconds: str) -> None:
        """Makes the state service refuse the requests of one controller."""
        self.state.refuse(self.run.resolve(controller), float(seconds))

    def do_flap_state_service(self, controller: str, period: str, count: str) -> None:
        """Makes the state service refuse one controller for the first half of each period."""
        half = str(float(period) / 2)
        for number in range(int(count)):
            self.world.at(number * float(period), self.do_refuse, controller, half)

    def do_expire_lease(self, controller: str) -> None:
        """Expires the lease of a controller's membership key at once, as if renewals were late."""
        self.state.expire_lease_of(state_wire.MEMBER_PREFIX + self.run.resolve(controller))

    def do_late_transactions(self, share: str, seconds: str) -> None:
        """Applies this share of transactions 2 to 12 s late and leaves them unanswered."""
        self.state.delay_transactions(float(share), float(seconds))

    def do_malformed_answers(self, chance: str) -> None:
        """Sets the probability with which the state service's answers are malformed."""
        self.state.malformed_chance = float(chance)

    def expect_repeated_starts(self, minimum: str) -> None:
        """At least this many commands were delivered by `repeat_starts`."""
        assert self.repeated_starts >= int(minimum), self.repeated_starts

    def do_lower_state_limits(self) -> None:
        """Puts the announced limits of the state service into force, without notice."""
        self.cluster.lower_state_limits()
