"""All that the agents take from the replica."""

from dataclasses import dataclass, field
from typing import Any

from ..actors import Actor, ActorPart
from ..fleet import wire as fleet_wire
from ..fleet.taints import Taints
from ..jobs import wire as jobs_wire
from ..jobs.job import shard_of
from ..jobs.job_spec import JobSpec
from ..jobs.task_updates import TaskUpdate
from ..membership import shard_count
from ..placement import MachineType, read_machine_types
from .bindings import ChangedBinding, CommittedBindings
from .cancelled_jobs import CancelledJobs
from .wire import records


@dataclass
class ReplicaChange:
    """What a change of the replica brought besides what is kept in CommittedState.

    Attributes:
        bindings: What was bound, or is to be stopped.
        controllers: Controllers whose keys or tables changed.
        task_updates: Updates for this controller, which their senders could not tell it.
    """

    bindings: list[ChangedBinding] = field(default_factory=list)
    controllers: set[str] = field(default_factory=set)
    task_updates: list[TaskUpdate] = field(default_factory=list)


class CommittedState(ActorPart):
    """What the replica shows of jobs, machines and controllers.

    Attributes:
        bindings: Of all live jobs.
        cancelled: The cancelled ones among them.
        taints: Of machines.
        owners: {shard: controller}.
        machine_types: {name: MachineType}, of the catalog.
        controllers: Those whose keys are there.
        tables: {controller: {key: what it holds}}, of its own key and its overflow values.
        revision: The newest that the replica shows; -1 before there is one.
    """

    def __init__(self, actor: Actor, settings: Any) -> None:
        super().__init__(actor)
        self.settings = settings
        self.cancelled = CancelledJobs(actor, settings.agent_heartbeat_s)
        self.bindings = CommittedBindings(self.cancelled)
        self.taints = Taints()
        self.owners: dict[int, str | None] = {}
        self.machine_types: dict[str, MachineType] = {}
        self.controllers: set[str] = set()
        self.tables: dict[str, dict[str, Any]] = {}
        self.revision = -1

    def owner_of(self, spec: JobSpec) -> str | None:
        """The controller that holds a job."""
        shard = shard_of(spec, self.settings.teams, shard_count(self.settings))
        return self.owners.get(shard)

    def note_announced(self, job_id: str, revision: int) -> None:
        """Notes a cancellation that a peer has announced."""
        if revision <= self.revision:
            return  # shown by the replica, if the job is not over by now
        self.cancelled.announced[job_id] = revision
        job = self.bindings.jobs.get(job_id)
        if job is not None and job_id not in self.cancelled.by_job:
            self.bindings.note_cancelled(job_id, job, revision)

    def apply(self, events: list, revision: int, is_snapshot: bool) -> ReplicaChange:
        """Takes over a change of the replica, as `ReplicaSubscriber` is told of it."""
        if is_snapshot:
            self._forget_missing(events)
        change = ReplicaChange()
        for key, data, mod_revision in events:
            self._apply_key(key, data, mod_revision, change)
        self.revision = max(self.revision, revision)
        change.bindings = self.bindings.take_changed()
        return change

    def _forget_missing(self, events: list) -> None:
        """Forgets what the whole replica, read anew, may not show any more."""
        self.bindings.keep_only(
            jobs_wire.job_id_of(key)
            for key, data, _ in events
            if data is not None and jobs_wire.is_job_key(key)
        )
        self.controllers = set()
        self.taints.forget()

    def _apply_key(self, key: str, data: Any, mod_revision: int, change: ReplicaChange) -> None:
        if jobs_wire.is_job_key(key):
            job_id = jobs_wire.job_id_of(key)
            if data is None:
                self.bindings.drop(job_id)
            else:
                self.bindings.apply_record(job_id, data, mod_revision)
        elif jobs_wire.is_chunk_key(key):
            self.bindings.apply_chunk(key, data, mod_revision)
        elif key.startswith(fleet_wire.TAINT_PREFIX):
            changed = self.taints.apply(key, data, mod_revision, self.now())
            self.bindings.changed_machines.update(changed)
        elif key.startswith(records.SHARD_PREFIX):
            if data is not None:
                shard = int(key[len(records.SHARD_PREFIX) :])
                self.owners[shard] = records.shard_owner(data)
        elif key.startswith(records.NODE_PREFIX):
            self._apply_controller(key, data, change)
        elif key.startswith(records.OVERFLOW_PREFIX):
            self._apply_overflow(key, data, change)
        elif key.startswith(records.UNDELIVERED_PREFIX):
            change.task_updates += records.read_undelivered(data, self.settings.node)
        elif key == fleet_wire.CATALOG_KEY and data is not None:
            self.machine_types = read_machine_types(data)

    def _apply_controller(self, key: str, data: Any, change: ReplicaChange) -> None:
        """A controller's own key, with the first value of its table."""
        node = key[len(records.NODE_PREFIX) :]
        change.controllers.add(node)
        if data is None:
            self.controllers.discard(node)
            self.tables.pop(node, None)
        else:
            self.controllers.add(node)
            self.tables.setdefault(node, {})[key] = data

    def _apply_overflow(self, key: str, data: Any, change: ReplicaChange) -> None:
        """A further value of a controller's table."""
        node = records.overflow_owner(key)
        if data is None:
            self.tables.get(node, {}).pop(key, None)
        else:
            self.tables.setdefault(node, {})[key] = data
            change.controllers.add(node)
