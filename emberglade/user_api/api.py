"""The users' API as one actor. Whatever it tells is durable, and read after the question came.

What can't be done now is answered at once with `Retry-After`: nothing is held back.
"""

from typing import TYPE_CHECKING

from ..config import Settings
from ..state import Change, ReplicaSubscriber, Store
from .acceptance import Acceptance
from .cancellations import CancellationRequests
from .committed_view import CommittedView
from .dependency_outcomes import DependencyOutcomes
from .dependent_submissions import DependentSubmissions
from .lookup import JobLookup
from .routes import FrontRoutes
from .submissions import Submissions

if TYPE_CHECKING:
    from ..agents import AgentManager


class UserApi(ReplicaSubscriber):
    """Users' submissions, questions and cancellations.

    Attributes:
        view: The committed jobs.
        lookup: Answers questions about jobs.
        submissions: Takes submissions.
        cancellations: Takes cancellations.
        routes: Leads the front server's requests to these, and to the agent manager.
    """

    def __init__(self, settings: Settings, store: Store, agents: "AgentManager") -> None:
        self.store = store
        self.view = CommittedView()
        dependency_outcomes = DependencyOutcomes(self, store, self.view.graph)
        self.lookup = JobLookup(self, settings, store, self.view, dependency_outcomes)
        acceptance = Acceptance(self, settings, store, self.lookup)
        dependent_submissions = DependentSubmissions(
            self, settings, store, self.view, self.lookup, dependency_outcomes, acceptance
        )
        self.submissions = Submissions(
            self, settings, self.view, self.lookup, acceptance, dependent_submissions
        )
        self.cancellations = CancellationRequests(self, store, self.view, self.lookup, agents)
        self.routes = FrontRoutes(agents, self.submissions, self.lookup, self.cancellations)

    def on_changed(self, changes: list[Change], revision: int, is_snapshot: bool) -> None:
        """Handles `changed(changes, revision, is_snapshot)` from the store.

        Follows committed jobs.
        """
        self.view.apply(changes, is_snapshot)

    def on_memory_pressure(self, short: bool) -> None:
        """Handles `memory_pressure(short)` from the memory guard.

        While memory is short no job is accepted here, and no final state is kept at hand.
        """
        self.submissions.memory_short = short
        if short:
            self.lookup.final_states.clear()
