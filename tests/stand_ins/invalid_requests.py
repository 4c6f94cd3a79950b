"""Invalid requests of users: altered repeats, cancellations of done jobs, and invalid jobs."""

from . import wire
from .submissions import Submission
from .users import Users
from .wire import JobState

KIND_COUNT = 4  # kinds of requests; `send` describes them


class InvalidRequests:
    """Sends random invalid requests; no job of an invalid submission may be accepted."""

    def __init__(self, users: Users, team: str) -> None:
        self.users = users
        self.world = users.world
        self.observer = users.observer
        self.team = team

    def begin(self, seconds: float) -> None:
        """Schedules one request per second on average, at random times."""
        rng = self.world.random
        for number in range(int(seconds)):
            delay = rng.uniform(0, seconds)
            job_id = f"job-odd{self.world.now:.0f}x{number}"
            self.world.at(delay, self.send, rng.randrange(KIND_COUNT), job_id)

    def send(self, kind: int, invalid_id: str) -> None:
        """Sends a repeat (kind 0), a cancellation (1), or an invalid submission (2 and 3)."""
        rng, observer = self.world.random, self.observer
        live = sorted(set(observer.accepted_at) - set(observer.final))
        done = sorted(job for job, row in observer.final.items() if row.state is JobState.DONE)
        if kind == 0 and live:
            self.users.submit_again(rng.choice(live), rng.choice(wire.REPEAT_CHANGES))
        elif kind == 1 and done:
            self.users.cancel_once(rng.choice(done))
        elif kind >= 2:
            self.submit_invalid(kind, invalid_id)

    def submit_invalid(self, kind: int, invalid_id: str) -> None:
        """Submits a job that lacks a field (kind 2) or that can never run (kind 3)."""
        rng = self.world.random
        body = wire.write_submission(Submission(id=invalid_id, team=self.team))
        if kind == 2:
            del body[rng.choice(wire.NOT_NULL)]
        else:
            body.update(rng.choice(wire.UNSATISFIABLE_FIELDS))
        self.users.post(
            wire.SUBMISSIONS_PATH,
            body,
            lambda status, _: self.observer.answered_invalid(invalid_id, status),
        )
