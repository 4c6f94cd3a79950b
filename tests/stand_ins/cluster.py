"""A whole deployment on simulated time: controllers of this service among stand-ins."""

from emberglade.config import Operators, Peer, ServiceLevelObjective, Settings, Team
from emberglade.controller import assemble

from .cloud import Cloud
from .observer import Observer
from .production import as_production
from .state import StateService
from .world import SimClient, SimClientPool, SimSystem, World

LIMITS = {
    "nodes": 3,
    "rps": 100.0,
    "write_rps": 40.0,
    "value_bytes": 8192,
    "txn_ops": 16,
    "lease_s": 10.0,
    "report_s": 1.5,
    "cancel_s": 40.0,
    "cloud_rps": 5.0,
    "capacity": 10,
}

JOB = {
    "breed": "test",
    "crew": "core",
    "shape": "sweep",
    "rank": "normal",
    "embers": 1,
    "cpus": 1.0,
    "cards": 0.0,
    "ram_gb": 1.0,
    "kindling": "img",
    "image_gb": 0.2,
    "hearth_kinds": None,
    "glade": None,
    "one_zone": False,
    "scatter": False,
    "driftwood": False,
    "burn_s": 10.0,
    "bank_s": 0.0,
    "banking_s": 0.0,
    "due_s": None,
}


# The fields of a submission that PROTOCOL does not let be null.
NOT_NULL = [name for name in JOB if name not in ("hearth_kinds", "glade", "due_s")] + ["id"]


