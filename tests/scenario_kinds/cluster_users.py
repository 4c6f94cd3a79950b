"""User actions and added machines in whole-cluster scenarios."""

from typing import Any

import orjson
from stand_ins import wire
from stand_ins.cloud import MachineType
from stand_ins.submissions import Submission

from .arguments import parse_arguments
from .scenario_run import ScenarioRun

JOBS_PER_SECOND = 10
POLL_INTERVAL_S = 0.004
# Prefixes of raw request bodies that are expanded by `raw_body`.
BYTES_PREFIX = "bytes:"
JOB_PREFIX = "job:"
INDEFINITELY_S = 1e9
OWNER_PREFIX = "owner:"  # role of an alias


def make_job(job_id: str, arguments: tuple[str, ...]) -> Submission:
    """Builds a job from fields of Submission.

    `run_s` stands for `estimated_run_s`. `unknown_types` is how many machine types that the cloud
    does not have the job allows besides the one that it has: they make its description long.
    """
    fields: dict[str, Any] = parse_arguments(arguments)[1]
    if "unknown_types" in fields:
        unknown = [f"unknown-{number:04}" for number in range(fields.pop("unknown_types"))]
        fields["allowed_types"] = [MachineType().label, *unknown]
    if "run_s" in fields:
        fields["estimated_run_s"] = fields.pop("run_s")
    if "needs" in fields:
        fields["needs"] = fields["needs"].split(",")
    return Submission(id=job_id, **fields)


def raw_body(text: str) -> str:
    """Expands the body of a raw request.

    `bytes:N` becomes N bytes. `job:{...}` becomes a complete submission with these fields of
    PROTOCOL replaced; null removes a field that is not nullable. Other text is used as it is.
    """
    if text.startswith(BYTES_PREFIX):
        return "x" * int(text[len(BYTES_PREFIX) :])
    if not text.startswith(JOB_PREFIX):
        return text
    fields = {**wire.write_submission(Submission()), **orjson.loads(text[len(JOB_PREFIX) :])}
    kept = {
        name: value
        for name, value in fields.items()
        if value is not None or name not in wire.NOT_NULL
    }
    return orjson.dumps(kept).decode()


class UserVerbs:
    """Verbs for user requests and for adding machines.

    Controllers are given by name or alias.
    """

    def __init__(self, run: ScenarioRun) -> None:
        self.run = run
        self.cluster = run.cluster
        self.users = run.cluster.users
        self.world = run.cluster.world

    def do_alias(self, alias: str, role: str) -> None:
        """Defines an alias for the current leader (`leader`) or the n-th controller after it.

        The latter is written `leader+n`; `owner:JOB` is the owner of a live job.
        """
        if role.startswith(OWNER_PREFIX):
            self.run.aliases[alias] = self.cluster.owner_of(role[len(OWNER_PREFIX) :])
            return
        names = self.cluster.names
        _, _, steps = role.partition("+")
        leader = self.cluster.leader()
        assert leader is not None
        self.run.aliases[alias] = names[(names.index(leader) + int(steps or 0)) % len(names)]

    def do_add_machines(self, zone: str, count: str) -> None:
        """Adds machines that no controller has rented."""
        for _ in range(int(count)):
            self.cluster.cloud.add(zone, False, 0.0)

    def do_send_heartbeats_to(self, name: str) -> None:
        """Makes all agents send heartbeats to this controller only.

        Commands of the other controllers still reach them.
        """
        controller, cluster = self.run.resolve(name), self.cluster
        for machine in cluster.cloud.machines.values():
            machine.controller = cluster.names.index(controller)
        self.world.block_connections(
            cluster.cloud.machines, cluster.others(controller), INDEFINITELY_S
        )

    # --- jobs

    def do_submit(self, job_id: str, *arguments: str) -> None:
        """Submits a job."""
        self.users.submit(make_job(job_id, arguments))

    def do_submit_many(self, prefix: str, count: str, *arguments: str) -> None:
        """Submits `count` jobs with the same fields, JOBS_PER_SECOND each second."""
        for number in range(int(count)):
            self.world.at(
                number / JOBS_PER_SECOND, self.do_submit, f"job-{prefix}{number}", *arguments
            )

    def do_submit_chain(self, prefix: str, count: str, *arguments: str) -> None:
        """Submits `count` jobs, each of which depends on the previous one."""
        for number in range(int(count)):
            job = make_job(f"job-{prefix}{number}", arguments)
            if number:
                job.needs = [f"job-{prefix}{number - 1}"]
            self.users.submit(job)

    def do_submit_fan_in(self, prefix: str, count: str, *arguments: str) -> None:
        """Submits `count` jobs and one that depends on all of them."""
        self.do_submit_many(prefix, count, *arguments)
        needs = [f"job-{prefix}{number}" for number in range(int(count))]
        self.users.submit(Submission(id=f"job-{prefix}end", needs=needs))

    def do_submit_again(self, job_id: str) -> None:
        """Repeats a submission."""
        self.users.submit_again(job_id)

    def do_cancel(self, job_id: str, name: str | None = None) -> None:
        """Cancels a job, at a random controller if none is named."""
        controller = None if name is None else self.run.resolve(name)
        self.users.cancel(job_id, controller=controller)

    def do_cancel_on_completion(self, share: str, seconds: str) -> None:
        """For this time, cancels this share of the job arrays at the moment they finish."""
        self.users.cancel_on_completion(float(share), float(seconds))

    def do_poll(self, job_id: str) -> None:
        """Polls a job's state repeatedly."""
        self.users.poll(job_id)

    def do_poll_often(self, job_id: str, count: str) -> None:
        """Polls a job's state `count` times, every POLL_INTERVAL_S, at random controllers."""
        for number in range(int(count)):
            self.world.at(number * POLL_INTERVAL_S, self.users.poll_once, job_id)

    def do_invalid_requests(self, seconds: str) -> None:
        """For this time, sends requests that must be refused."""
        self.cluster.invalid_requests.begin(float(seconds))

    # --- raw requests

    def do_request(self, name: str, method: str, path: str, *body: str) -> None:
        """Sends one request to a controller and keeps its answer."""
        self.send(name, method, path, raw_body(" ".join(body)))

    def do_flood(self, name: str, count: str, job_id: str) -> None:
        """Requests a job's state `count` times at once and keeps the answers."""
        for _ in range(int(count)):
            self.send(name, "GET", wire.submission_path(job_id), "")

    def do_ping(self, name: str, *body: str) -> None:
        """Sends a controller a ping with this body, as a peer would."""
        self.send(name, "POST", "/peer/ping", " ".join(body))

    def do_probe(self, name: str, *body: str) -> None:
        """Sends a controller a probe with this body, as a peer would."""
        self.send(name, "POST", "/peer/probe", " ".join(body))

    def send(self, name: str, method: str, path: str, body: str) -> None:
        """Sends a request with an unvalidated body and keeps its answer."""
        controller = self.run.resolve(name)
        self.cluster.send_raw(controller, method, path, body, self.run.answers)
