"""What goes wrong in a whole-cluster scenario."""


class FaultActions:
    """The verbs of faults; `cluster` is the deployment, `node` resolves a controller's name."""

    def do_crash(self, node, seconds):
        for name in self.cluster.names if node == "all" else [self.node(node)]:
            self.cluster.crash(name, float(seconds))

    def do_cut(self, first, second, seconds, mode):
        groups = {"workers": list(self.cluster.cloud.machines), "nodes": self.cluster.names}
        first, second = (groups.get(word, [self.node(word)]) for word in (first, second))
        self.cluster.world.cut(
            first, [name for name in second if name not in first], float(seconds), mode
        )

    def do_cut_zone(self, zone, seconds, mode):
        """Everything in the zone, controllers included, is cut off from everything else."""
        self.cluster.cut_zone(zone, float(seconds), mode)

    def do_power_off(self, node, seconds):
        """Its machine loses power: nothing refuses connections."""
        self.cluster.crash(self.node(node), float(seconds), power=False)

    def do_one_way(self, source, target, seconds):
        """What the first controller sends does not reach the second one."""
        self.cluster.world.mute([self.node(source)], [self.node(target)], float(seconds))

    def do_flap(self, first, second, period, count):
        """The link is cut for half of each period."""
        for number in range(int(count)):
            self.cluster.world.at(
                number * float(period), self.do_cut, first, second, float(period) / 2, "lose"
            )

    def do_flap_state(self, node, period, count):
        """The state service refuses this controller for half of each period."""
        for number in range(int(count)):
            self.cluster.world.at(number * float(period), self.do_refuse, node, float(period) / 2)

    def do_lapse(self, node):
        """The controller's renewals are lost until its lease has ended; all else is served."""
        self.cluster.state.end_lease_of("eg/l/n/" + node)

    def do_starve(self, node, every, seconds):
        """The controller stands still again and again."""
        for number in range(int(60 / float(every))):
            self.cluster.world.at(number * float(every), self.do_freeze, node, seconds)

    def do_statement(self, node, *body):
        """A ping with that body reaches the controller."""
        self.cluster.ask(self.node(node), "POST", "/peer/ping", " ".join(body), self.answers)

    def do_probe(self, node, *body):
        self.cluster.ask(self.node(node), "POST", "/peer/probe", " ".join(body), self.answers)

    def do_freeze(self, node, seconds):
        self.cluster.freeze(node, float(seconds))

    def do_die(self, count):
        self.cluster.cloud.die(int(count))

    def do_hang(self, count, seconds):
        self.cluster.cloud.hang(int(count), float(seconds))

    def do_isolate(self, node, seconds, mode):
        everyone = [*self.cluster.names, "state", "cloud", "user", *self.cluster.cloud.machines]
        self.cluster.world.cut([node], [n for n in everyone if n != node], float(seconds), mode)

    def do_deaf(self, machine, seconds):
        """The machine's reports arrive; answers and commands don't reach it."""
        self.cluster.world.mute(self.cluster.names, [machine], float(seconds))

    def do_mute(self, machine, seconds):
        """The machine reaches no controller; direct commands and their answers still pass."""
        machines = list(self.cluster.cloud.machines) if machine == "all" else [machine]
        self.cluster.world.close(machines, self.cluster.names, float(seconds))

    def do_lone(self, node, seconds, mode):
        """A controller loses the state service and the other controllers, but not its workers."""
        node = self.node(node)
        self.cluster.world.cut(
            [node], ["state", *(n for n in self.cluster.names if n != node)], float(seconds), mode
        )

    def do_peers_refuse(self, seconds):
        for name in self.cluster.names:
            self.cluster.world.cut(
                [name], [n for n in self.cluster.names if n != name], float(seconds), "lose"
            )

    def do_copies(self, chance, least, most):
        """Copies of reports come late, to any node."""
        self.cluster.world.copies = (
            "/agent/beat",
            float(chance),
            float(least),
            float(most),
            self.cluster.names,
        )

    def do_late_writes(self, share, seconds):
        """That share of transactions gets no answer and is carried out 2 to 12 s later."""
        self.cluster.state.late = (float(share), self.cluster.world.now + float(seconds))

    def do_crash_leader(self, seconds):
        self.cluster.crash_leader(float(seconds))

    def do_crash_leaders(self, count, every, seconds):
        for number in range(int(count)):
            self.cluster.world.at(number * float(every), self.cluster.crash_leader, float(seconds))

    def do_cancel_at_end(self, share, seconds):
        self.cluster.cancels_at_end = (float(share), self.cluster.world.now + float(seconds))

    def do_odd(self, seconds):
        self.cluster.odd_requests(float(seconds))

    def do_slow_links(self, seconds):
        self.cluster.world.slow = float(seconds)

    def do_quiet(self):
        self.cluster.all_is_quiet()

    def do_refuse(self, node, seconds):
        self.cluster.state.refused[self.node(node)] = self.cluster.world.now + float(seconds)

    def do_state_outage(self, seconds):
        self.cluster.state.outage(float(seconds))

    def do_memory(self, node, word):
        """This controller's memory is `short`, or `enough` again."""
        self.cluster.nodes[self.node(node)].tell_memory_pressure(word == "short")

    def do_cloud_outage(self, seconds):
        self.cluster.cloud.down_until = self.cluster.world.now + float(seconds)

    def do_odd_state(self, chance):
        self.cluster.state.odd = float(chance)

    def do_take_back(self, share, notice):
        self.cluster.cloud.take_back(float(share), float(notice))

    def do_faulty(self, machine):
        self.cluster.cloud.machines[machine].faulty = True

    def do_never_boot(self, share):
        self.cluster.cloud.never = float(share)

    def do_no_capacity(self, zone):
        for pool in list(self.cluster.cloud.capacity):
            if pool[0] == zone:
                self.cluster.cloud.capacity[pool] = 0
