"""The cancelled jobs among the live ones, as the replica shows them or a peer announced them."""

from dataclasses import dataclass, field

from ..actors import Actor, ActorPart

# A controller that did not itself confirm a cancellation to a user halts the job's tasks too, this
# many heartbeat intervals after it learned of the cancellation.
HALT_DELAY_HEARTBEATS = 3


@dataclass(slots=True)
class Cancellation:
    """A cancelled job that is still live.

    Attributes:
        revision: The revision at which the cancellation was seen.
        halt_due_at: When this controller starts to halt the job's tasks directly.
        ended: The (task, attempt) pairs that have ended according to their machines' agents.
    """

    revision: int
    halt_due_at: float
    ended: set[tuple[int, int]] = field(default_factory=set)


class CancelledJobs(ActorPart):
    """The cancellations that this controller knows of.

    Attributes:
        by_job: {live job in the replica: its Cancellation}.
        announced: {job: revision} of cancellations that peers announced and the replica does not
            show yet.
    """

    def __init__(self, actor: Actor, agent_heartbeat_s: float) -> None:
        super().__init__(actor)
        self.halt_delay_s = HALT_DELAY_HEARTBEATS * agent_heartbeat_s
        self.by_job: dict[str, Cancellation] = {}
        self.announced: dict[str, int] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self.by_job or job_id in self.announced

    def add(self, job_id: str, revision: int) -> None:
        """Records the cancellation of a live job; this controller halts its tasks after a delay.

        The delay leaves the halts to the controller that confirms the cancellation to a user.
        """
        self.by_job[job_id] = Cancellation(revision, self.now() + self.halt_delay_s)

    def forget(self, job_id: str) -> None:
        """Drops a job that is finished."""
        self.by_job.pop(job_id, None)

    def revision(self, job_id: str) -> int:
        """The revision at which a job's cancellation was seen; the job must be in `self`."""
        cancellation = self.by_job.get(job_id)
        return cancellation.revision if cancellation is not None else self.announced[job_id]

    def due(self, now: float) -> list[str]:
        """The jobs whose tasks this controller has to halt directly by now."""
        return [
            job_id
            for job_id, cancellation in self.by_job.items()
            if cancellation.halt_due_at <= now
        ]

    def advance_all(self, now: float) -> None:
        """Makes the direct halts of all cancelled jobs due now."""
        for cancellation in self.by_job.values():
            cancellation.halt_due_at = min(cancellation.halt_due_at, now)

    def forget_announced(self, revision: int) -> None:
        """Drops announced cancellations that the replica, now at `revision`, shows itself."""
        for job_id in [job_id for job_id, seen in self.announced.items() if seen <= revision]:
            del self.announced[job_id]
