"""Measures failover times and false failovers with failure detection off and on.

    python tests/benchmarks/failover.py [--faults 2000] [--workers 4] [--real 3] [--output FILE]

Simulated controllers are hit by random faults, one every half minute, with the same seeds for both
variants; with `--real`, real processes on loopback are killed, one after the other. With detection
off, failover depends on leased keys alone, as in the previous version. Not part of CI.
"""

import argparse
import json
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple

sys.path[:0] = [str(Path(__file__).parents[2]), str(Path(__file__).parents[1])]

from hdrh.histogram import HdrHistogram  # noqa: E402
from stand_ins import state_wire  # noqa: E402
from stand_ins.cluster import Cluster  # noqa: E402
from stand_ins.deployment import Deployment  # noqa: E402
from stand_ins.loopback import LoopbackCluster  # noqa: E402
from stand_ins.ownership import Ownership  # noqa: E402
from stand_ins.simulated_process import SimulatedProcess  # noqa: E402
from stand_ins.world import PartitionMode  # noqa: E402

from emberglade.config import Operators  # noqa: E402
from emberglade.failure_detection import PeerMonitor  # noqa: E402
from emberglade.failure_detection.detector import PeerDetector  # noqa: E402
from emberglade.failure_detection.messages import PeerState  # noqa: E402

FAULT_INTERVAL_S = 30.0
FAULTS_PER_HISTORY = 40
FIRST_FAULT_S = 20.0
REAL_FIRST_KILL_S = 10.0
REAL_DOWN_S = 10.0
MAX_FAILOVER_MS = 60_000
HISTOGRAM_DIGITS = 3
FAILOVER_WINDOW_S = 8  # losses up to this long after a fault are attributed to it
CLUSTER_SIZES = (3, 5)
STARVED_PAUSE_S = 0.7
PERCENTILES = (("median", 50), ("p90", 90), ("p99", 99), ("maximum", 100))
ENABLE_ARGUMENTS = ("--enable", "failure-detection")
PEER_PATH_PREFIX = "/peer/"


class FaultKind(StrEnum):
    """Kinds of faults that hit a controller."""

    KILLED = "killed"
    POWER_LOST = "power lost"
    PAUSED = "paused"
    RENEWALS_LATE = "renewals late"
    PARTITIONED_FROM_PEERS = "peers cut"
    ONE_WAY_LINK = "heard on one side"
    CPU_STARVED = "starved"


# Minimum and maximum duration of each kind of fault.
DURATIONS_S = {
    FaultKind.KILLED: (12.0, 14.0),
    FaultKind.POWER_LOST: (12.0, 14.0),
    FaultKind.PAUSED: (0.5, 6.0),
    FaultKind.RENEWALS_LATE: (0.0, 0.0),
    FaultKind.PARTITIONED_FROM_PEERS: (2.0, 12.0),
    FaultKind.ONE_WAY_LINK: (2.0, 12.0),
    FaultKind.CPU_STARVED: (10.0, 12.0),
}
# Faults that end the process, so that other controllers have to take over its roles.
CRASHES = (FaultKind.KILLED, FaultKind.POWER_LOST)


class Fault(NamedTuple):
    """One fault of a history."""

    at: float
    kind: FaultKind
    controller: str
    duration_s: float


class Variant(NamedTuple):
    """A configuration to compare: cluster size, and whether failure detection is enabled."""

    controllers: int
    detection_enabled: bool

    def __str__(self) -> str:
        return f"{self.controllers} controllers, {'on' if self.detection_enabled else 'off'}"


class Task(NamedTuple):
    """A history to simulate: its seed, variant and number of faults."""

    seed: int
    variant: Variant
    faults: int


@dataclass
class History:
    """The results of one history.

    Attributes:
        failover_s: Failover times of crashed controllers, by kind of fault.
        false_failovers: Faults that cost a live controller a role, counted by kind.
        effective_faults: Faults that hit a controller owning a role, counted by kind.
        violations: Violations, counted by rule.
        processor_s: Processor time of the peer monitors.
        controller_s: Simulated time, summed over all controllers.
    """

    variant: Variant
    failover_s: dict[str, list[float]]
    false_failovers: Counter[str]
    effective_faults: Counter[str]
    violations: Counter[str]
    false_suspicions: int
    messages: int
    processor_s: float
    controller_s: float


def draw_faults(cluster: Cluster, count: int) -> list[Fault]:
    """Draws the faults of a history from the cluster's seeded generator."""
    rng = cluster.world.random
    faults = []
    for number in range(count):
        moment = FIRST_FAULT_S + number * FAULT_INTERVAL_S + rng.uniform(0, 3)
        kind = rng.choice(sorted(DURATIONS_S))
        faults.append(
            Fault(moment, kind, rng.choice(cluster.names), rng.uniform(*DURATIONS_S[kind]))
        )
    return faults


