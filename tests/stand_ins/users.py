"""A stand-in for users: they submit, poll and cancel jobs, and retry failed requests."""

from collections.abc import Callable, Iterable
from typing import Any

from . import wire
from .observer import Observer
from .submissions import Submission, job_of
from .world import World

HOST = "user"
SUBMIT_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 5.0
FINAL_POLL_INTERVAL_S = 40.0  # of finished jobs, which users may poll at any later time
RETRY_S = 1.0  # minimum delay before a retry; up to a second of jitter is added
RETRY_LIMIT_S = 60
DEPENDENCY_ACCEPTED_RETRY_S = 0.3
JOB_ACCEPTED_RETRY_S = 1.0
CANCELLATION_SPREAD_S = 0.2
MAX_HUNG_MACHINES = 8
MAX_REACTION_S = 2.0  # the maximum delay of a user's reaction to the completion of a job


class Users:
    """All users; a load balancer sends each of their requests to a random controller.

    Attributes:
        cancel_share: The share of arrays that, until `cancel_until`, are cancelled just when
            their last task completes.
        cancelled_on_completion: The number of arrays cancelled in that way.
    """

    def __init__(self, world: World, observer: Observer, controllers: list[str]) -> None:
        self.world = world
        self.observer = observer
        self.controllers = controllers
        self.cancel_share = 0.0
        self.cancel_until = -1.0
        self.cancelled_on_completion = 0
        observer.on_array_completed = self.react_to_completion

    # --- submissions

    def submit(self, job: Submission) -> None:
        """Submits a job once its dependencies are accepted."""
        if not all(dependency in self.observer.accepted_at for dependency in job.needs or ()):
            # Users only name dependencies that they know to be accepted.
            self.world.at(DEPENDENCY_ACCEPTED_RETRY_S, self.submit, job)
            return
        assert job.id is not None
        if job.actual_run_s is None:
            job.actual_run_s = job.estimated_run_s
        self.observer.jobs[job.id] = job
        self.observer.submitted_at[job.id] = self.world.now
        self.try_to_submit(job, self.world.now)

    def try_to_submit(self, job: Submission, since: float) -> None:
        """Sends a submission, with retries until a definitive answer or for RETRY_LIMIT_S."""
        assert job.id is not None
        job_id, asked_at = job.id, self.world.now

        def answered(status: int, body: Any) -> None:
            self.observer.answered(job_id, asked_at, status, body)
            if status in (200, 201):
                self.world.at(POLL_INTERVAL_S, self.poll, job_id)
            elif status not in (400, 422) and self.world.now - since < RETRY_LIMIT_S:
                self.world.at(self.draw_retry_s(), self.try_to_submit, job, since)

        self.post(wire.SUBMISSIONS_PATH, wire.write_submission(job), answered)

    def draw_retry_s(self) -> float:
        """Draws the delay before a retry."""
        return RETRY_S + self.world.random.random()

    def submit_again(self, job_id: str, changes: dict[str, Any] | None = None) -> None:
        """Repeats a submission, optionally with some fields of its body changed."""
        body = {**wire.write_submission(self.observer.jobs[job_id]), **(changes or {})}
        self.post(wire.SUBMISSIONS_PATH, body, self.answer_recorder(job_id))

    # --- polls

    def poll(self, job_id: str) -> None:
        """Polls a job's state periodically."""
        note = self.answer_recorder(job_id)

        def answered(status: int, body: Any) -> None:
            note(status, body)
            finished = status == 200 and job_id in self.observer.final
            delay = FINAL_POLL_INTERVAL_S if finished else POLL_INTERVAL_S
            self.world.at(delay, self.poll, job_id)

        self.get(wire.submission_path(job_id), answered)

    def poll_once(self, job_id: str) -> None:
        """Polls a job's state once."""
        self.get(wire.submission_path(job_id), self.answer_recorder(job_id))

    # --- cancellations

    def cancel(
        self, job_id: str, since: float | None = None, controller: str | None = None
    ) -> None:
        """Cancels a job, with retries until it succeeds or for RETRY_LIMIT_S.

        Args:
            job_id: The job; the request waits until it is accepted.
            since: When the user first sent the request; by default now.
            controller: The controller that gets the request; by default a random one.
        """
        if job_id not in self.observer.accepted_at:
            # Users only cancel jobs that they know to be accepted.
            self.world.at(JOB_ACCEPTED_RETRY_S, self.cancel, job_id, None, controller)
            return
        first_asked_at = self.world.now if since is None else since
        self.observer.cancel_requested.add(job_id)
        note = self.answer_recorder(job_id)

        def answered(status: int, body: Any) -> None:
            note(status, body)
            if status != 200 and self.world.now - first_asked_at < RETRY_LIMIT_S:
                self.world.at(self.draw_retry_s(), self.cancel, job_id, first_asked_at, controller)

        self.post(wire.cancel_path(job_id), {}, answered, controller)

    def cancel_once(self, job_id: str) -> None:
        """Sends one request to cancel a job, without retries."""
        self.post(wire.cancel_path(job_id), {}, self.answer_recorder(job_id))

    def cancel_running_jobs(self, count: int, hang_s: float) -> None:
        """Cancels some running jobs almost at once.

        Args:
            count: The number of jobs.
            hang_s: How long some of their machines hang; at 0, none does.
        """
        rng = self.world.random
        running = {
            job_of(name)
            for name, machine_zones in self.observer.placements.items()
            if machine_zones
        }
        candidates = sorted(running - self.observer.cancel_requested)
        chosen = rng.sample(candidates, min(count, len(candidates)))
        for job_id in chosen:
            self.world.at(rng.uniform(0, CANCELLATION_SPREAD_S), self.cancel, job_id)
        if hang_s:
            self.hang_machines_of(chosen, hang_s)

    def hang_machines_of(self, job_ids: Iterable[str], seconds: float) -> None:
        """Hangs up to MAX_HUNG_MACHINES of the machines on which these jobs run."""
        names = {
            machine
            for name, machine_zones in self.observer.placements.items()
            if job_of(name) in job_ids
            for machine in machine_zones
        }
        for name in self.world.random.sample(sorted(names), min(MAX_HUNG_MACHINES, len(names))):
            machine = self.observer.machines[name]
            if not machine.hung:
                machine.hang(seconds)

    def cancel_on_completion(self, share: float, seconds: float) -> None:
        """For a while, cancels a share of the arrays just when they complete."""
        self.cancel_share = share
        self.cancel_until = self.world.now + seconds

    def react_to_completion(self, job_id: str) -> None:
        """Handles the completion of an array: its user may cancel, poll and resubmit it."""
        rng = self.world.random
        if self.world.now < self.cancel_until and rng.random() < self.cancel_share:
            self.cancelled_on_completion += 1
            self.world.at(rng.uniform(0, MAX_REACTION_S), self.cancel, job_id)
            self.world.at(rng.uniform(0, MAX_REACTION_S), self.poll_once, job_id)
            self.world.at(rng.uniform(0, MAX_REACTION_S), self.submit_again, job_id)

    # --- requests

    def answer_recorder(self, job_id: str) -> Callable[[int, Any], None]:
        """Returns a callback that reports the answer to a request sent now to the observer."""
        asked_at = self.world.now
        return lambda status, body: self.observer.answered(job_id, asked_at, status, body)

    def post(
        self,
        path: str,
        body: dict[str, Any],
        answered: Callable[[int, Any], None],
        controller: str | None = None,
    ) -> None:
        """Sends a submission or a cancellation to a controller, by default a random one."""
        target = controller or self.world.random.choice(self.controllers)
        self.world.request(HOST, target, "POST", path, body, SUBMIT_TIMEOUT_S, answered)

    def get(self, path: str, answered: Callable[[int, Any], None]) -> None:
        """Sends a GET request to a random controller."""
        target = self.world.random.choice(self.controllers)
        self.world.request(HOST, target, "GET", path, None, POLL_TIMEOUT_S, answered)
