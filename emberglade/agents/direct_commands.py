"""Commands sent to agents at their own addresses, without waiting for their next heartbeat."""

import logging
from typing import Any

from ..actors import Actor, callback
from ..jobs.binding import StopMode
from .bindings import ChangedBinding, DesiredTask
from .reconciliation import halt_command
from .shared_state import AgentPart, SharedState
from .update_forwarding import UpdateForwarding
from .wire import agents as agent_wire
from .wire.agents import AgentHeartbeat, Command, HaltTask, StartTask
from .wire.fields import HeartbeatError
from .wire.tasks import ReportedTasks, TaskKey, read_tasks

log = logging.getLogger("emberglade.agents")

# Statuses of answers that contain a heartbeat: the commands were executed, or rejected as outdated.
ANSWERS_WITH_HEARTBEAT = (200, 409)


class DirectCommands(AgentPart):
    """Starts newly bound tasks and stops preempted ones, for jobs that this controller owns.

    The fencing token of a message is the revision of the replica that shows the binding. A binding
    ends either by a later commit, whose higher revision the agent then receives as a fencing token,
    or with the agent epoch that the message names. Once the agent has that token or is in a later
    epoch, it rejects a delayed start, however late the start arrives (docs/safety.md, 6). A stop
    names an attempt that is never started again, so it does no harm, however late it arrives.
    """

    def __init__(
        self,
        actor: Actor,
        shared: SharedState,
        agent_clients: Any,
        updates: UpdateForwarding,
    ) -> None:
        super().__init__(actor, shared)
        self.agent_clients = agent_clients
        self.updates = updates

    def send(self, changes: list[ChangedBinding]) -> None:
        """Sends the commands for these new bindings and stops, one message per agent."""
        commands: dict[tuple[str, int], list[Command]] = {}  # (machine, agent epoch) -> commands
        for machine, key, changed in changes:
            command = self._command_for(machine, key, changed)
            if command is not None:
                commands.setdefault((machine, changed.agent_epoch), []).append(command)
        now = self.now()
        for (machine, agent_epoch), commands_for_agent in commands.items():
            self._send_to(machine, agent_epoch, commands_for_agent, now)

    def _command_for(self, machine: str, key: TaskKey, changed: DesiredTask) -> Command | None:
        """The command for a new binding or stop, if this controller owns the job; else None.

        The command follows from the current binding, not from `changed`. If it followed from
        `changed`, and a binding and its stop arrived in one change of the replica, the start would
        be sent with a fencing token above that of the stop
        (protocol_rules/bound_and_stopped.txt).
        """
        bindings = self.committed.bindings
        desired = bindings.of_machine(machine).get(key)
        if (
            desired is None
            or desired.attempt != changed.attempt
            or desired.agent_epoch != changed.agent_epoch
            or key[0] in self.committed.cancelled.by_job
        ):
            return None
        spec = bindings.jobs[key[0]].spec
        if self.committed.owner_of(spec) != self.settings.node:
            return None
        if desired.stop == StopMode.KEEP:
            return StartTask(key, desired.attempt)
        return halt_command(bindings, key, desired.attempt, desired.stop)

    def _send_to(self, machine: str, agent_epoch: int, commands: list[Command], now: float) -> None:
        """Sends an agent the commands that it may receive now, and drops the others."""
        last_seen = self.evidence.last_seen.get(machine)
        if last_seen is None:
            return
        status = last_seen.status
        if machine in self.committed.taints or status.spot_notice:
            commands = [command for command in commands if isinstance(command, HaltTask)]
        if (
            not commands
            or not status.addr
            or status.agent_epoch != agent_epoch
            or status.unreachable
            or now - last_seen.contact_at > self.settings.lease_s / 2
        ):
            return
        self.agent_clients.call(
            status.addr,
            "POST",
            agent_wire.COMMANDS_PATH,
            agent_wire.write_direct_commands(self.committed.revision, agent_epoch, commands),
            self.settings.agent_heartbeat_s,
            callback(self.on_command_answer, machine),
        )

    def on_command_answer(self, machine: str, status: int, body: Any) -> None:
        """Handles an agent's answer to direct commands."""
        self.apply_answer(machine, status, body)

    def apply_answer(
        self, machine: str, status: int, body: Any
    ) -> tuple[AgentHeartbeat, ReportedTasks] | None:
        """Processes the heartbeat in an agent's answer.

        Updates the machine's record if the heartbeat is newer than the one in it, and notifies the
        owners of the jobs with tasks bound to the machine.

        Returns:
            The heartbeat and its tasks; None if the answer contains no valid heartbeat.
        """
        if status not in ANSWERS_WITH_HEARTBEAT:
            return None
        try:
            heartbeat = agent_wire.read_heartbeat(body)
            tasks = read_tasks(heartbeat.raw_tasks)
        except HeartbeatError as error:
            log.info(
                "machine %s answered a direct command with a malformed heartbeat; "
                "ignoring the answer: %s",
                machine,
                error,
            )
            return None
        record = self.records.get(heartbeat.machine)
        # A direct command neither renews a lease nor makes the agent send its heartbeats here, so
        # no record is added.
        if record is not None and record.heartbeat.version < heartbeat.version:
            record.heartbeat = heartbeat
            record.tasks = tasks
            record.heartbeat_at = self.now()
            record.contact_at = record.heartbeat_at
            record.settled = False
            self.evidence.last_seen[heartbeat.machine] = record.last_seen()
        self.updates.notify_owners(heartbeat, tasks)
        return heartbeat, tasks
