"""Takeover times and false alarms, failure detection off and on, on the same seeds.

    python tests/benchmarks/takeover.py [--faults 2000] [--workers 4] [--real 3] [--report FILE]

Simulated controllers meet drawn faults, one every half minute; with `--real`, real processes on
loopback are killed, one after the other. Off is how the version before decided: by leased keys
alone. Not part of CI.
"""

import argparse
import json
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

sys.path[:0] = [str(Path(__file__).parents[2]), str(Path(__file__).parents[1])]

from hdrh.histogram import HdrHistogram  # noqa: E402
from stand_ins.cluster import Cluster  # noqa: E402
from stand_ins.loopback import LoopbackCluster  # noqa: E402
from stand_ins.ownership import Ownership  # noqa: E402
from stand_ins.world import SimSystem  # noqa: E402

from emberglade.config import Operators  # noqa: E402
from emberglade.failure_detection import PeerMonitor  # noqa: E402
from emberglade.failure_detection.detector import PeerDetector  # noqa: E402
from emberglade.failure_detection.messages import PeerState  # noqa: E402

EVERY_S = 30.0
FAULTS_A_HISTORY = 40
FIRST_S = 20.0
LONGEST_MS = 60_000
ENDED = ("killed", "power lost")
PERCENTILES = (("median", 50), ("p90", 90), ("p99", 99), ("maximum", 100))


class Fault(NamedTuple):
    """One fault of a history, and how long it lasts."""

    at: float
    kind: str
    node: str
    seconds: float


def draw_faults(cluster, count):
    """A history's faults, by the cluster's seed."""
    rng = cluster.world.random
    lengths = {
        "killed": (12.0, 14.0),
        "power lost": (12.0, 14.0),
        "paused": (0.5, 6.0),
        "renewals late": (0.0, 0.0),
        "peers cut": (2.0, 12.0),
        "heard on one side": (2.0, 12.0),
        "starved": (10.0, 12.0),
    }
    kinds = sorted(lengths)
    return [
        Fault(
            FIRST_S + number * EVERY_S + rng.uniform(0, 3),
            kind := rng.choice(kinds),
            rng.choice(cluster.names),
            rng.uniform(*lengths[kind]),
        )
        for number in range(count)
    ]


def inject(cluster, fault):
    """Brings a fault about."""
    world, node = cluster.world, fault.node
    others = [name for name in cluster.names if name != node]
    if fault.kind in ENDED:
        cluster.crash(node, fault.seconds, power=fault.kind == "killed")
    elif fault.kind == "paused":
        cluster.freeze(node, fault.seconds)
    elif fault.kind == "renewals late":
        cluster.state.end_lease_of("eg/l/n/" + node)
    elif fault.kind == "peers cut":
        world.cut([node], others, fault.seconds, "hold")
    elif fault.kind == "heard on one side":
        world.mute(others, [node], fault.seconds)
    else:
        for number in range(int(fault.seconds)):
            world.at(number, cluster.freeze, node, 0.7)


class Meter:
    """Counts what the detection of one history's controllers says and costs."""

    def __init__(self, cluster, ownership):
        self.false_suspicions, self.messages, self.processor_s = 0, 0, 0.0
        move, request = PeerDetector._move, cluster.world.request

        def counted_move(detector, peer, state, reason):
            known_bad = peer.name not in ownership.cluster.processes or not ownership.able(
                peer.name
            )
            if state is PeerState.SUSPECTED and not known_bad:
                self.false_suspicions += 1
            move(detector, peer, state, reason)

        def counted_request(source, target, method, path, *rest):
            self.messages += path.startswith("/peer/")
            request(source, target, method, path, *rest)

        deliver = SimSystem.deliver

        def timed_deliver(system, handler, args):
            begun = time.process_time()
            deliver(system, handler, args)
            owner = handler.__self__
            if isinstance(getattr(owner, "actor", owner), PeerMonitor):
                self.processor_s += time.process_time() - begun

        self.patches = ((PeerDetector, "_move", move), (SimSystem, "deliver", deliver))
        PeerDetector._move, SimSystem.deliver = counted_move, timed_deliver
        cluster.world.request = counted_request

    def remove(self):
        """Puts back what was wrapped."""
        for owner, name, original in self.patches:
            setattr(owner, name, original)