class Cluster:
    """Controllers, state service, cloud, workers and users of one scenario."""

    def __init__(
        self,
        seed,
        zones=("a", "b", "c"),
        teams=None,
        production=(),
        operators=None,
        world=None,
        **limits,
    ):
        self.operators = operators or Operators()
        self.world = world or World(seed)
        self.zones = zones
        self.teams = teams or {"core": {"cpus": 0.0, "cpus_max": 0.0}}
        self.limits = limits = {**LIMITS, **limits}
        self.names = [f"hearth-{n}" for n in range(limits["nodes"])]
        self.observer = Observer(self.world, limits["cancel_s"], self.teams)
        self.observer.job_ended = self.job_ended
        self.cancels_at_end = (0.0, -1.0)  # (share, until)
        self.asked_at_end = 0
        self.state = StateService(
            self.world,
            **{key: limits[key] for key in ("rps", "write_rps", "value_bytes", "txn_ops")},
        )
        plan = {
            "type": {
                "label": "box",
                "cpus": 8.0,
                "ram_gb": 32.0,
                "local_gb": 30.0,
                "fetch_gb_per_s": 0.2,
                "price": 0.6,
                "spot_price": 0.2,
                "boot_s": 15.0,
                "glades": list(zones),
            },
            "capacity": {
                (zone, spot): limits["capacity"] for zone in zones for spot in (False, True)
            },
            "lag_s": 3.0,
        }
        self.cloud = Cloud(
            self.world,
            plan,
            {key: limits[key] for key in ("report_s", "lease_s")},
            self.observer,
            self.names,
        )
        self.processes, self.nodes = {}, {}
        self.production = set(
            self.names if "all" in production else production
        )  # controllers of the older version
        self.seed = seed
        for name in self.names:
            self.begin(name)

    def settings(self, name):
        place, limits = self.names.index(name), dict(self.limits)
        if name not in self.production:
            for key, value in self.next_limits().items():
                limits[key] = min(limits[key], value)
        teams = {n: Team(n, t["cpus"], t["cpus_max"]) for n, t in self.teams.items()}
        return Settings(
            node=name,
            zone=self.zones[place % len(self.zones)],
            front=(name, 1),
            internal=(name, 2),
            peers=tuple(
                Peer(n, self.zones[self.names.index(n) % len(self.zones)], (n, 2))
                for n in self.names
                if n != name
            ),
            cloud=("cloud", 1),
            state=("state", 1),
            size=len(self.names),
            zones=tuple(sorted(self.zones)),
            skew_s=0.01,
            teams=teams,
            objectives=(ServiceLevelObjective("finished", "test", 100.0, 0.9),),
            agent_heartbeat_s=limits["report_s"],
            lease_s=limits["lease_s"],
            cancel_s=limits["cancel_s"],
            state_rps=limits["rps"],
            state_write_rps=limits["write_rps"],
            value_bytes=limits["value_bytes"],
            txn_ops=limits["txn_ops"],
            cloud_rps=limits["cloud_rps"],
            list_lag_s=3.0,
            cpu=0.3,
            mem_mb=186.0,
            fd_limit=1200,
            names=tuple(self.names),
        )

    def next_limits(self):
        """The limits announced for later, by the name of those that they will replace."""
        return {key[5:]: value for key, value in self.limits.items() if key.startswith("next_")}

    def limits_fall(self):
        limits = {key: self.limits[key] for key in ("value_bytes", "txn_ops", "write_rps")}
        self.state.fall(**{**limits, **self.next_limits()})

    def upgrade(self, name, seconds):
        """The controller ends and comes back with the new version."""
        self.production.discard(name)
        self.crash(name, seconds)

    def begin(self, name):
        process = SimSystem(self.world, name, self.seed)
        older = name in self.production
        node = assemble(
            self.settings(name),
            Operators() if older else self.operators,
            SimClient(process, "state"),
            SimClient(process, "cloud"),
            {n: SimClient(process, n) for n in self.names if n != name},
            SimClientPool(process),
        )
        for actor, actor_name in as_production(node) if older else node.actors():
            process.spawn(actor, actor_name)

        def handle(method, path, body, source, reply):
            def answer(*result):
                if process.alive:
                    reply(*result)

            (node.peer_routes if path.startswith("/peer/") else node.user_api.routes).route(
                method, path, body, answer
            )

        self.world.hosts[name] = handle
        self.processes[name], self.nodes[name] = process, node

    def crash(self, name, seconds, power=True):
        """The process ends; without power its machine does not even refuse connections."""
        if self.processes[name].alive:
            self.processes[name].alive = False
            self.world.hosts[name] = None
            (self.world.without_power.discard if power else self.world.without_power.add)(name)
            self.world.at(seconds, self.begin, name)

    def crash_leader(self, seconds):
        lead = self.state.keys.get("eg/l/lead")
        if lead is not None:
            self.crash(lead[0]["node"], seconds)

    def all_is_quiet(self):
        """All troubles are over."""
        self.observer.quiet_since = self.world.now
        self.world.copies, self.world.loss, self.world.repeat = None, 0.0, 0.0

    def freeze(self, name, seconds):
        """The process stands still while its clocks run on; then it goes on with all that came."""
        self.processes[name].freeze(self.world.now + seconds)

    def cut_zone(self, zone, seconds, mode):
        inside = [
            n for n in self.names if self.zones[self.names.index(n) % len(self.zones)] == zone
        ]
        inside += [m.name for m in self.cloud.machines.values() if m.zone == zone]
        everyone = [*self.names, "state", "cloud", "user", *self.cloud.machines]
        self.world.cut(inside, set(everyone) - set(inside), seconds, mode)

    # --- users

    def submit(self, job_id, real_s=None, **fields):
        job = {**JOB, **fields, "id": job_id}
        job["real_s"] = real_s if real_s is not None else job["burn_s"]
        if isinstance(job.get("awaits"), str):
            job["awaits"] = job["awaits"].split(",")
        if not all(need in self.observer.accepted for need in job.get("awaits") or ()):
            # Users name what they know to be accepted.
            self.world.at(0.3, lambda: self.submit(job_id, real_s, **fields))
            return
        self.observer.jobs[job_id] = job
        self.observer.submitted_at[job_id] = self.world.now
        self.attempt(job, self.world.now)

    def attempt(self, job, since):
        asked = self.world.now

        def answered(status, body):
            self.observer.told(job["id"], asked, status, body)
            if status in (200, 201):
                self.world.at(5.0, self.poll, job["id"])
            elif status not in (400, 422) and self.world.now - since < 60:
                self.world.at(1.0 + self.world.random.random(), self.attempt, job, since)

        self.world.request(
            "user", self.world.random.choice(self.names), "POST", "/submissions", job, 5.0, answered
        )

    def poll(self, job_id):
        asked = self.world.now

        def answered(status, body):
            self.observer.told(job_id, asked, status, body)
            # Users may ask again at any later time: final states are asked for more rarely.
            self.world.at(
                40.0 if status == 200 and job_id in self.observer.final else 5.0, self.poll, job_id
            )

        self.world.request(
            "user",
            self.world.random.choice(self.names),
            "GET",
            f"/submissions/{job_id}",
            None,
            2.0,
            answered,
        )

    def leader(self):
        """Who leads, as the state service has it."""
        return self.state.keys["eg/l/lead"][0]["node"]

    def abort(self, job_id, since=None, node=None):
        """`node`: the controller that the user's connection leads to; else any."""
        if job_id not in self.observer.accepted:
            # Users cancel what they know to be accepted.
            self.world.at(1.0, self.abort, job_id, None, node)
            return
        since = self.world.now if since is None else since
        self.observer.asked_abort.add(job_id)

        asked = self.world.now

        def answered(status, body):
            self.observer.told(job_id, asked, status, body)
            if status != 200 and self.world.now - since < 60:
                self.world.at(1.0 + self.world.random.random(), self.abort, job_id, since, node)

        self.world.request(
            "user",
            node or self.world.random.choice(self.names),
            "POST",
            f"/submissions/{job_id}/abort",
            {},
            5.0,
            answered,
        )

    def cancel_now(self, count, hang_s):
        """Users call off that many running jobs within a fifth of a second; some of their machines
        hang.
        """
        observer, rng = self.observer, self.world.random
        running = sorted(
            {name.rpartition("/")[0] for name, places in observer.on.items() if places}
            - observer.asked_abort
        )
        chosen = rng.sample(running, min(count, len(running)))
        for job_id in chosen:
            self.world.at(rng.uniform(0, 0.2), self.abort, job_id)
        if hang_s:
            machines = sorted(
                {
                    m
                    for name, places in observer.on.items()
                    if name.rpartition("/")[0] in chosen
                    for m in places
                }
            )
            for machine in rng.sample(machines, min(8, len(machines))):
                if not self.cloud.machines[machine].hung:
                    self.cloud.machines[machine].hang(hang_s)

    def job_ended(self, job_id):
        """The last task of an array has just completed: its user may call it off, ask, and submit
        it again.
        """
        rng = self.world.random
        if self.world.now < self.cancels_at_end[1] and rng.random() < self.cancels_at_end[0]:
            self.asked_at_end += 1
            self.world.at(rng.uniform(0, 2.0), self.abort, job_id)
            self.world.at(rng.uniform(0, 2.0), self.poll_once, job_id)
            self.world.at(rng.uniform(0, 2.0), self.submit_again, job_id)

    def poll_once(self, job_id):
        asked = self.world.now
        self.world.request(
            "user",
            self.world.random.choice(self.names),
            "GET",
            f"/submissions/{job_id}",
            None,
            2.0,
            lambda status, body: self.observer.told(job_id, asked, status, body),
        )

    def submit_again(self, job_id, **changed):
        asked = self.world.now
        self.world.request(
            "user",
            self.world.random.choice(self.names),
            "POST",
            "/submissions",
            {**self.observer.jobs[job_id], **changed},
            5.0,
            lambda status, body: self.observer.told(job_id, asked, status, body),
        )

    def odd_requests(self, seconds):
        """Repeats with another body, cancellations of what is done, jobs that fit nowhere or lack a
        field.
        """
        rng, observer = self.world.random, self.observer
        for number in range(int(seconds)):
            self.world.at(
                rng.uniform(0, seconds),
                self.odd_request,
                rng.randrange(4),
                f"job-odd{self.world.now:.0f}x{number}",
            )
        observer.odd_until = self.world.now + seconds

    def odd_request(self, kind, odd_id):
        rng, observer = self.world.random, self.observer
        known = sorted(set(observer.accepted) - set(observer.final))
        done = sorted(job for job, row in observer.final.items() if row[0] == "done")
        if kind == 0 and known:
            self.submit_again(
                rng.choice(known),
                **rng.choice(
                    [{}, {"cpus": 1000.0}, {"cpus": None}, {"crew": "nobody"}, {"embers": -1}]
                ),
            )
        elif kind == 1 and done:
            job_id, asked = rng.choice(done), self.world.now
            self.world.request(
                "user",
                rng.choice(self.names),
                "POST",
                f"/submissions/{job_id}/abort",
                {},
                5.0,
                lambda status, body: observer.told(job_id, asked, status, body),
            )
        elif kind >= 2:
            body = {**JOB, "id": odd_id, "crew": sorted(self.teams)[0]}
            if kind == 2:
                del body[rng.choice(NOT_NULL)]
            else:
                body.update(
                    rng.choice(
                        [
                            {"cpus": 500.0},
                            {"ram_gb": 1e6},
                            {"hearth_kinds": ["none"]},
                            {"glade": "nowhere"},
                            {"crew": "nobody"},
                        ]
                    )
                )
            self.world.request(
                "user",
                rng.choice(self.names),
                "POST",
                "/submissions",
                body,
                5.0,
                lambda status, answer: observer.told_odd(odd_id, status),
            )

    def ask(self, node, method, path, body, answers):
        """One request as it is; the answer is kept."""
        handler = self.world.hosts[node]
        payload = body if isinstance(body, bytes) else body.encode()
        handler(
            method,
            path,
            payload,
            "user",
            lambda status, data=None, retry=None: answers.append((status, data, retry)),
        )