def inject(cluster: Cluster, fault: Fault) -> None:
    """Injects a fault."""
    world, controller, duration_s = cluster.world, fault.controller, fault.duration_s
    others = cluster.others(controller)
    match fault.kind:
        case FaultKind.KILLED | FaultKind.POWER_LOST:
            cluster.crash(controller, duration_s, power=fault.kind is FaultKind.KILLED)
        case FaultKind.PAUSED:
            cluster.pause(controller, duration_s)
        case FaultKind.RENEWALS_LATE:
            cluster.state.expire_lease_of(state_wire.MEMBER_PREFIX + controller)
        case FaultKind.PARTITIONED_FROM_PEERS:
            world.partition([controller], others, duration_s, PartitionMode.DELAY)
        case FaultKind.ONE_WAY_LINK:
            world.drop_messages(others, [controller], duration_s)
        case FaultKind.CPU_STARVED:
            for number in range(int(duration_s)):
                world.at(number, cluster.pause, controller, STARVED_PAUSE_S)


class Meter:
    """Counts false suspicions, peer messages and processor time during one history.

    It wraps methods of the service and the simulated network until `remove` is called.
    """

    def __init__(self, cluster: Cluster, ownership: Ownership) -> None:
        self.cluster = cluster
        self.ownership = ownership
        self.false_suspicions = 0
        self.messages = 0
        self.processor_s = 0.0
        self.patches = [
            (PeerDetector, "_set_state", self.wrap_set_state(PeerDetector._set_state)),
            (SimulatedProcess, "deliver", self.wrap_deliver(SimulatedProcess.deliver)),
            (cluster.world, "request", self.wrap_request(cluster.world.request)),
        ]
        self.originals = [(owner, name, getattr(owner, name)) for owner, name, _ in self.patches]
        for owner, name, wrapped in self.patches:
            setattr(owner, name, wrapped)

    def remove(self) -> None:
        """Restores the wrapped methods."""
        for owner, name, original in self.originals:
            setattr(owner, name, original)

    def wrap_set_state(self, set_state: Callable[..., None]) -> Callable[..., None]:
        """Counts suspicions of controllers that are able to work."""

        def counted(detector: PeerDetector, peer: Any, state: PeerState, reason: str) -> None:
            is_operational = peer.name in self.cluster.processes and self.ownership.is_operational(
                peer.name
            )
            if state is PeerState.SUSPECTED and is_operational:
                self.false_suspicions += 1
            set_state(detector, peer, state, reason)

        return counted

    def wrap_request(self, request: Callable[..., None]) -> Callable[..., None]:
        """Counts the messages between controllers."""

        def counted(source: str, target: str, method: str, path: str, *rest: Any) -> None:
            self.messages += path.startswith(PEER_PATH_PREFIX)
            request(source, target, method, path, *rest)

        return counted

    def wrap_deliver(self, deliver: Callable[..., None]) -> Callable[..., None]:
        """Measures the processor time of the peer monitors."""

        def timed(process: SimulatedProcess, handler: Any, args: tuple) -> None:
            started_s = time.process_time()
            deliver(process, handler, args)
            owner = handler.__self__
            if isinstance(getattr(owner, "actor", owner), PeerMonitor):
                self.processor_s += time.process_time() - started_s

        return timed


def play_history(task: Task) -> History:
    """Simulates one history."""
    variant = task.variant
    cluster = Cluster(
        task.seed,
        Deployment(controllers=variant.controllers),
        operators=Operators(failure_detection=variant.detection_enabled),
    )
    ownership = Ownership(cluster)
    ownership.watch()
    meter = Meter(cluster, ownership)
    cluster.cloud.add("a", False, 0.0)
    faults = draw_faults(cluster, task.faults)
    for fault in faults:
        cluster.world.at(fault.at, inject, cluster, fault)
    until = FIRST_FAULT_S + task.faults * FAULT_INTERVAL_S
    cluster.world.run(until)
    meter.remove()
    history = begin_history(variant, cluster, meter, until)
    for fault in faults:
        note_outcome(history, ownership, fault)
    return history


def begin_history(variant: Variant, cluster: Cluster, meter: Meter, until: float) -> History:
    """Creates the results of a history, without those of its individual faults."""
    return History(
        variant,
        failover_s={kind: [] for kind in CRASHES},
        false_failovers=Counter(),
        effective_faults=Counter(),
        violations=Counter(violation.rule for violation in cluster.observer.violations),
        false_suspicions=meter.false_suspicions,
        messages=meter.messages,
        processor_s=meter.processor_s,
        controller_s=until * variant.controllers,
    )


