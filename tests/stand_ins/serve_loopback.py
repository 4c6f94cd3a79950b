"""Serves the stand-ins on loopback for one controller that is started by hand.

    python3 tests/stand_ins/serve_loopback.py examples/settings.toml

State service, cloud and the workers on its machines, in real time, on the ports that the
controller's settings file names. Nothing outlives the process: end the controller with it. Whatever
the checker of PROTOCOL's rules sees broken is printed.
"""

import argparse
import sys
from pathlib import Path

TESTS = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(TESTS.parent), str(TESTS)]

from emberglade.config import Settings, SettingsError, load_platform  # noqa: E402
from emberglade.jobs import wire as jobs_wire  # noqa: E402
from emberglade.jobs.job_spec import PRIORITIES, JobSpec  # noqa: E402
from emberglade.state import LIVE_PREFIX  # noqa: E402
from stand_ins.cloud import Cloud  # noqa: E402
from stand_ins.loopback import HOST, RealTimeWorld  # noqa: E402
from stand_ins.observer import Observer  # noqa: E402
from stand_ins.state import StateService  # noqa: E402

SEED = 1
LIVE_JOBS = LIVE_PREFIX + jobs_wire.JOB_PREFIX
MACHINES_PER_POOL = 10  # of each zone, spot or not
LOOK_S = 1.0  # between two looks for broken rules
MACHINE_TYPE = {
    "label": "box",
    "cpus": 8.0,
    "ram_gb": 32.0,
    "local_gb": 30.0,
    "fetch_gb_per_s": 0.2,
    "price": 0.6,
    "spot_price": 0.2,
    "boot_s": 3.0,
}


class RecordedStateService(StateService):
    """Notes each job that is committed: the workers' stand-ins have to know what they run."""

    def __init__(self, world, settings: Settings, observer: Observer):
        super().__init__(
            world,
            rps=settings.state_rps,
            write_rps=settings.state_write_rps,
            value_bytes=settings.value_bytes,
            txn_ops=settings.txn_ops,
        )
        self.observer = observer

    def change(self, writes):
        """Applies the writes of one transaction, `(key, value or None, lease)`."""
        for key, data, _ in writes:
            job_id = key.removeprefix(LIVE_JOBS)
            if job_id != key and data is not None and job_id not in self.observer.jobs:
                spec = jobs_wire.read_spec(job_id, data)
                self.observer.jobs[job_id] = as_submission(spec)
        super().change(writes)


def as_submission(spec: JobSpec) -> dict:
    """What a job's user submitted, in PROTOCOL's words; its tasks run as long as was estimated."""
    return {
        "id": spec.id,
        "breed": spec.job_class,
        "crew": spec.team,
        "shape": "standing" if spec.service else "sweep",
        "rank": PRIORITIES[spec.priority],
        "embers": spec.tasks,
        "cpus": spec.cpus,
        "cards": spec.gpus,
        "ram_gb": spec.ram_gb,
        "kindling": spec.image,
        "image_gb": spec.image_gb,
        "hearth_kinds": spec.allowed_types,
        "glade": spec.zone,
        "one_zone": spec.single_zone,
        "scatter": spec.zone_spread,
        "driftwood": spec.spot,
        "burn_s": spec.estimated_run_s,
        "bank_s": spec.checkpoint_interval_s,
        "banking_s": spec.checkpoint_save_s,
        "due_s": spec.deadline_s,
        "real_s": spec.estimated_run_s,
    }


def make_world(settings: Settings) -> RealTimeWorld:
    """The stand-ins for one controller, listening; they act once the world runs."""
    world = RealTimeWorld(SEED)
    world.fronts = {settings.node: "{}:{}".format(*settings.front)}
    teams = {name: {"cpus_max": team.cpu_quota} for name, team in settings.teams.items()}
    observer = Observer(world, settings.cancel_s, teams)
    RecordedStateService(world, settings, observer)
    plan = {
        "type": {**MACHINE_TYPE, "glades": list(settings.zones)},
        "capacity": {
            (zone, spot): MACHINES_PER_POOL for zone in settings.zones for spot in (False, True)
        },
        "lag_s": settings.list_lag_s / 2,  # up to twice as long
    }
    workers = {"report_s": settings.agent_heartbeat_s, "lease_s": settings.lease_s}
    Cloud(world, plan, workers, observer, [settings.node])
    print_broken_rules(world, observer, 0)
    for name, (_, port) in (("state", settings.state), ("cloud", settings.cloud)):
        world.serve(name, settings.node, port)
    return world


def print_broken_rules(world: RealTimeWorld, observer: Observer, printed: int) -> None:
    """Prints what was broken since the last look, and looks again in a moment."""
    for at_s, rule, text in observer.broken[printed:]:
        print(f"broken after {at_s} s: {rule}: {text}", flush=True)
    world.at(LOOK_S, print_broken_rules, world, observer, len(observer.broken))


def main() -> int:
    """Runs the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description="The stand-ins on loopback, for one controller.")
    parser.add_argument("config", metavar="FILE", help="the controller's settings, TOML")
    try:
        settings = load_platform(parser.parse_args().config)
    except SettingsError as error:
        print(f"serve_loopback: {error}", file=sys.stderr)
        return 2
    if {settings.state[0], settings.cloud[0]} != {HOST}:
        print(f"serve_loopback: the endpoints have to be on {HOST}", file=sys.stderr)
        return 2
    world = make_world(settings)
    print(
        f"state service at {HOST}:{settings.state[1]}, cloud at {HOST}:{settings.cloud[1]}, "
        f"workers for {settings.node}; Ctrl-C ends them",
        flush=True,
    )
    try:
        world.run(float("inf"))
    except KeyboardInterrupt:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
