"""Forwards task status updates to the controllers that own the jobs."""

from typing import Any

import orjson

from .. import peer_paths
from ..actors import Actor, callback, send, send_after
from ..jobs.binding import StopMode
from ..jobs.task_updates import StopRequested, TaskExited, TaskGone, TaskUpdate, UpdateKey
from ..state import LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from .bindings import DesiredTask
from .shared_state import AgentPart, SharedState
from .wire import peers as peer_wire
from .wire import records
from .wire.agents import AgentHeartbeat
from .wire.tasks import EXITED, ReportedTasks, TaskKey, TaskStatus

MAX_UPDATES_PER_MESSAGE = 200
VALUE_OVERHEAD_BYTES = 256  # field and controller names in the value with undelivered updates
MAX_BATCHES_PER_HEARTBEAT = 20  # updates between two sends are sent together


class UpdateForwarding(AgentPart):
    """Notifies the owners of jobs of the task updates that follow from heartbeats."""

    def __init__(
        self,
        actor: Actor,
        shared: SharedState,
        store: Any,
        job_manager: Any,
        peers: dict[str, Any],
    ) -> None:
        super().__init__(actor, shared)
        self.store = store
        self.job_manager = job_manager
        self.peers = peers
        self.outbox: dict[str, dict[UpdateKey, TaskUpdate]] = {}  # by controller
        self.sending_scheduled = False
        # By controller: updates that could not be sent to it directly.
        self.undelivered: dict[str, dict[UpdateKey, TaskUpdate]] = {}
        self.wrote_updates = False

    def notify_owners(self, heartbeat: AgentHeartbeat, tasks: ReportedTasks) -> bool:
        """Forwards the updates that follow from a heartbeat; returns whether there are any."""
        updates = []
        for key, desired in self.committed.bindings.of_machine(heartbeat.machine).items():
            found = tasks.attempt(key, desired.attempt)
            update = self._proven_update(heartbeat, key, desired, found)
            if update is not None:
                updates.append(update)
        for update in updates:
            self.forward(update)
        return bool(updates)

    def _proven_update(
        self,
        heartbeat: AgentHeartbeat,
        key: TaskKey,
        desired: DesiredTask,
        found: TaskStatus | None,
    ) -> TaskUpdate | None:
        """What a heartbeat proves about a task that the replica binds to its machine, or None.

        `found` is the bound attempt's status in the heartbeat. The task's other attempts prove
        nothing about it.
        """
        stop, stop_revision = self.committed.bindings.stop_of(key, desired)
        if found is not None:
            if found.state is EXITED:
                machine = heartbeat.machine
                return TaskExited(
                    *key, desired.attempt, machine, found.exit_reason, found.checkpointed
                )
        elif heartbeat.agent_epoch > desired.agent_epoch or (
            heartbeat.agent_epoch == desired.agent_epoch
            and stop != StopMode.KEEP
            and heartbeat.fencing_token >= stop_revision
        ):
            # The attempt is not on the machine and can't start there any more: the binding's agent
            # epoch has ended, or the agent would reject a start by its fencing token.
            return TaskGone(*key, desired.attempt, heartbeat.machine)
        if stop == StopMode.KEEP and heartbeat.spot_notice_s is not None:
            return StopRequested(*key, desired.attempt, StopMode.SAVE, "its machine is taken back")
        return None

    def forward(self, update: TaskUpdate) -> None:
        """Forwards an update to the owner of its job, which may be this controller."""
        job = self.committed.bindings.jobs.get(update.job_id)
        if job is None:
            return
        node = self.committed.owner_of(job.spec)
        if node == self.settings.node:
            send(self.job_manager.on_task_update, update)
        elif node in self.peers:
            self.outbox.setdefault(node, {})[update.key] = update
            if not self.sending_scheduled:
                self.sending_scheduled = True
                delay_s = self.settings.agent_heartbeat_s / MAX_BATCHES_PER_HEARTBEAT
                send_after(delay_s, self.on_send_updates)

    def on_send_updates(self) -> None:
        """Handles `send_updates`, from `forward`: sends each owner its updates in batches."""
        self.sending_scheduled = False
        outbox, self.outbox = self.outbox, {}
        for node, by_key in outbox.items():
            updates = list(by_key.values())
            for first in range(0, len(updates), MAX_UPDATES_PER_MESSAGE):
                batch = updates[first : first + MAX_UPDATES_PER_MESSAGE]
                self.peers[node].call(
                    "POST",
                    peer_paths.TASK_UPDATES,
                    peer_wire.write_task_updates(batch),
                    self.settings.agent_heartbeat_s,
                    callback(self.on_updates_sent, node, batch),
                )

    def on_updates_sent(self, node: str, updates: list[TaskUpdate], status: int, body: Any) -> None:
        """Handles the owner's answer to one batch."""
        if status == 200:
            self.undelivered.pop(node, None)
            return
        # Later heartbeats repeat updates that were not committed, so only the latest update of each
        # key is kept.
        undelivered = self.undelivered.setdefault(node, {})
        undelivered.update((update.key, update) for update in updates)

    def write_undelivered(self) -> None:
        """Stores as many of the updates that could not be sent to jobs' owners as fit one value.

        The others are dropped; they are sent again when a later heartbeat or request repeats them.
        """
        undelivered, self.undelivered = self.undelivered, {}
        bytes_left = self.settings.value_bytes - VALUE_OVERHEAD_BYTES
        rows: dict[str, list] = {}
        for node, updates in undelivered.items():
            for row in peer_wire.write_task_updates(updates.values()):
                bytes_left -= len(orjson.dumps(row)) + 1
                if bytes_left > 0:
                    rows.setdefault(node, []).append(row)
        if not rows and not self.wrote_updates:
            return
        self.wrote_updates = bool(rows)
        key = LIVE_PREFIX + records.undelivered_key(self.settings.node)
        send(
            self.store.on_commit,
            DECISIONS,
            [],
            [state_wire.put(key, records.write_undelivered(rows))],
            lambda status, revision, failed: None,
        )
