"""Checks that job managers decide from the committed records.

A controller's view of a job is its replica's record, plus this controller's own decisions that are
pending or in flight. Anything else in the view is a decision that outlived the ownership under
which it was made.
"""

from typing import TYPE_CHECKING, Any

from emberglade.jobs import wire
from emberglade.jobs.job import Job

if TYPE_CHECKING:
    from .cluster import Cluster

CHECK_INTERVAL_S = 0.25
RULE = "uncommitted_view"


class ViewChecks:
    """Compares the view of every running controller with its replica at regular intervals."""

    def __init__(self, cluster: "Cluster") -> None:
        self.cluster = cluster
        self.check_count = 0

    def begin(self) -> None:
        """Checks now, and schedules the next check."""
        self.cluster.world.at(CHECK_INTERVAL_S, self.begin)
        for name, controller in self.cluster.controllers.items():
            process = self.cluster.processes[name]
            if process.alive and not process.is_paused():
                self.check(name, controller)

    def check(self, name: str, controller: Any) -> None:
        """Records a violation for each record that differs without a decision of the owner."""
        manager = controller.job_manager
        if controller.store.revision < 0:
            return
        undecided = set(manager.commits.pending.due)
        if manager.commits.in_flight is not None:
            undecided.update(manager.commits.in_flight.chunks)
        self.check_count += 1
        for job in manager.jobs.values():
            for number in job.chunks:
                key = wire.key_of_chunk(job, number)
                if key not in undecided and not self.is_committed(controller, job, number, key):
                    self.cluster.observer.record(RULE, f"{name} {key}")

    @staticmethod
    def is_committed(controller: Any, job: Job, number: int, key: str) -> bool:
        """Whether the bindings of a chunk are those of its record in the replica.

        True as well while the job manager has not received the newest version of the record.
        """
        chunk, found = job.chunks[number], controller.store.replica.get(key)
        if found is None:
            return chunk.mod_revision > 0 or not chunk.bindings
        if found.mod_revision != chunk.mod_revision:
            return True
        record = wire.first_chunk(found.data) if number == 0 else found.data
        rows = {task: wire.binding_row(binding) for task, binding in chunk.bindings.items()}
        return rows == wire.binding_rows(record)
