"""Broken builds of job records, placement decisions and dependencies."""

from dataclasses import replace

from emberglade.actors import callback, send
from emberglade.jobs.commit_settlement import CommitSettlement
from emberglade.jobs.commits import Commits
from emberglade.jobs.dependencies import DependencyGraph
from emberglade.jobs.job import Job
from emberglade.jobs.manager import JobManager
from emberglade.jobs.placement_pass import PlacementPass
from emberglade.jobs.scheduler import Scheduler
from emberglade.jobs.task_lifecycle import TaskLifecycle


def reassigns_without_proof(patch):
    """Tasks of an unschedulable machine are placed again before its lease has expired."""
    original = JobManager.on_tick

    def on_tick(self):
        for job in list(self.jobs.values()):
            if self.view.owners.owns(job):
                for task, binding in list(job.bindings()):
                    machine = self.view.cluster.machines.get(binding.machine)
                    if machine is not None and not machine.schedulable:
                        self.tasks.release(job, task, binding.attempt, binding.machine)
        original(self)

    patch.setattr(JobManager, "on_tick", on_tick)


def done_too_early(patch):
    """A job counts as done when half of its tasks are."""
    patch.setattr(
        Job,
        "is_done",
        lambda self: (
            not self.spec.service
            and not self.cancelled
            and self.done_count() >= max(1, self.spec.tasks // 2)
        ),
    )


def places_nothing(patch):
    """No task is ever placed."""
    patch.setattr(Scheduler, "on_place", lambda self: None)


def no_aging(patch):
    """Jobs that have waited for a long time are not placed first."""
    patch.setattr(Scheduler, "is_starving", lambda self, job, wall_time: False)


def accepts_any_attempt(patch):
    """An exit of an earlier attempt counts for the attempt that is bound now."""
    original = TaskLifecycle.task_exited

    def task_exited(self, job, binding, update):
        if binding is not None:
            update = replace(update, attempt=binding.attempt, machine=binding.machine)
        original(self, job, binding, update)

    patch.setattr(TaskLifecycle, "task_exited", task_exited)


def unfenced_commits(patch):
    """The result of an unanswered commit is read while the commit may still be applied."""
    patch.setattr(
        CommitSettlement,
        "on_fence",
        lambda self, in_flight: send(self._store.on_sync, callback(self.on_synced, in_flight)),
    )


def keeps_outlived_decisions(patch):
    """Uncommitted decisions are kept when a shard is lost and taken back."""
    patch.setattr(Commits, "discard_outlived", lambda self: None)


def one_job_raises(patch):
    """The placement of job-1 raises."""
    original = PlacementPass._place_or_reserve

    def place(self, job, within_guarantee):
        if job.id == "job-1":
            raise OverflowError(job.id)
        original(self, job, within_guarantee)

    patch.setattr(PlacementPass, "_place_or_reserve", place)


def never_places_one_job(patch):
    """The tasks of job-1 are never placed."""
    original = Job.pending_count
    patch.setattr(Job, "pending_count", lambda self: 0 if self.id == "job-1" else original(self))


def ignores_dependencies(patch):
    """Jobs are released regardless of the state of their dependencies."""
    original = DependencyGraph.apply

    def apply(self, events, is_snapshot):
        original(self, events, is_snapshot)
        self.ready.update(self.waiting)

    patch.setattr(DependencyGraph, "apply", apply)


def keeps_dependents_of_cancelled(patch):
    """The dependents of a cancelled job are not cancelled."""
    patch.setattr(DependencyGraph, "_cancel", lambda self, stack: None)


def trusts_own_replica(patch):
    """A dependency that is missing in the replica is not looked up in the store."""
    patch.setattr(DependencyGraph, "unresolved_dependencies_of", lambda self, job_id: set())