def note_outcome(history: History, ownership: Ownership, fault: Fault) -> None:
    """Adds the outcome of one fault to a history's results."""
    if not ownership.owned_at(fault.controller, fault.at):
        return
    history.effective_faults[fault.kind] += 1
    if fault.kind in CRASHES:
        took_s = ownership.failover_s(fault.controller, fault.at)
        history.failover_s[fault.kind].append(took_s)
    else:
        end = fault.at + fault.duration_s + FAILOVER_WINDOW_S
        losses = ownership.losses(fault.controller, fault.at)
        history.false_failovers[fault.kind] += any(fault.at <= loss.at <= end for loss in losses)


def summarize_times(seconds: Iterable[float]) -> dict[str, float]:
    """Percentiles of failover times; failovers that never completed are counted separately."""
    histogram = HdrHistogram(1, MAX_FAILOVER_MS, HISTOGRAM_DIGITS)
    count = never = 0
    for value in seconds:
        count += 1
        if value < MAX_FAILOVER_MS / 1000:
            histogram.record_value(max(1, int(value * 1000)))
        else:
            never += 1
    row = {name: histogram.get_value_at_percentile(share) / 1000 for name, share in PERCENTILES}
    return {"count": count, **row, "never": never}


def merge(histories: list[History]) -> dict[str, Any]:
    """Aggregates the histories of one variant into a table."""
    false_failovers = sum_counters(history.false_failovers for history in histories)
    effective = sum_counters(history.effective_faults for history in histories)
    seconds = sum(history.controller_s for history in histories)
    hours = seconds / 3600
    return {
        "failover_s": {
            kind: summarize_times(
                value for history in histories for value in history.failover_s[kind]
            )
            for kind in CRASHES
        },
        "taken_from_the_living": {
            kind: f"{false_failovers[kind]} of {effective[kind]}"
            for kind in effective
            if kind not in CRASHES
        },
        "violations": dict(sum_counters(history.violations for history in histories)),
        "false_suspicions_a_controller_hour": sum(history.false_suspicions for history in histories)
        / hours,
        "taken_a_controller_hour": sum(false_failovers.values()) / hours,
        "messages_a_controller_second": sum(history.messages for history in histories) / seconds,
        "processor_ms_a_controller_second": 1000
        * sum(history.processor_s for history in histories)
        / seconds,
    }


def sum_counters(counters: Iterable[Counter[str]]) -> Counter[str]:
    """Adds up counters."""
    total: Counter[str] = Counter()
    for counter in counters:
        total.update(counter)
    return total


def measure_simulated(faults: int, workers: int) -> dict[str, Any]:
    """Simulates all variants and returns {"3 controllers, off": table, ...}."""
    histories = max(1, faults // FAULTS_PER_HISTORY // len(CLUSTER_SIZES))
    variants = [Variant(size, enabled) for size in CLUSTER_SIZES for enabled in (False, True)]
    tasks = [
        Task(seed, variant, FAULTS_PER_HISTORY)
        for seed in range(1, histories + 1)
        for variant in variants
    ]
    with ProcessPoolExecutor(workers) as pool:
        done = list(pool.map(play_history, tasks))
    return {
        str(variant): merge([history for history in done if history.variant == variant])
        for variant in variants
    }


def measure_real(kills: int, detection_enabled: bool) -> dict[str, float]:
    """Measures failover times of real processes that are killed one after the other."""
    with tempfile.TemporaryDirectory() as directory:
        cluster = LoopbackCluster(Path(directory), 1, ENABLE_ARGUMENTS if detection_enabled else ())
        try:
            ownership = Ownership(cluster)
            moments = [REAL_FIRST_KILL_S + number * FAULT_INTERVAL_S for number in range(kills)]
            victims = [cluster.names[number % len(cluster.names)] for number in range(kills)]
            for moment, victim in zip(moments, victims, strict=True):
                cluster.world.at(moment, cluster.crash, victim, REAL_DOWN_S)
            cluster.world.run(moments[-1] + FAULT_INTERVAL_S / 2)
            return summarize_times(
                ownership.failover_s(victim, moment)
                for victim, moment in zip(victims, moments, strict=True)
            )
        finally:
            cluster.stop()


def main() -> None:
    """Runs the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--faults", type=int, default=2000, help="per variant")
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--real", type=int, default=0, metavar="KILLS")
    parser.add_argument("--output", help="also write the figures to this file, as JSON")
    options = parser.parse_args()
    figures: dict[str, Any] = {"simulated": measure_simulated(options.faults, options.workers)}
    if options.real:
        figures["real processes, killed"] = {
            "off": measure_real(options.real, False),
            "on": measure_real(options.real, True),
        }
    text = json.dumps(figures, indent=1)
    print(text)
    if options.output:
        Path(options.output).write_text(text + "\n")


if __name__ == "__main__":
    main()
