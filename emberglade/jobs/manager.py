"""The job manager: a view of all live jobs, and the decisions on the jobs of owned shards.

A decision takes effect only once its commit has succeeded. The job manager sends nothing to the
machines' agents: `emberglade/agents` derives the agents' commands from the replica and sends them.
"""

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from .. import placement
from ..actors import send, send_after
from ..membership import Owner
from ..state import Change, ReplicaSubscriber
from .commits import Commits
from .committed import CommittedState
from .dependency_release import DependencyRelease
from .failure_backoff import FailureBackoff
from .garbage_collection import GarbageCollection
from .job import Job
from .preemption import Preemption
from .rechunking import Rechunking
from .scheduler import Scheduler
from .scheduling_view import SchedulingView
from .segment_collection import SegmentCollection
from .task_lifecycle import TaskLifecycle
from .task_updates import StopRequested, TaskUpdate
from .underused_machine import find_underused_machine

if TYPE_CHECKING:
    from ..agents import AgentManager
    from ..config import Settings
    from ..state import Store

TICK_S = 0.5


class JobManager(ReplicaSubscriber):
    """Keeps a view of all live jobs and decides on the jobs whose shards this controller owns.

    The work is done by its parts, which all run in this actor's turn:

    - `committed` applies changes of the replica to the view.
    - `tasks` updates bindings from agents' reports and machine taints.
    - `scheduler` places pending tasks; `preemption` stops running tasks to free capacity.
    - `commits` writes the decisions to the store.
    - `rechunking` rewrites jobs in smaller chunks; `garbage` removes unused chunks.
    - `release` turns waiting jobs into live ones, or ends them if a dependency was cancelled.
    - `segments` removes unused dependency lists.

    Attributes:
        agents: The agent manager; set when the controller is assembled.
    """

    agents: "AgentManager"

    def __init__(self, settings: "Settings", store: "Store") -> None:
        self.settings, self.store = settings, store
        self.view = view = SchedulingView(settings, self.now)
        self.garbage = GarbageCollection(self, store, view)
        self.commits = Commits(self, store, view, self.garbage, listener=self)
        self.committed = CommittedState(view, self.commits, self.garbage, self.now)
        self.rechunking = Rechunking(self, store, view, self.commits)
        self.release = DependencyRelease(self, store, view)
        self.segments = SegmentCollection(self, store, view)
        backoff = FailureBackoff(settings)
        self.tasks = TaskLifecycle(self, view, self.commits, backoff, self.schedule_placement)
        self.preemption = Preemption(self, view, self.tasks, self.request_stop)
        self.scheduler = Scheduler(self, view, self.commits, backoff, self.preemption)

    @property
    def jobs(self) -> dict[str, Job]:
        """Job id -> Job, for all live jobs."""
        return self.view.jobs.jobs

    @property
    def owners(self) -> dict[int, Owner]:
        """Shard -> Owner, according to the replica."""
        return self.view.owners.owners

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: subscribes to the store and starts ticking."""
        super().on_begin()
        send_after(TICK_S, self.on_tick)

    def on_identity(self, incarnation: int) -> None:
        """Handles `identity(incarnation)` from the membership actor: this process's incarnation."""
        super().on_identity(incarnation)
        self.view.owners.set_incarnation(incarnation)
        self.commits.discard_outlived()

    # --- updates from agents and from the store

    def on_inventory(self, machines: Mapping[str, placement.Machine]) -> None:
        """Handles `inventory(machines)` from the agent manager: the current machines."""
        self.view.cluster.update_machines(machines)
        self.schedule_placement()

    def on_task_update(self, update: TaskUpdate) -> None:
        """Handles `task_update(update)` from this controller's or a peer's agent manager."""
        self.tasks.apply(update)

    def on_changed(self, events: list[Change], revision: int, is_snapshot: bool) -> None:
        """Handles `changed(events, revision, is_snapshot)` from the store: the replica has changed.

        Changes of keys that the commit in flight writes are deferred until the commit's outcome is
        known. The dependency graph contains no uncommitted decisions, so it applies all changes at
        once.
        """
        if is_snapshot:
            self.committed.reset_for_snapshot(
                {key for key, record, _ in events if record is not None}
            )
        for event in events:
            if not self.commits.defer(event):
                self.committed.apply(*event)
        self.commits.discard_outlived()
        self._update_dependencies(events, is_snapshot)
        machines = self.committed.take_changed_taints()
        if machines:
            self.tasks.apply_taints(machines)
        self.schedule_placement()

    def _update_dependencies(self, events: list[Change], is_snapshot: bool) -> None:
        self.view.graph.apply(events, is_snapshot)
        for job_id in self.view.graph.urgency.take_changes():
            job = self.view.jobs.get(job_id)
            if job is not None:
                job.inherit_urgency(self.view.graph.urgency.get(job_id))
        self.release.advance()

    def on_tick(self) -> None:
        """Handles `tick`, sent to itself every TICK_S: periodic work, and retries."""
        send_after(TICK_S, self.on_tick)
        for job in list(self.jobs.values()):
            self.commits.mark_if_finished(job)
        # Taints are applied again because the commit that stops the tasks of a drained machine may
        # have failed; without a retry these tasks neither run nor move to another machine
        # (protocol_rules/random_combined_faults_small_values.txt, seed 39).
        self.tasks.apply_taints(self.tasks.tainted_machines())
        self.garbage.sweep_orphans()
        self.garbage.sweep_generations(self.rechunking.job_id)
        self.segments.sweep()
        if self.commits.in_flight is None:
            self.garbage.collect()
        self.release.advance()
        self.rechunking.start_next()
        self.schedule_placement()

    # --- calls between the parts

    def before_commit(self) -> None:
        """Runs the scheduled placement round, if it is due, before a commit is assembled.

        Tasks that have just become unbound are bound again in the same commit, so that a job is
        written once instead of twice.
        """
        self.scheduler.run_if_due()

    def apply_event(self, key: str, record: Any, mod_revision: int) -> None:
        """Applies a change deferred during a commit, or a record read after a failed commit."""
        self.committed.apply(key, record, mod_revision)

    def after_reset(self) -> None:
        """Decides again, after uncommitted decisions were discarded."""
        self.rechunking.start_next()
        self.schedule_placement()

    def schedule_placement(self) -> None:
        """Schedules a placement round."""
        self.scheduler.schedule_round()

    def request_stop(self, update: StopRequested) -> None:
        """Asks the owner of a task's job to stop the task; the agent manager forwards this."""
        send(self.agents.on_ask_stop, update)

    # --- queries from other actors

    def on_demand(
        self,
        reply: Callable[[dict[placement.Pool, float], dict[placement.ZonePool, float]], None],
    ) -> None:
        """Handles `demand(reply)` from the agent manager: the machines that owned jobs require.

        `reply({Pool: machines}, {ZonePool: machines})`: the machines that the jobs and the tasks
        expected soon require, and the machines that are missing in a zone for pending tasks that
        can run in that zone only.
        """
        settings, cluster = self.settings, self.view.cluster
        own = [
            job for job in self.jobs.values() if self.view.owners.owns(job) and not job.cancelled
        ]
        buffer = placement.capacity_buffer(
            own, settings.objectives, cluster.machine_types, self.system.wall_time()
        )
        reply(
            placement.demand(own, buffer, cluster.machine_types, settings.teams),
            placement.zone_shortage(
                own, cluster.capacity, cluster.untainted_machines(), cluster.machine_types
            ),
        )

    def on_occupied(self, reply: Callable[[set[str]], None]) -> None:
        """Handles `occupied(reply)` from the autoscaler.

        `reply(machines)`: the names of the machines with at least one bound task.
        """
        reply(set(self.view.cluster.bound_machines()))

    def on_replicas(self, reply: Callable[[int], None]) -> None:
        """Handles `replicas(reply)` from the autoscaler.

        `reply(count)`: the number of bound service replicas.
        """
        reply(sum(self.view.cluster.capacity.replicas.values()))

    def on_underused_machine(
        self, type_name: str, limit: int, reply: Callable[[str | None, int], None]
    ) -> None:
        """Handles `underused_machine(type_name, limit, reply)` from the autoscaler.

        `reply(machine, count)`: a machine whose tasks are at most `limit` service replicas, all of
        which could move to other machines in use; `reply(None, 0)` if there is none.
        """
        found = find_underused_machine(self.view.cluster, type_name, limit)
        if found is None:
            reply(None, 0)
        else:
            reply(found.name, found.replicas)
