"""What users do in a whole-cluster scenario, and the machines that are added."""

from typing import Any

import orjson
from stand_ins import wire
from stand_ins.submissions import Submission

from .arguments import parse_arguments
from .scenario_run import ScenarioRun

JOBS_PER_SECOND = 10
SECONDS_BETWEEN_POLLS = 0.004
# What a raw request's body may begin with instead of standing for itself.
BYTES_MARK = "bytes:"
JOB_MARK = "job:"
FOREVER_S = 1e9


def make_job(job_id: str, words: tuple[str, ...]) -> Submission:
    """A job with fields of a Submission; `run_s` is both the estimate and the truth."""
    fields: dict[str, Any] = parse_arguments(words)[1]
    if "run_s" in fields:
        fields["estimated_run_s"] = fields.pop("run_s")
    if "needs" in fields:
        fields["needs"] = fields["needs"].split(",")
    return Submission(id=job_id, **fields)


def raw_body(text: str) -> str:
    """The body of a raw request.

    `bytes:N` stands for so many bytes, `job:{...}` for a whole submission but for these fields of
    PROTOCOL; null takes away a field that can't be null.
    """
    if text.startswith(BYTES_MARK):
        return "x" * int(text[len(BYTES_MARK) :])
    if not text.startswith(JOB_MARK):
        return text
    fields = {**wire.write_submission(Submission()), **orjson.loads(text[len(JOB_MARK) :])}
    kept = {
        name: value
        for name, value in fields.items()
        if value is not None or name not in wire.NOT_NULL
    }
    return orjson.dumps(kept).decode()


class UserVerbs:
    """The verbs of users and of machines that are added."""

    def __init__(self, run: ScenarioRun) -> None:
        self.run = run
        self.cluster = run.cluster
        self.users = run.cluster.users
        self.world = run.cluster.world

    def do_alias(self, word: str, who: str) -> None:
        """The word stands for who leads now (`leader`), or for the n-th one after (`leader+n`)."""
        names = self.cluster.names
        _, _, steps = who.partition("+")
        leader = self.cluster.leader()
        assert leader is not None
        self.run.aliases[word] = names[(names.index(leader) + int(steps or 0)) % len(names)]

    def do_add_machines(self, zone: str, count: str) -> None:
        """Machines are there that nobody has rented."""
        for _ in range(int(count)):
            self.cluster.cloud.add(zone, False, 0.0)

    def do_send_heartbeats_to(self, word: str) -> None:
        """All agents send their heartbeats to this controller; commands of others reach them."""
        controller, cluster = self.run.resolve(word), self.cluster
        for machine in cluster.cloud.machines.values():
            machine.controller = cluster.names.index(controller)
        self.world.block_connections(cluster.cloud.machines, cluster.others(controller), FOREVER_S)

    # --- jobs

    def do_submit(self, job_id: str, *words: str) -> None:
        """A user submits a job."""
        self.users.submit(make_job(job_id, words))

    def do_submit_many(self, prefix: str, count: str, *words: str) -> None:
        """So many jobs of a kind, a tenth of a second apart."""
        for number in range(int(count)):
            self.world.at(number / JOBS_PER_SECOND, self.do_submit, f"job-{prefix}{number}", *words)

    def do_submit_chain(self, prefix: str, count: str, *words: str) -> None:
        """So many jobs, each of which needs the one before."""
        for number in range(int(count)):
            job = make_job(f"job-{prefix}{number}", words)
            if number:
                job.needs = [f"job-{prefix}{number - 1}"]
            self.users.submit(job)

    def do_submit_fan_in(self, prefix: str, count: str, *words: str) -> None:
        """So many jobs, and one that needs them all."""
        self.do_submit_many(prefix, count, *words)
        needs = [f"job-{prefix}{number}" for number in range(int(count))]
        self.users.submit(Submission(id=f"job-{prefix}end", needs=needs))

    def do_submit_again(self, job_id: str) -> None:
        """A user repeats a submission."""
        self.users.submit_again(job_id)

    def do_cancel(self, job_id: str, word: str | None = None) -> None:
        """A user cancels a job, at any controller if none is named."""
        controller = None if word is None else self.run.resolve(word)
        self.users.cancel(job_id, controller=controller)

    def do_cancel_on_completion(self, share: str, seconds: str) -> None:
        """For a while users cancel this share of the arrays at the moment of their end."""
        self.users.cancel_on_completion(float(share), float(seconds))

    def do_poll(self, job_id: str) -> None:
        """A user asks for a job again and again."""
        self.users.poll(job_id)

    def do_poll_often(self, job_id: str, count: str) -> None:
        """A user asks any controllers, again and again within milliseconds."""
        for number in range(int(count)):
            self.world.at(number * SECONDS_BETWEEN_POLLS, self.users.poll_once, job_id)

    def do_invalid_requests(self, seconds: str) -> None:
        """For a while users send requests that must be refused."""
        self.cluster.invalid_requests.begin(float(seconds))

    # --- raw requests

    def do_request(self, word: str, method: str, path: str, *body: str) -> None:
        """One request to a controller; its answer is kept."""
        self.send(word, method, path, raw_body(" ".join(body)))

    def do_flood(self, word: str, count: str, job_id: str) -> None:
        """So many questions about a job at once; the answers are kept."""
        for _ in range(int(count)):
            self.send(word, "GET", wire.submission_path(job_id), "")

    def do_ping(self, word: str, *body: str) -> None:
        """A ping with that body reaches the controller, as if from a peer."""
        self.send(word, "POST", "/peer/ping", " ".join(body))

    def do_probe(self, word: str, *body: str) -> None:
        """A probe with that body reaches the controller, as if from a peer."""
        self.send(word, "POST", "/peer/probe", " ".join(body))

    def send(self, word: str, method: str, path: str, body: str) -> None:
        """Sends a request as it is."""
        controller = self.run.resolve(word)
        self.cluster.send_raw(controller, method, path, body, self.run.answers)
