"""Whole deployments on simulated time."""

import importlib
from dataclasses import replace

import breakages
import orjson
from stand_ins import faults
from stand_ins.cluster import JOB, NOT_NULL, Cluster
from stand_ins.ownership import Ownership

from emberglade.config import Operators
from scenario_kinds.words import split, value


class ClusterScenario:
    """Verbs of whole-cluster scenarios; `at T verb ...` happens at that simulated second."""

    def __init__(self, patch, tmp_path):
        self.patch = patch
        self.seed, self.teams, self.plan, self.until, self.limits = 1, {}, [], 100.0, {}
        self.production = ()
        self.watch_takeovers = False
        self.operators = Operators(failure_detection=True)
        self.cluster, self.answers, self.named = None, [], {}
        self.calls = {}  # functions that are counted -> calls

    def step(self, verb, words):
        if verb in ("seed", "until"):
            setattr(self, verb, value(words[0]))
        elif verb == "capacity":
            self.limits[verb] = value(words[0])
        elif verb == "limits":
            self.limits.update(split(words)[1])
        elif verb == "team":
            plain, named = split(words)
            self.teams[plain[0]] = {"cpus": 0.0, "cpus_max": 0.0, **named}
        elif verb == "operators":
            self.operators = replace(self.operators, **split(words)[1])
        elif verb == "watch":
            self.watch_takeovers = True
        elif verb == "production":
            self.production = words
        elif verb == "break":
            getattr(breakages, words[0])(self.patch)
        elif verb == "count":
            self.count_calls(words[0])
        elif verb in ("at", "random"):
            self.plan.append((verb, words))
        elif verb == "expect":
            self.play()
            getattr(self, "expect_" + words[0])(*words[1:])
        else:
            raise AssertionError(f"no verb {verb}")

    def count_calls(self, path):
        """Counts the calls of a function named like `placement.preempt.may_stop`."""
        module_name, _, name = path.rpartition(".")
        module = importlib.import_module("emberglade." + module_name)
        original = getattr(module, name)
        self.calls[name] = 0

        def counted(*args):
            self.calls[name] += 1
            return original(*args)

        self.patch.setattr(module, name, counted)

    def expect_calls(self, name, least, most):
        """A counted function was called so often, over all controllers."""
        assert int(least) <= self.calls[name] <= int(most), self.calls

    def play(self):
        if self.cluster is not None:
            return
        self.cluster = self.make_cluster()
        self.ownership = Ownership(self.cluster)
        if self.watch_takeovers:
            self.ownership.watch()
        for verb, words in self.plan:
            if verb == "random" and "meetings" in split(words)[1]:
                named = split(words)[1]
                self.until = (
                    faults.draw_meetings(
                        self.cluster,
                        named["jobs"],
                        named["meetings"],
                        self.until,
                        named.get("pipelines", 0.0),
                    )
                    + 130
                )
            elif verb == "random":
                _, named = split(words)
                faults.draw(
                    self.cluster,
                    named["jobs"],
                    named["faults"],
                    self.until,
                    named.get("mass", 0),
                    named.get("pipelines", 0.0),
                )
            else:
                self.cluster.world.at(float(words[0]), getattr(self, "do_" + words[1]), *words[2:])
        self.cluster.world.run(self.until)

    def rules(self):
        """The rules that were broken."""
        return self.cluster.observer.rules()

    def make_cluster(self):
        return Cluster(
            self.seed,
            teams=self.teams or None,
            production=self.production,
            operators=self.operators,
            **self.limits,
        )

    def node(self, word):
        """A controller by name, or one that `at T name WORD leader+N` has named."""
        return self.named.get(word, word)

    def do_name(self, word, who):
        """From now on the word stands for the controller that leads now, or for the n-th one after
        it.
        """
        names, _, steps = self.cluster.names, *who.partition("+")[1:]
        self.named[word] = names[
            (names.index(self.cluster.leader()) + int(steps or 0)) % len(names)
        ]

    def do_report_to(self, node):
        """All workers report to this controller, and their reports reach no other; commands still
        reach them.
        """
        node, cluster = self.node(node), self.cluster
        for machine in cluster.cloud.machines.values():
            machine.node = cluster.names.index(node)
        cluster.world.close(
            list(cluster.cloud.machines), [n for n in cluster.names if n != node], 1e9
        )

    def do_machines(self, zone, count, *words):
        for _ in range(int(count)):
            self.cluster.cloud.add(zone, "spot" in words, 0.0)

    def do_submit(self, job_id, *words):
        self.cluster.submit(job_id, **split(words)[1])

    def do_chain(self, prefix, count, *words):
        """So many jobs, each of which awaits the one before."""
        fields = split(words)[1]
        for number in range(int(count)):
            needs = {"awaits": [f"job-{prefix}{number - 1}"]} if number else {}
            self.cluster.submit(f"job-{prefix}{number}", **{**fields, **needs})

    def do_fan(self, prefix, count, *words):
        """So many jobs, and one that awaits them all."""
        self.do_fill(prefix, count, *words)
        self.cluster.submit(
            f"job-{prefix}end", awaits=[f"job-{prefix}{number}" for number in range(int(count))]
        )

    def do_upgrade(self, node, seconds):
        self.cluster.upgrade(self.node(node), float(seconds))

    def do_limits_fall(self):
        self.cluster.limits_fall()

    def do_step_back(self, node, seconds):
        """The controller ends and comes back with the older version."""
        self.cluster.production.add(node)
        self.cluster.crash(node, float(seconds))

    def do_ask_everywhere(self, job_id, count):
        """A user asks all controllers, again and again within milliseconds."""
        for number in range(int(count)):
            self.cluster.world.at(number * 0.004, self.cluster.poll_once, job_id)

    def do_repeat(self, job_id):
        self.cluster.submit_again(job_id)

    def do_fill(self, prefix, count, *words):
        """So many jobs of a kind, a tenth of a second apart."""
        for number in range(int(count)):
            self.cluster.world.at(number / 10, self.do_submit, f"job-{prefix}{number}", *words)

    def do_abort(self, job_id, node=None):
        self.cluster.abort(job_id, node=self.node(node))

    def do_user_asks(self, job_id):
        self.cluster.poll(job_id)

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
        self.cluster.nodes[self.node(node)].tell_memory(word == "short")

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

    def do_ask(self, node, method, path, *body):
        text = " ".join(body)
        if text.startswith("bytes:"):
            text = "x" * int(text[6:])
        elif text.startswith("job:"):
            # A whole submission, but for these fields; null takes one away.
            fields = {**JOB, **orjson.loads(text[4:])}
            text = orjson.dumps(
                {
                    key: value
                    for key, value in fields.items()
                    if value is not None or key not in NOT_NULL
                }
            ).decode()
        self.cluster.ask(self.node(node), method, path, text, self.answers)

    def do_flood(self, node, count, job_id):
        for _ in range(int(count)):
            self.cluster.ask(node, "GET", f"/submissions/{job_id}", "", self.answers)

    # --- expectations

    def expect_answered(self, status, least, most):
        count = sum(found == int(status) for found, _, _ in self.answers)
        assert int(least) <= count <= int(most), count
        assert all(retry is not None for found, _, retry in self.answers if found == 503)

    def expect_raised(self, word):
        """Whether the cluster's record format is raised by now."""
        assert ("eg/l/format" in self.cluster.state.keys) == (word == "true")

    def refused_sizes(self):
        """What controllers of the new version wrote too large once the limits had fallen."""
        assert self.cluster.state.fallen
        return [
            row for row in self.cluster.state.refused_sizes if row[0] not in self.cluster.production
        ]

    def expect_within_limits(self):
        assert not self.refused_sizes(), self.refused_sizes()[:3]

    def expect_no_transaction_too_large(self):
        """No transaction was refused for its bytes."""
        assert not self.cluster.state.refused_transactions

    def expect_beyond_limits(self):
        """For broken builds: something was refused for its size."""
        assert self.refused_sizes()

    def expect_largest_was(self, kind, least):
        """Some value below eg/l/<kind> was that large: the meeting took place."""
        assert self.cluster.state.largest_of.get("eg/l/" + kind, 0) >= int(least), (
            self.cluster.state.largest_of
        )

    def expect_wrote(self, kind, least):
        """At least so many keys were written below eg/l/<kind>: the meeting took place."""
        assert self.cluster.state.written.get("eg/l/" + kind, 0) >= int(least), (
            self.cluster.state.written
        )

    def expect_left(self, kind, most):
        """At most so many keys are left below eg/l/<kind>."""
        left = [key for key in self.cluster.state.keys if key.startswith(f"eg/l/{kind}/")]
        assert len(left) <= int(most), left[:5]

    def expect_order(self, first, second, seconds):
        """The second job begins at most that long after the first is done."""
        observer = self.cluster.observer
        waited = observer.begun[second] - observer.ended[first]
        assert 0 <= waited <= float(seconds), waited

    def expect_kept(self):
        assert not self.cluster.observer.broken and not self.cluster.observer.rules(), (
            self.cluster.observer.broken[:5]
        )

    def expect_broken(self, rule):
        assert rule in self.cluster.observer.rules(), (
            f"caught {self.cluster.observer.rules()}, not {rule}"
        )

    def expect_state(self, job_id, state):
        assert self.cluster.observer.final.get(job_id, [None])[0] == state

    def slow(self, prefix, seconds):
        observer = self.cluster.observer
        told = {
            job: at
            for job, at in observer.withdrawn_told.items()
            if job.startswith("job-" + prefix)
        }
        assert told
        return {
            job: round(observer.withdrawn_off.get(job, 0) - at, 1)
            for job, at in told.items()
            if observer.withdrawn_off.get(job, 0) - at > float(seconds)
        }

    def expect_off(self, prefix, seconds):
        """All withdrawn jobs of that name had nothing left that long after users were told."""
        assert not self.slow(prefix, seconds), self.slow(prefix, seconds)

    def expect_not_off(self, prefix, seconds):
        """For broken builds: some of them had."""
        assert self.slow(prefix, seconds)

    def expect_told(self, least, before):
        """So many withdrawals were told before that moment: the meeting took place."""
        told = sorted(self.cluster.observer.withdrawn_told.values())
        assert sum(at < float(before) for at in told) >= int(least), told

    def expect_starts_after_cancel(self, least, most):
        """Tasks that started after their user was told that the job is cancelled."""
        assert int(least) <= self.cluster.observer.starts_after_cancel <= int(most), (
            self.cluster.observer.starts_after_cancel
        )

    def expect_late_applied(self, least):
        assert self.cluster.state.late_applied >= int(least), self.cluster.state.late_applied

    def expect_taken_over(self, node, since, seconds):
        """All that the controller held then was others' that many seconds later."""
        took = self.ownership.taken_over(self.node(node), float(since))
        assert took <= float(seconds), took

    def expect_not_taken(self, node, since):
        """Nothing of the controller was taken over by others from then on."""
        taken = self.ownership.losses(self.node(node), float(since))
        assert not taken, taken

    def expect_held_at_home(self):
        """In the end each home shard is with its home."""
        away = self.ownership.away_from_home()
        assert not away, away

    def expect_moves(self, least, most):
        """So often shards and the lead changed hands after the first 10 s."""
        count = len(self.ownership.moves(10.0))
        assert int(least) <= count <= int(most), self.ownership.moves(10.0)

    def expect_most_held(self, node, most):
        """No more shards than that were ever held by this controller after the first 10 s."""
        held = self.ownership.most_held(self.node(node), 10.0)
        assert held <= int(most), held

    def expect_led(self, least):
        """The lead was taken so often."""
        assert self.cluster.state.written.get("eg/l/lead", 0) >= int(least), (
            self.cluster.state.written
        )

    def expect_asked_at_end(self, least):
        assert self.cluster.asked_at_end >= int(least), self.cluster.asked_at_end

    def expect_odd_answers(self, least):
        assert self.cluster.observer.odd_answered >= int(least), self.cluster.observer.odd_answered

    def expect_unfinished(self, job_id):
        """For broken builds: the job is not over by now."""
        assert (
            job_id in self.cluster.observer.accepted and job_id not in self.cluster.observer.final
        )

    def expect_running(self, job_id, count, where=None):
        on = [
            m
            for name, places in self.cluster.observer.on.items()
            if name.rpartition("/")[0] == job_id
            for m in places
        ]
        assert len(on) == int(count), on
        if where is not None:
            assert all(self.cluster.cloud.machines[m].zone == where or m == where for m in on), on

    def expect_served(self):
        served = self.cluster.observer.served()
        assert served and min(served.values()) >= 0.5, served

    def expect_starved(self):
        """For broken builds: some class, team or class's largest jobs are not served."""
        assert min(self.cluster.observer.served().values()) < 0.5, self.cluster.observer.served()

    def expect_begun(self, job_id, seconds):
        observer = self.cluster.observer
        assert job_id in observer.begun and observer.begun[job_id] - observer.accepted[
            job_id
        ] <= float(seconds), observer.begun.get(job_id)

    def expect_starts(self, least, most):
        assert int(least) <= self.cluster.observer.starts <= int(most), self.cluster.observer.starts

    def expect_sessions(self, most):
        """No worker's lease ran out more often than this."""
        sessions = {m.name: m.session for m in self.cluster.cloud.machines.values() if m.up}
        assert max(sessions.values(), default=1) <= int(most), sessions

    def expect_running_all(self, prefix, count):
        on = sum(
            len(places)
            for name, places in self.cluster.observer.on.items()
            if name.startswith("job-" + prefix)
        )
        assert on == int(count), on

    def expect_running_at_least(self, prefix, count):
        """So many tasks of these jobs are on machines."""
        on = sum(
            len(places)
            for name, places in self.cluster.observer.on.items()
            if name.startswith("job-" + prefix)
        )
        assert on >= int(count), on

    def expect_written(self, kind, most):
        """No more keys than that were written below eg/l/<kind>."""
        assert self.cluster.state.written.get("eg/l/" + kind, 0) <= int(most), (
            self.cluster.state.written
        )

    def expect_accepted(self, job_id, seconds):
        observer = self.cluster.observer
        assert observer.accepted[job_id] - observer.submitted[job_id] <= float(seconds), (
            observer.accepted[job_id]
        )

    def expect_leases(self, most):
        """So many leases of the state service were ever asked for, at most."""
        assert self.cluster.state.next_lease <= int(most), self.cluster.state.next_lease

    def expect_listed(self, machine):
        assert self.cluster.cloud.machines[machine].listed

    def expect_returned(self, machine):
        assert not self.cluster.cloud.machines[machine].listed

    def expect_machines(self, least, most):
        count = sum(m.listed for m in self.cluster.cloud.machines.values())
        assert int(least) <= count <= int(most), count

    def expect_answers(self, *statuses):
        assert [str(status) for status, _, _ in self.answers] == list(statuses), self.answers
        for status, body, retry in self.answers:
            if status >= 400:
                assert "\n" not in body["error"] and body["error"]
            if status in (429, 503):
                assert retry is not None and retry >= 1
