"""Commands sent to agents at their own addresses, without waiting for their next heartbeat."""

import logging
from http import HTTPStatus
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
from .wire.peers import MachineStatus
from .wire.tasks import ReportedTasks, TaskKey, read_tasks

log = logging.getLogger("emberglade.agents")

# Statuses of answers that contain a heartbeat: the commands were executed, or rejected as outdated.
ANSWERS_WITH_HEARTBEAT = (200, 409)

AgentKey = tuple[str, int]  # (machine, agent epoch)


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
        """Sends the commands for these new bindings and stops to the machines' agents."""
        by_agent: dict[AgentKey, list[ChangedBinding]] = {}
        for change in changes:
            machine, _, changed = change
            by_agent.setdefault((machine, changed.agent_epoch), []).append(change)
        for agent, changes_of_agent in by_agent.items():
            self._send_to(agent, changes_of_agent)

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

    def _send_to(self, agent: AgentKey, changes: list[ChangedBinding]) -> None:
        """Sends an agent the commands for its changes, unless it may not receive them now.

        Those that do not fit in one message follow after its answer.
        """
        status = self._reachable_status(agent)
        if status is None:
            return
        machine, agent_epoch = agent
        only_halts = machine in self.committed.taints or status.spot_notice
        wanted: list[tuple[ChangedBinding, Command]] = []
        for change in changes:
            command = self._command_for(*change)
            if command is not None and (isinstance(command, HaltTask) or not only_halts):
                wanted.append((change, command))
        if not wanted:
            return
        commands = agent_wire.fitting([command for _, command in wanted])
        rest = [change for change, _ in wanted[len(commands) :]]
        self.agent_clients.call(
            status.addr,
            "POST",
            agent_wire.COMMANDS_PATH,
            agent_wire.write_direct_commands(self.committed.revision, agent_epoch, commands),
            self.settings.agent_heartbeat_s,
            callback(self.on_command_answer, agent, rest),
        )

    def _reachable_status(self, agent: AgentKey) -> MachineStatus | None:
        """The status of an agent that can receive commands in its agent epoch, else None."""
        machine, agent_epoch = agent
        last_seen = self.evidence.last_seen.get(machine)
        if (
            last_seen is None
            or not last_seen.status.addr
            or last_seen.status.agent_epoch != agent_epoch
            or last_seen.status.unreachable
            or self.now() - last_seen.contact_at > self.settings.lease_s / 2
        ):
            return None
        return last_seen.status

    def on_command_answer(
        self, agent: AgentKey, rest: list[ChangedBinding], status: int, body: Any
    ) -> None:
        """Handles an agent's answer to direct commands; sends it the `rest` of the commands."""
        self.apply_answer(agent[0], status, body)
        if rest and status == HTTPStatus.OK:
            self._send_to(agent, rest)

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
