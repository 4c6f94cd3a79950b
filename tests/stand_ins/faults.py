"""Random troubles and random work, drawn from the scenario's seed."""


def draw(cluster, jobs, faults, until, mass=0, pipelines=0.0):
    """`mass` of the troubles take a share of all machines at once; `pipelines` of the jobs await
    one to three others.
    """
    world, rng = cluster.world, cluster.world.random
    earlier = []
    for number in range(jobs):
        service = rng.random() < 0.25
        real = rng.uniform(5, 40)
        fields = {
            "shape": "standing" if service else "sweep",
            "rank": rng.choice(["critical", "urgent", "normal", "idle"]),
            "embers": rng.randint(1, 5) if service else rng.randint(1, 30),
            "cpus": rng.choice([1.0, 2.0]),
            "ram_gb": rng.choice([1.0, 3.0]),
            "kindling": f"img-{rng.randint(0, 3)}",
            "image_gb": rng.uniform(0, 1),
            "driftwood": not service and rng.random() < 0.7,
            "scatter": service,
            "one_zone": not service and rng.random() < 0.2,
            "glade": rng.choice([None, None, None, *cluster.zones]) if not service else None,
            "crew": rng.choice(sorted(cluster.teams)),
            "burn_s": 0.0 if service else real * rng.uniform(0.5, 1.5),
            "bank_s": rng.choice([0.0, 5.0]),
            "banking_s": 2.0,
            "due_s": rng.choice([None, real * 3]),
            "real_s": real,
        }
        job_id = f"job-{rng.randint(0, 999999):06d}"
        at = rng.uniform(0, until * 0.7) if number else 0.0
        if pipelines and earlier and rng.random() < pipelines:
            fields["awaits"] = rng.sample(earlier, min(len(earlier), rng.randint(1, 3)))
        if pipelines and not service:
            earlier.append(job_id)
        world.at(at, lambda j=job_id, f=fields: cluster.submit(j, **f))
        if rng.random() < (0.1 if pipelines else 0.35):
            world.at(at + rng.uniform(0, 60), cluster.abort, job_id)
    world.repeat, world.loss = 0.01, 0.003
    world.copies = ("/agent/beat", 0.02, 1.0, 40.0, cluster.names)
    for _ in range(faults):
        world.at(rng.uniform(15, until * 0.75), strike, cluster)
    for _ in range(mass):
        world.at(rng.uniform(20, until * 0.75), strike_many, cluster)


# Troubles that the users' page lets meet.
MEETING = (
    "refuse",
    "outage",
    "late_writes",
    "slow_state",
    "crash",
    "crash_all",
    "roll",
    "lone",
    "zone",
    "cut",
    "deaf",
    "mute",
    "hang",
    "die",
    "cancel_now",
    "cancel_at_end",
    "odd",
    "peers_refuse",
    "freeze",
    "hold",
    "copies",
)


def draw_meetings(cluster, jobs, count, until, pipelines=0.0):
    """Random work, and so many meetings of two to four troubles within a few seconds; returns when
    all is quiet.
    """
    world, rng = cluster.world, cluster.world.random
    draw(cluster, jobs, 0, until * 0.8, pipelines=pipelines)
    end = 0.0
    for _ in range(count):
        at = rng.uniform(20, until * 0.7)
        for _ in range(rng.randint(2, 4)):
            kind, moment, seconds = (
                rng.choice(MEETING),
                at + rng.uniform(0, 6),
                rng.choice([rng.uniform(1, 15), rng.uniform(15, 60)]),
            )
            world.at(moment, meet, cluster, kind, seconds)
            end = max(end, moment + seconds)
    world.at(end + 12, cluster.all_is_quiet)
    return end + 12


