"""Serves the stand-ins on loopback for one controller that is started manually.

    python3 tests/stand_ins/serve_loopback.py examples/settings.toml

The state service, the cloud and its machines' workers run in real time. The state service and the
cloud listen on the ports that the controller's settings file names. The stand-ins keep their state
in memory only, so when this process ends, end the controller too. Violations of the observer's
rules are printed.
"""

import argparse
import signal
import sys
from pathlib import Path

TESTS = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS.parent), str(TESTS)]

from emberglade.config import Settings, SettingsError, load_platform  # noqa: E402
from emberglade.jobs import wire as jobs_wire  # noqa: E402
from emberglade.jobs.job_spec import PRIORITIES, JobSpec  # noqa: E402
from emberglade.state import LIVE_PREFIX  # noqa: E402
from stand_ins.cloud import Cloud, MachineType  # noqa: E402
from stand_ins.observer import Observer, Team  # noqa: E402
from stand_ins.real_time_world import LOOPBACK, RealTimeWorld  # noqa: E402
from stand_ins.state_service import StateService  # noqa: E402
from stand_ins.state_wire import Write  # noqa: E402
from stand_ins.submissions import JobShape, Submission  # noqa: E402
from stand_ins.worker import WorkerSettings  # noqa: E402

SEED = 1
LIVE_JOBS = LIVE_PREFIX + jobs_wire.JOB_PREFIX
MACHINES_PER_POOL = 10  # a pool is a zone's spot or regular machines
BOOT_S = 3.0
CHECK_INTERVAL_S = 1.0  # interval of the checks for new violations


class RecordedStateService(StateService):
    """Registers each committed job with the observer, from which workers read what they run."""

    def __init__(self, world: RealTimeWorld, settings: Settings, observer: Observer) -> None:
        super().__init__(
            world,
            settings.state_rps,
            settings.state_write_rps,
            settings.value_bytes,
            settings.txn_ops,
        )
        self.observer = observer

    def apply(self, writes: list[Write]) -> None:
        """Registers new jobs, then applies the writes of one transaction."""
        for write in writes:
            job_id = write.key.removeprefix(LIVE_JOBS)
            is_job = job_id != write.key and write.data is not None
            if is_job and job_id not in self.observer.jobs:
                spec = jobs_wire.read_spec(job_id, write.data)
                self.observer.jobs[job_id] = as_submission(spec)
        super().apply(writes)


def as_submission(spec: JobSpec) -> Submission:
    """Reconstructs a job's submission; its tasks run as long as estimated."""
    return Submission(
        id=spec.id,
        job_class=spec.job_class,
        team=spec.team,
        shape=JobShape.SERVICE if spec.service else JobShape.ARRAY,
        priority=PRIORITIES[spec.priority],
        tasks=spec.tasks,
        cpus=spec.cpus,
        gpus=spec.gpus,
        ram_gb=spec.ram_gb,
        image=spec.image,
        image_gb=spec.image_gb,
        allowed_types=list(spec.allowed_types) if spec.allowed_types is not None else None,
        zone=spec.zone,
        single_zone=spec.single_zone,
        zone_spread=spec.zone_spread,
        spot=spec.spot,
        estimated_run_s=spec.estimated_run_s,
        checkpoint_interval_s=spec.checkpoint_interval_s,
        checkpoint_save_s=spec.checkpoint_save_s,
        deadline_s=spec.deadline_s,
        actual_run_s=spec.estimated_run_s,
    )


def make_world(settings: Settings) -> RealTimeWorld:
    """Creates the stand-ins for one controller; they listen, and act once the world runs."""
    world = RealTimeWorld(SEED)
    world.front_addresses = {settings.node: "{}:{}".format(*settings.front)}
    teams = {
        name: Team(team.guaranteed_cpus, team.cpu_quota) for name, team in settings.teams.items()
    }
    observer = Observer(world, settings.cancel_s, teams)
    RecordedStateService(world, settings, observer)
    Cloud(
        world,
        MachineType(boot_s=BOOT_S, zones=list(settings.zones)),
        {(zone, spot): MACHINES_PER_POOL for zone in settings.zones for spot in (False, True)},
        settings.list_lag_s / 2,  # the cloud's lag is one to two times this value
        WorkerSettings(settings.agent_heartbeat_s, settings.lease_s, [settings.node]),
        observer,
    )
    print_broken_rules(world, observer, 0)
    for name, (_, port) in (("state", settings.state), ("cloud", settings.cloud)):
        world.serve(name, settings.node, port)
    return world


def print_broken_rules(world: RealTimeWorld, observer: Observer, printed: int) -> None:
    """Prints the violations since the last check, and schedules the next check."""
    for at_s, rule, text in observer.violations[printed:]:
        print(f"broken after {at_s} s: {rule}: {text}", flush=True)
    world.at(CHECK_INTERVAL_S, print_broken_rules, world, observer, len(observer.violations))


def main() -> int:
    """Runs the command line; returns the exit code."""
    parser = argparse.ArgumentParser(
        description="Serves the stand-ins on loopback for one controller."
    )
    parser.add_argument("config", metavar="FILE", help="the controller's settings, TOML")
    try:
        settings = load_platform(parser.parse_args().config)
    except SettingsError as error:
        print(f"serve_loopback: {error}", file=sys.stderr)
        return 2
    if {settings.state[0], settings.cloud[0]} != {LOOPBACK}:
        print(f"serve_loopback: endpoints: expected both hosts to be {LOOPBACK}", file=sys.stderr)
        return 2
    world = make_world(settings)
    state_address = f"{LOOPBACK}:{settings.state[1]}"
    cloud_address = f"{LOOPBACK}:{settings.cloud[1]}"
    print(
        f"state service at {state_address}, cloud at {cloud_address}, workers for "
        f"{settings.node}; stop with Ctrl-C",
        flush=True,
    )
    # SIGTERM ends it like Ctrl-C, also where SIGINT is ignored.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        world.run(float("inf"))
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
