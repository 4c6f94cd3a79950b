"""The part of the replica that the agent manager uses."""

from collections.abc import Container
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
    """What the agent manager has to act on after a change of the replica was applied.

    Attributes:
        bindings: New bindings, and bindings that have to be stopped.
        controllers: Controllers whose keys or tables changed.
        task_updates: Updates for this controller that their senders could not deliver directly.
    """

    bindings: list[ChangedBinding] = field(default_factory=list)
    controllers: set[str] = field(default_factory=set)
    task_updates: list[TaskUpdate] = field(default_factory=list)


class CommittedState(ActorPart):
    """Jobs, machines and controllers as the replica shows them.

    Attributes:
        bindings: The bindings of all live jobs.
        cancelled: The cancelled jobs among the live ones.
        taints: The taints of machines.
        owners: {shard: controller}.
        machine_types: {name: MachineType}, from the catalog.
        controllers: The controllers whose keys exist.
        tables: {controller: {key: value}}: the stored values of each controller's status table,
            under the controller's own key and the overflow keys.
        unbound_revisions: {machine: a revision at which its last binding to end is gone}.
        revision: The newest revision that the replica shows; -1 while there is no replica.
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
        self.unbound_revisions: dict[str, int] = {}
        self.revision = -1

    def owner_of(self, spec: JobSpec) -> str | None:
        """The controller that owns a job."""
        shard = shard_of(spec, self.settings.teams, shard_count(self.settings))
        return self.owners.get(shard)

    def note_announced(self, job_id: str, revision: int) -> None:
        """Records a cancellation that a peer has announced."""
        if revision <= self.revision:
            return  # the replica shows the cancellation already, or the job is finished
        self.cancelled.announced[job_id] = revision
        job = self.bindings.jobs.get(job_id)
        if job is not None and job_id not in self.cancelled.by_job:
            self.bindings.note_cancelled(job_id, job, revision)

    def apply(self, events: list, revision: int, is_snapshot: bool) -> ReplicaChange:
        """Applies a change of the replica, as `ReplicaSubscriber` receives it."""
        if is_snapshot:
            self._forget_missing(events)
        change = ReplicaChange()
        for key, data, mod_revision in events:
            self._apply_key(key, data, mod_revision, change)
        self.revision = max(self.revision, revision)
        change.bindings = self.bindings.take_changed()
        for machine in self.bindings.take_unbound_machines():
            self.unbound_revisions[machine] = self.revision
        return change

    def forget_unbound(self, known_machines: Container[str]) -> None:
        """Drops the unbound revisions of machines that are not among these."""
        self.unbound_revisions = {
            machine: revision
            for machine, revision in self.unbound_revisions.items()
            if machine in known_machines
        }

    def _forget_missing(self, events: list) -> None:
        """Drops jobs that a snapshot does not contain, and all controllers and taints."""
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
        """Applies a controller's own key, which holds the first value of its table."""
        node = key[len(records.NODE_PREFIX) :]
        change.controllers.add(node)
        if data is None:
            self.controllers.discard(node)
            self.tables.pop(node, None)
        else:
            self.controllers.add(node)
            self.tables.setdefault(node, {})[key] = data

    def _apply_overflow(self, key: str, data: Any, change: ReplicaChange) -> None:
        """Applies an overflow value, which is any value of a controller's table but the first."""
        node = records.overflow_owner(key)
        if data is None:
            self.tables.get(node, {}).pop(key, None)
        else:
            self.tables.setdefault(node, {})[key] = data
            change.controllers.add(node)
