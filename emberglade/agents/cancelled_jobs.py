"""Which live jobs are cancelled, as the replica shows it or a peer has announced it."""

from dataclasses import dataclass, field

from ..actors import Actor, ActorPart

# Heartbeat intervals after which the controllers that did not confirm a cancellation halt as well.
HALT_DELAY_HEARTBEATS = 3


@dataclass(slots=True)
class Cancellation:
    """A cancelled job that is still live.

    Attributes:
        revision: At which the cancellation was seen.
        halt_due_at: From when on this controller halts the job's tasks directly.
        ended: (task, attempt) that its machine's own agent states ended.
    """

    revision: int
    halt_due_at: float
    ended: set[tuple[int, int]] = field(default_factory=set)


class CancelledJobs(ActorPart):
    """The cancellations that this controller knows of.

    Attributes:
        by_job: {live job in the replica: its Cancellation}.
        announced: {job: revision}, by a peer, of what the replica does not show yet.
    """

    def __init__(self, actor: Actor, agent_heartbeat_s: float) -> None:
        super().__init__(actor)
        self.halt_delay_s = HALT_DELAY_HEARTBEATS * agent_heartbeat_s
        self.by_job: dict[str, Cancellation] = {}
        self.announced: dict[str, int] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self.by_job or job_id in self.announced

    def add(self, job_id: str, revision: int) -> None:
        """Notes the cancellation of a job in the replica; others halt its tasks first."""
        self.by_job[job_id] = Cancellation(revision, self.now() + self.halt_delay_s)

    def forget(self, job_id: str) -> None:
        """Forgets a job that is over."""
        self.by_job.pop(job_id, None)

    def revision(self, job_id: str) -> int:
        """The revision at which the cancellation of a job in here was seen."""
        cancellation = self.by_job.get(job_id)
        return cancellation.revision if cancellation is not None else self.announced[job_id]

    def due(self, now: float) -> list[str]:
        """The jobs whose tasks this controller is to halt directly."""
        return [
            job_id
            for job_id, cancellation in self.by_job.items()
            if cancellation.halt_due_at <= now
        ]

    def advance_all(self, now: float) -> None:
        """All cancelled jobs' tasks are to be halted directly from now on, if not before."""
        for cancellation in self.by_job.values():
            cancellation.halt_due_at = min(cancellation.halt_due_at, now)

    def forget_announced(self, revision: int) -> None:
        """Forgets announcements that the replica shows, now that it is at `revision`."""
        for job_id in [job_id for job_id, seen in self.announced.items() if seen <= revision]:
            del self.announced[job_id]
