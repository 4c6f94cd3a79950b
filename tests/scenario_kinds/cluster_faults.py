"""What goes wrong in a whole-cluster scenario."""

from stand_ins import state_wire
from stand_ins.world import PartitionMode

from .scenario_run import ScenarioRun

ALL = "all"
WORKERS, CONTROLLERS = "workers", "controllers"
STARVED_FOR_S = 60
LOW = "low"


class FaultVerbs:
    """The verbs of faults. Modes of partitions are `delay` and `drop`."""

    def __init__(self, run: ScenarioRun) -> None:
        self.run = run
        self.cluster = run.cluster
        self.world = run.cluster.world
        self.state = run.cluster.state
        self.cloud = run.cluster.cloud

    def hosts(self, word: str) -> list[str]:
        """The hosts that a word stands for: `workers`, `controllers`, or one host."""
        if word == WORKERS:
            return list(self.cloud.machines)
        if word == CONTROLLERS:
            return self.cluster.names
        return [self.run.resolve(word)]

    def do_end_faults(self) -> None:
        """All faults are over from now on: what is left waiting then breaks a rule."""
        self.cluster.end_faults()

    # --- controllers

    def do_crash(self, word: str, seconds: str) -> None:
        """A controller, or `all`, ends and comes back."""
        for name in self.cluster.names if word == ALL else self.hosts(word):
            self.cluster.crash(name, float(seconds))

    def do_crash_leader(self, seconds: str) -> None:
        """The controller that leads ends and comes back."""
        self.cluster.crash_leader(float(seconds))

    def do_crash_leaders(self, count: str, every: str, seconds: str) -> None:
        """Whoever leads ends, so many times."""
        for number in range(int(count)):
            self.world.at(number * float(every), self.cluster.crash_leader, float(seconds))

    def do_power_off(self, word: str, seconds: str) -> None:
        """A controller's machine loses power: nothing refuses connections."""
        self.cluster.crash(self.run.resolve(word), float(seconds), power=False)

    def do_pause(self, word: str, seconds: str) -> None:
        """A controller stands still while its clocks go on."""
        self.cluster.pause(self.run.resolve(word), float(seconds))

    def do_starve_cpu(self, word: str, every: str, seconds: str) -> None:
        """A controller stands still again and again, for a minute."""
        for number in range(int(STARVED_FOR_S / float(every))):
            self.world.at(number * float(every), self.do_pause, word, seconds)

    def do_upgrade(self, word: str, seconds: str) -> None:
        """A controller ends and comes back with the new version."""
        self.cluster.upgrade(self.run.resolve(word), float(seconds))

    def do_downgrade(self, word: str, seconds: str) -> None:
        """A controller ends and comes back with the version before."""
        self.cluster.downgrade(self.run.resolve(word), float(seconds))

    def do_memory(self, word: str, state: str) -> None:
        """A controller's memory is `low`, or `normal` again."""
        self.cluster.controllers[self.run.resolve(word)].notify_memory_pressure(state == LOW)

    # --- the network

    def do_partition(self, first: str, second: str, seconds: str, mode: str) -> None:
        """Hosts don't reach each other."""
        near = self.hosts(first)
        far = [name for name in self.hosts(second) if name not in near]
        self.world.partition(near, far, float(seconds), PartitionMode(mode))

    def do_partition_zone(self, zone: str, seconds: str, mode: str) -> None:
        """Everything in a zone, controllers included, is cut off from everything else."""
        self.cluster.partition_zone(zone, float(seconds), PartitionMode(mode))

    def do_partition_controllers(self, seconds: str) -> None:
        """Controllers don't reach each other."""
        self.cluster.partition_controllers(float(seconds))

    def do_isolate(self, word: str, seconds: str, mode: str) -> None:
        """A controller is cut off from everything."""
        controller = self.run.resolve(word)
        self.cluster.isolate(controller, float(seconds), PartitionMode(mode))

    def do_isolate_from_control_plane(self, word: str, seconds: str, mode: str) -> None:
        """A controller is cut off from state service and peers, but not from its workers."""
        controller = self.run.resolve(word)
        self.cluster.isolate_from_control_plane(controller, float(seconds), PartitionMode(mode))

    def do_drop_one_way(self, source: str, target: str, seconds: str) -> None:
        """What the first controller sends does not reach the second one."""
        self.world.drop_messages(self.hosts(source), self.hosts(target), float(seconds))

    def do_flap_link(self, first: str, second: str, period: str, count: str) -> None:
        """A link is cut for half of each period."""
        half = str(float(period) / 2)
        for number in range(int(count)):
            delay = number * float(period)
            self.world.at(delay, self.do_partition, first, second, half, PartitionMode.DROP)

    def do_slow_links(self, seconds: str) -> None:
        """Every message may take so much longer."""
        self.world.max_extra_delay_s = float(seconds)

    def do_duplicate_heartbeats(self, chance: str, min_delay: str, max_delay: str) -> None:
        """Duplicates of agents' heartbeats come late, at any controller."""
        self.cluster.duplicate_heartbeats(float(chance), float(min_delay), float(max_delay))

    # --- machines

    def do_kill_machines(self, count: str) -> None:
        """Machines stop with all that is on them."""
        self.cloud.kill_machines(int(count))

    def do_hang_machines(self, count: str, seconds: str) -> None:
        """Machines execute nothing and answer nobody for a while."""
        self.cloud.hang_machines(int(count), float(seconds))

    def do_make_unreachable(self, machine: str, seconds: str) -> None:
        """A machine's heartbeats arrive; answers and commands don't reach it."""
        self.world.drop_messages(self.cluster.names, [machine], float(seconds))

    def do_block_heartbeats(self, machine: str, seconds: str) -> None:
        """A machine, or `all`, reaches no controller; direct commands and answers still pass."""
        machines = list(self.cloud.machines) if machine == ALL else [machine]
        self.world.block_connections(machines, self.cluster.names, float(seconds))

    def do_make_faulty(self, machine: str) -> None:
        """All tasks end in error on a machine."""
        self.cloud.machines[machine].faulty = True

    # --- the cloud

    def do_cloud_outage(self, seconds: str) -> None:
        """The cloud answers nobody for a while."""
        self.cloud.begin_outage(float(seconds))

    def do_reclaim_spot(self, share: str, notice: str) -> None:
        """The cloud takes a share of the spot machines back."""
        self.cloud.reclaim_spot(float(share), float(notice))

    def do_boot_failures(self, share: str) -> None:
        """This share of new machines never boots."""
        self.cloud.boot_failure_share = float(share)

    # --- the state service

    def do_state_outage(self, seconds: str) -> None:
        """The state service answers nobody for a while."""
        self.state.begin_outage(float(seconds))

    def do_refuse(self, word: str, seconds: str) -> None:
        """The state service refuses one controller alone."""
        self.state.refuse(self.run.resolve(word), float(seconds))

    def do_flap_state_service(self, word: str, period: str, count: str) -> None:
        """The state service refuses one controller for half of each period."""
        half = str(float(period) / 2)
        for number in range(int(count)):
            self.world.at(number * float(period), self.do_refuse, word, half)

    def do_expire_lease(self, word: str) -> None:
        """A controller's renewals are lost until its lease has ended; all else is served."""
        self.state.expire_lease_of(state_wire.MEMBER_PREFIX + self.run.resolve(word))

    def do_late_transactions(self, share: str, seconds: str) -> None:
        """That share of transactions gets no answer and is carried out 2 to 12 s later."""
        self.state.delay_transactions(float(share), float(seconds))

    def do_malformed_answers(self, chance: str) -> None:
        """The state service gives malformed answers with this chance."""
        self.state.malformed_chance = float(chance)

    def do_lower_state_limits(self) -> None:
        """The limits that were announced come into force, without notice."""
        self.cluster.lower_state_limits()
