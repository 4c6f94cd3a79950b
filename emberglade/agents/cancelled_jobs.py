"""The cancelled jobs among the live ones, as the replica shows them or a peer announced them."""

from dataclasses import dataclass, field

from ..actors import Actor, ActorPart

# After this many heartbeat intervals, controllers that did not confirm the cancellation themselves
# halt the job too.
HALT_DELAY_HEARTBEATS = 3


@dataclass(slots=True)
class Cancellation:
    """A cancelled job that is still live.

    Attributes:
        revision: The revision at which the cancellation was seen.
        halt_due_at: When this controller starts to halt the job's tasks directly.
        ended: (task, attempt) pairs that the machine's own agent reported as ended.
    """

    revision: int
    halt_due_at: float
    ended: set[tuple[int, int]] = field(default_factory=set)


class CancelledJobs(ActorPart):
    """The cancellations that this controller knows of.

    Attributes:
        by_job: {live job in the replica: its Cancellation}.
        announced: {job: revision}, announced by peers and not yet shown by the replica.
    """

    def __init__(self, actor: Actor, agent_heartbeat_s: float) -> None:
        super().__init__(actor)
        self.halt_delay_s = HALT_DELAY_HEARTBEATS * agent_heartbeat_s
        self.by_job: dict[str, Cancellation] = {}
        self.announced: dict[str, int] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self.by_job or job_id in self.announced

    def add(self, job_id: str, revision: int) -> None:
        """Records the cancellation of a job in the replica; its tasks are halted after a delay.

        Before that, the controller that confirms the cancellation halts them.
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
        """The jobs whose tasks this controller has to halt directly."""
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
        """Drops announcements that the replica, which is at `revision` now, shows itself."""
        for job_id in [job_id for job_id, seen in self.announced.items() if seen <= revision]:
            del self.announced[job_id]
