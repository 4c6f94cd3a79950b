"""The user API as one actor.

An answer reports only committed state that is no older than the request. A request that can't be
served now is not queued, but answered immediately, with `Retry-After`.
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
    """Handles users' submissions, polls and cancellations.

    Attributes:
        view: The committed jobs.
        lookup: Answers polls of a job's state.
        submissions: Handles submissions.
        cancellations: Handles cancellations.
        routes: Dispatches the requests that users, agents and health checks send to the front
            server: to the three handlers above or to the agent manager.
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

        Updates the view of committed jobs.
        """
        self.view.apply(changes, is_snapshot)

    def on_memory_pressure(self, memory_is_low: bool) -> None:
        """Handles `memory_pressure(memory_is_low)` from the memory guard.

        While memory is low, this controller accepts no new job. The cache of final states is
        cleared when memory becomes low.
        """
        self.submissions.memory_is_low = memory_is_low
        if memory_is_low:
            self.lookup.final_states.clear()