def play_history(task):
    """One history: (switch, controllers) and what came of it, as plain numbers."""
    seed, nodes, switch, count = task
    cluster = Cluster(seed, operators=Operators(failure_detection=switch), nodes=nodes)
    ownership = Ownership(cluster)
    ownership.watch()
    meter = Meter(cluster, ownership)
    cluster.cloud.add("a", False, 0.0)
    faults = draw_faults(cluster, count)
    for fault in faults:
        cluster.world.at(fault.at, inject, cluster, fault)
    until = FIRST_S + count * EVERY_S
    cluster.world.run(until)
    meter.remove()
    times, taken, played = {kind: [] for kind in ENDED}, Counter(), Counter()
    for fault in faults:
        if not ownership.held_at(fault.node, fault.at):
            continue
        played[fault.kind] += 1
        if fault.kind in ENDED:
            times[fault.kind].append(ownership.taken_over(fault.node, fault.at))
        else:
            end = fault.at + fault.seconds + 8
            taken[fault.kind] += any(
                fault.at <= row.at <= end for row in ownership.losses(fault.node, fault.at)
            )
    broken = Counter(rule for _, rule, _ in cluster.observer.broken)
    return {
        "task": (nodes, switch),
        "times": times,
        "taken": taken,
        "played": played,
        "broken": broken,
        "false_suspicions": meter.false_suspicions,
        "messages": meter.messages,
        "processor_s": meter.processor_s,
        "controller_s": until * nodes,
    }


def summarize_times(seconds):
    """Percentiles of takeover times; those that never came are counted apart."""
    histogram, never = HdrHistogram(1, LONGEST_MS, 3), 0
    for value in seconds:
        if value < LONGEST_MS / 1000:
            histogram.record_value(max(1, int(value * 1000)))
        else:
            never += 1
    row = {name: histogram.get_value_at_percentile(share) / 1000 for name, share in PERCENTILES}
    return {"count": len(seconds), **row, "never": never}


def merge(histories):
    """All histories of one kind of cluster as one table."""
    played, taken, broken = Counter(), Counter(), Counter()
    for history in histories:
        played.update(history["played"])
        taken.update(history["taken"])
        broken.update(history["broken"])
    hours = sum(history["controller_s"] for history in histories) / 3600
    seconds = 3600 * hours
    return {
        "takeover_s": {
            kind: summarize_times([value for h in histories for value in h["times"][kind]])
            for kind in ENDED
        },
        "taken_from_the_living": {
            kind: f"{taken[kind]} of {played[kind]}" for kind in played if kind not in ENDED
        },
        "broken_rules": dict(broken),
        "false_suspicions_a_controller_hour": sum(h["false_suspicions"] for h in histories) / hours,
        "taken_a_controller_hour": sum(taken.values()) / hours,
        "messages_a_controller_second": sum(h["messages"] for h in histories) / seconds,
        "processor_ms_a_controller_second": 1000
        * sum(h["processor_s"] for h in histories)
        / seconds,
    }


def measure_simulated(faults, workers):
    """{"3 controllers, off": table, ...}."""
    histories = max(1, faults // FAULTS_A_HISTORY // 2)
    tasks = [
        (seed, nodes, switch, FAULTS_A_HISTORY)
        for seed in range(1, histories + 1)
        for nodes in (3, 5)
        for switch in (False, True)
    ]
    with ProcessPoolExecutor(workers) as pool:
        done = list(pool.map(play_history, tasks))
    return {
        f"{nodes} controllers, {'on' if switch else 'off'}": merge(
            [history for history in done if history["task"] == (nodes, switch)]
        )
        for nodes in (3, 5)
        for switch in (False, True)
    }


def measure_real(kills, switch):
    """Takeover times of real processes that are killed one after the other."""
    arguments = ("--enable", "failure-detection") if switch else ()
    with tempfile.TemporaryDirectory() as directory:
        cluster = LoopbackCluster(Path(directory), 1, arguments)
        try:
            ownership = Ownership(cluster)
            at = [10.0 + number * EVERY_S for number in range(kills)]
            victims = [cluster.names[number % len(cluster.names)] for number in range(kills)]
            for moment, victim in zip(at, victims, strict=True):
                cluster.world.at(moment, cluster.crash, victim, 10.0)
            cluster.world.run(at[-1] + EVERY_S / 2)
            return summarize_times(
                [ownership.taken_over(v, t) for v, t in zip(victims, at, strict=True)]
            )
        finally:
            cluster.stop()


def main():
    """Runs the command."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--faults", type=int, default=2000, help="of each version")
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--real", type=int, default=0, metavar="KILLS")
    parser.add_argument("--report", help="also write the figures to this file, as JSON")
    options = parser.parse_args()
    report = {"simulated": measure_simulated(options.faults, options.workers)}
    if options.real:
        report["real processes, killed"] = {
            "off": measure_real(options.real, False),
            "on": measure_real(options.real, True),
        }
    text = json.dumps(report, indent=1)
    print(text)
    if options.report:
        Path(options.report).write_text(text + "\n")


if __name__ == "__main__":
    main()