def meet(cluster, kind, seconds):
    """One trouble of a meeting begins."""
    world, rng, state, cloud = cluster.world, cluster.world.random, cluster.state, cluster.cloud
    lead = state.keys.get("eg/l/lead")
    node = lead[0]["node"] if lead is not None and rng.random() < 0.6 else rng.choice(cluster.names)
    others = [n for n in cluster.names if n != node]
    machines = sorted(m.name for m in cloud.machines.values() if m.up and m.listed)
    some = rng.sample(machines, min(len(machines), rng.randint(1, 4)))
    mode = rng.choice(["hold", "lose"])
    if kind == "refuse":
        state.refused[node] = world.now + seconds
    elif kind == "outage":
        state.outage(seconds)
    elif kind == "late_writes":
        state.late = (rng.uniform(0.05, 0.5), world.now + seconds)
    elif kind == "slow_state":
        world.cut([node], ["state"], min(seconds, 3.0), "hold")
    elif kind == "crash":
        cluster.crash(node, rng.choice([0.05, 0.3, 3.0]))
    elif kind == "crash_all":
        for name in cluster.names:
            cluster.crash(name, rng.choice([0.05, 0.3, 3.0, seconds]))
    elif kind == "roll":
        for number in range(10):
            world.at(number * seconds / 10, cluster.crash_leader, rng.choice([0.05, 0.3, 1.0]))
    elif kind == "lone":
        world.cut([node], ["state", *others], seconds, mode)
    elif kind == "zone":
        cluster.cut_zone(rng.choice(cluster.zones), seconds, mode)
    elif kind == "cut" and some:
        world.cut(some, cluster.names, seconds, mode)
    elif kind == "deaf" and some:
        world.mute(cluster.names, some, seconds)
    elif kind == "mute" and some:
        world.close(rng.choice([some, machines]), cluster.names, seconds)
    elif kind == "hang":
        cloud.hang(rng.randint(1, 4), seconds)
    elif kind == "die":
        cloud.die(rng.randint(1, 3))
    elif kind == "cancel_now":
        cluster.cancel_now(rng.randint(1, 6), rng.choice([0, seconds]))
    elif kind == "cancel_at_end":
        cluster.cancels_at_end = (rng.uniform(0.3, 1.0), world.now + seconds)
    elif kind == "odd":
        cluster.odd_requests(seconds)
    elif kind == "peers_refuse":
        for name in cluster.names:
            world.cut([name], [n for n in cluster.names if n != name], seconds, "lose")
    elif kind == "freeze":
        cluster.freeze(node, min(seconds, 25))
    elif kind == "hold" and some:
        # A command or a report, or its answer, is held up for seconds and then goes on.
        world.cut(some, [node], min(seconds, 12), "hold")
    elif kind == "copies":
        world.copies = ("/agent/beat", rng.uniform(0.02, 0.3), 1.0, 60.0, cluster.names)


def strike_many(cluster):
    """A trouble that takes a share of all machines."""
    rng, cloud = cluster.world.random, cluster.cloud
    count = int(rng.uniform(0.1, 0.35) * len(cloud.machines))
    kind = rng.randrange(5)
    if kind == 0:
        cloud.die(count)
    elif kind == 1:
        cloud.hang(count, rng.uniform(5, 40))
    elif kind == 2:
        cluster.cut_zone(
            rng.choice(cluster.zones), rng.uniform(10, 45), rng.choice(["hold", "lose"])
        )
    elif kind == 3:
        cloud.take_back(1.0, 0.0)
        cloud.down_until = cluster.world.now + rng.uniform(10, 60)
    else:
        node = rng.choice(cluster.names)
        cluster.freeze(node, rng.uniform(5, 40))


def strike(cluster):
    """One trouble at random."""
    world, rng, state, cloud = cluster.world, cluster.world.random, cluster.state, cluster.cloud
    node = rng.choice(cluster.names)
    machines = [m.name for m in cloud.machines.values() if m.up]
    seconds, mode = rng.uniform(5, 60), rng.choice(["hold", "lose"])
    everyone = [*cluster.names, "state", "cloud", "user", *cloud.machines]
    kind = rng.randrange(13)
    if kind == 0:
        cluster.crash(node, rng.choice([0.05, 0.3, 3.0]))
    elif kind == 1:
        for name in cluster.names:
            cluster.crash(name, rng.uniform(0.3, 4))
    elif kind == 2:
        world.cut([node], [n for n in everyone if n != node], seconds, mode)
    elif kind == 3:
        world.cut([node], ["state"], seconds, mode)
    elif kind == 4:
        world.cut([node], machines, seconds, mode)
    elif kind == 5:
        state.refused[node] = world.now + seconds
    elif kind == 6:
        state.outage(min(seconds, 25))
    elif kind == 7 and machines:
        world.cut(rng.sample(machines, min(2, len(machines))), cluster.names, seconds, mode)
    elif kind == 8:
        cloud.take_back(rng.random(), rng.choice([0.0, 5.0]))
    elif kind == 9:
        cloud.down_until = world.now + seconds
    elif kind == 10 and machines:
        # Reports arrive; answers and commands don't.
        world.mute(cluster.names, rng.sample(machines, min(2, len(machines))), seconds)
    elif kind == 11:
        world.cut([node], ["state", *(n for n in cluster.names if n != node)], seconds, mode)
    elif kind == 12:
        for _ in range(3):
            world.at(
                rng.uniform(0, 5),
                cluster.crash,
                rng.choice(cluster.names),
                rng.choice([0.05, 0.2, 0.5]),
            )
