"""Status updates of tasks, passed on to the controllers that hold their jobs."""

import logging

import orjson

from ..actors import callback, tell, tell_after
from ..jobs.record import KEEP, SAVE, shard_of
from ..jobs.task_updates import StopWanted, TaskExited, TaskGone
from ..membership import shard_count
from ..state import LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from .wire import peers as peer_wire
from .wire import records
from .wire.agents import TaskState

log = logging.getLogger("emberglade.agents")


MAX_UPDATES_SENT = 200  # in one message to a holder
FRAME_BYTES = 256  # of the value that holds undelivered updates: names of fields and controllers


class UpdateForwarding:
    """The part of the agent manager that tells the holders of jobs what reports prove."""

    def __init__(self):
        self.outbox = {}  # node -> {UpdateKey: update} for it
        self.outbox_due = False
        self.undelivered = {}  # node -> {UpdateKey: update} that it could not be told directly
        self.wrote_updates = False

    def tell_holders(self, heartbeat, tasks):
        """Passes on what the report proves; True if anything was."""
        updates = [
            update
            for key, want in self.bindings.get(heartbeat.machine, {}).items()
            if (update := self.proven_update(heartbeat, key, want, tasks.get(key))) is not None
        ]
        for update in updates:
            self.forward(update)
        return bool(updates)

    def proven_update(self, heartbeat, key, want, seen):
        """What the report proves of a task that the copy binds to its machine, or None.

        `seen` is the task as reported, None if it is not on the machine.
        """
        stop, since = self.stop_of(key, want)
        spot_notice_s = heartbeat.spot_notice_s
        if seen is not None and seen.attempt == want.attempt:
            if seen.state is TaskState.EXITED:
                return TaskExited(
                    *key, want.attempt, heartbeat.machine, seen.exit_reason, seen.checkpointed
                )
        elif heartbeat.agent_epoch > want.agent_epoch or (
            heartbeat.agent_epoch == want.agent_epoch
            and stop != KEEP
            and heartbeat.fencing_token >= since
        ):
            # Its session is over, or its start can't be accepted any more: it will never run.
            return TaskGone(*key, want.attempt, heartbeat.machine)
        if stop == KEEP and spot_notice_s is not None:
            return StopWanted(*key, want.attempt, SAVE, "its machine is taken back")
        return None

    def on_ask_stop(self, update):
        """Handles `ask_stop(update)` from the job manager: another controller holds the task."""
        self.forward(update)

    def holder_of(self, spec):
        return self.holders.get(shard_of(spec, self.settings.teams, shard_count(self.settings)))

    def forward(self, update):
        """Passes an update on to the holder of its job, which may be this controller."""
        entry = self.jobs.get(update.job_id)
        if entry is None:
            return
        node = self.holder_of(entry.spec)
        if node == self.settings.node:
            tell(self.job_manager.on_task_update, update)
        elif node in self.peers:
            self.outbox.setdefault(node, {})[update.key] = update
            if not self.outbox_due:
                self.outbox_due = True
                tell_after(self.settings.agent_heartbeat_s / 20, self.on_send_updates)

    def on_send_updates(self):
        """Handles `send_updates`, from `forward`: sends each holder what is for it, in batches."""
        self.outbox_due = False
        outbox, self.outbox = self.outbox, {}
        for node, updates in outbox.items():
            waiting = list(updates.values())
            for first in range(0, len(waiting), MAX_UPDATES_SENT):
                batch = waiting[first : first + MAX_UPDATES_SENT]
                self.peers[node].call(
                    "POST",
                    peer_wire.TASK_UPDATES_PATH,
                    peer_wire.write_task_updates(batch),
                    self.settings.agent_heartbeat_s,
                    callback(self.on_updates_sent, node, batch),
                )

    def on_updates_sent(self, node, updates, status, body):
        """Handles the holder's answer to one batch."""
        if status == 200:
            self.undelivered.pop(node, None)
            return
        # Reports repeat what was not recorded; so only the latest failures are worth keeping.
        self.undelivered.setdefault(node, {}).update((update.key, update) for update in updates)

    def write_updates(self):
        """What peers could not be told directly goes through the state service."""
        undelivered, self.undelivered = self.undelivered, {}
        bytes_left, rows = self.settings.value_bytes - FRAME_BYTES, {}
        for node, updates in undelivered.items():
            for row in peer_wire.write_task_updates(updates.values()):
                bytes_left -= len(orjson.dumps(row)) + 1
                if bytes_left > 0:
                    rows.setdefault(node, []).append(row)
        if rows or self.wrote_updates:
            self.wrote_updates = bool(rows)
            tell(
                self.store.on_commit,
                DECISIONS,
                [],
                [
                    state_wire.put(
                        LIVE_PREFIX + records.undelivered_key(self.settings.node),
                        records.write_undelivered(rows),
                    )
                ],
                lambda status, revision, failed: None,
            )
