"""Halts of cancelled jobs' tasks, sent directly to their machines.

A cancellation reaches a task in the next answer to its machine's heartbeat, if the controller that
answers knows of the cancellation. A controller without contact with the store may still receive
agents' heartbeats and not know of it. So the controller that confirms a cancellation to a user
halts the tasks itself and notifies its peers. Every other controller that knows of the cancellation
waits HALT_DELAY_HEARTBEATS heartbeat intervals and then halts the tasks that the replica still
shows as bound (docs/safety.md, 8).
"""

from typing import Any, NamedTuple

from .. import peer_paths
from ..actors import Actor, callback, send_after
from .cancelled_jobs import Cancellation
from .direct_commands import DirectCommands
from .lease_evidence import NEVER, LastSeen
from .shared_state import AgentPart, SharedState
from .wire import agents as agent_wire
from .wire import peers as peer_wire
from .wire.agents import AgentHeartbeat, HaltTask
from .wire.tasks import EXITED, ReportedTasks

# HTTP status: the agent has seen a higher fencing token, or is in another agent epoch.
COMMANDS_REFUSED = 409
# One unanswered halt is allowed per this many file descriptors that the process may open.
DESCRIPTORS_PER_HALT = 128


class SentHalt(NamedTuple):
    """The last direct halt sent to a machine."""

    agent_epoch: int
    sent_at: float


NO_HALT = SentHalt(0, NEVER)


class DirectHalts(AgentPart):
    """Halts cancelled tasks, whichever controller their machines send heartbeats to."""

    def __init__(
        self,
        actor: Actor,
        shared: SharedState,
        peers: dict[str, Any],
        agent_clients: Any,
        direct_commands: DirectCommands,
    ) -> None:
        super().__init__(actor, shared)
        self.peers = peers
        self.agent_clients = agent_clients
        self.direct_commands = direct_commands
        self.last_halts: dict[str, SentHalt] = {}  # by machine
        self.awaiting_answer: set[str] = set()  # machines with an unanswered halt
        # A halt sent to an unresponsive machine blocks a thread until its timeout; direct starts
        # need these threads as well.
        self.max_awaiting = max(2, self.settings.fd_limit // DESCRIPTORS_PER_HALT)
        self.halts_deferred = False  # halts are pending because too many are unanswered

    def confirm(self, job_id: str) -> None:
        """Halts a job and notifies the peers, because its cancellation is confirmed to a user."""
        cancellation = self.committed.cancelled.by_job.get(job_id)
        if cancellation is None:
            return
        cancellation.halt_due_at = self.now()
        for link in self.peers.values():
            link.call(
                "POST",
                peer_paths.CANCELLATION,
                peer_wire.write_cancellation(job_id, cancellation.revision),
                self.settings.agent_heartbeat_s,
                lambda status, body: None,
            )
        self.halt_job(job_id)

    def take_over_halts(self) -> None:
        """Halts all cancelled jobs without delay: a dead peer may not have sent its halts."""
        self.committed.cancelled.advance_all(self.now())
        self._halt_due_jobs()

    def on_repeat_halts(self) -> None:
        """Handles `repeat_halts`, a timer: sends due halts again every half heartbeat interval."""
        send_after(self.settings.agent_heartbeat_s / 2, self.on_repeat_halts)
        self.committed.cancelled.forget_announced(self.committed.revision)
        self.last_halts = {
            machine: halt
            for machine, halt in self.last_halts.items()
            if self.now() - halt.sent_at < self.settings.lease_s
        }
        self._halt_due_jobs()

    def _halt_due_jobs(self) -> None:
        self.halts_deferred = False
        for job_id in self.committed.cancelled.due(self.now()):
            self.halt_job(job_id)

    def halt_job(self, job_id: str) -> None:
        """Sends halts for a cancelled job's bound tasks that are not known to have ended."""
        cancellation = self.committed.cancelled.by_job[job_id]
        now = self.now()
        for machine, agent_epoch in self._agents_to_halt(job_id, cancellation):
            if len(self.awaiting_answer) >= self.max_awaiting:
                self.halts_deferred = True
                return
            last_seen = self.evidence.last_seen.get(machine)
            if last_seen is None or not self._may_halt(last_seen, machine, agent_epoch):
                continue
            last = self.last_halts.get(machine, NO_HALT)
            just_halted = (
                last.agent_epoch == agent_epoch
                and now - last.sent_at < self.settings.agent_heartbeat_s
                and cancellation.halt_due_at < last.sent_at
            )
            if not just_halted:
                addr = last_seen.status.addr
                self._send_halts(machine, agent_epoch, addr, self.committed.revision)

    def _agents_to_halt(self, job_id: str, cancellation: Cancellation) -> list[tuple[str, int]]:
        """The (machine, agent epoch) of a job's bound tasks that are not known to have ended."""
        job = self.committed.bindings.jobs[job_id]
        agents = (
            (machine, agent_epoch)
            for task, (attempt, machine, agent_epoch, *_) in job.bindings()
            if (task, attempt) not in cancellation.ended
        )
        return list(dict.fromkeys(agents))  # without duplicates, in the record's order

    def _may_halt(self, last_seen: LastSeen, machine: str, agent_epoch: int) -> bool:
        return (
            bool(last_seen.status.addr)
            and last_seen.status.agent_epoch <= agent_epoch
            and machine not in self.awaiting_answer
        )

    def _send_halts(self, machine: str, agent_epoch: int, addr: str, fencing_token: int) -> None:
        """Halts a machine's cancelled tasks that are not known to have ended.

        One message holds as many as fit; the others follow after its answer. The message's fencing
        token is at least the revision of each of their cancellations, so that no start from before
        a cancellation is accepted afterwards, however late it arrives.
        """
        commands = []
        for key, desired in self.committed.bindings.of_machine(machine).items():
            cancellation = self.committed.cancelled.by_job.get(key[0])
            if (
                cancellation is not None
                and desired.agent_epoch == agent_epoch
                and (key[1], desired.attempt) not in cancellation.ended
            ):
                fencing_token = max(fencing_token, cancellation.revision)
                commands.append(HaltTask(key, desired.attempt, 0))
        if not commands:
            return
        self.last_halts[machine] = SentHalt(agent_epoch, self.now())
        self.awaiting_answer.add(machine)
        self.agent_clients.call(
            addr,
            "POST",
            agent_wire.COMMANDS_PATH,
            agent_wire.write_direct_commands(fencing_token, agent_epoch, commands),
            self.settings.agent_heartbeat_s,
            callback(
                self.on_halt_answer,
                machine,
                agent_epoch,
                addr,
                fencing_token,
                len(agent_wire.fitting(commands)) < len(commands),
            ),
        )

    def on_halt_answer(
        self,
        machine: str,
        agent_epoch: int,
        addr: str,
        fencing_token: int,
        incomplete: bool,
        status: int,
        body: Any,
    ) -> None:
        """Handles an agent's answer to a direct halt: records ended tasks, or repeats the halt.

        `incomplete`: more tasks are to be halted than the message could hold.
        """
        self.awaiting_answer.discard(machine)
        answer = self.direct_commands.apply_answer(machine, status, body)
        if answer is None:
            return
        heartbeat, tasks = answer
        if (
            status == COMMANDS_REFUSED
            and heartbeat.agent_epoch == agent_epoch
            and heartbeat.fencing_token > fencing_token
        ):
            # The agent has seen a higher fencing token. A halt of a cancelled job's task is always
            # valid, so it is sent again with that token.
            self._send_halts(machine, agent_epoch, addr, heartbeat.fencing_token)
            return
        ended = self._note_ended(machine, heartbeat, tasks)
        if incomplete and ended:
            self._send_halts(machine, agent_epoch, addr, self.committed.revision)
        if self.halts_deferred:
            self._halt_due_jobs()

    def _note_ended(self, machine: str, heartbeat: AgentHeartbeat, tasks: ReportedTasks) -> int:
        """Records which cancelled tasks have ended according to a machine's heartbeat.

        Returns how many of them were not known to have ended.
        """
        newly_ended = 0
        for key, desired in self.committed.bindings.of_machine(machine).items():
            cancellation = self.committed.cancelled.by_job.get(key[0])
            if cancellation is None:
                continue
            found = tasks.attempt(key, desired.attempt)
            if found is None:
                # Only with this fencing token would the agent refuse a start that is on its way.
                ended = (
                    heartbeat.agent_epoch > desired.agent_epoch
                    or heartbeat.fencing_token >= cancellation.revision
                )
            else:
                ended = found.state is EXITED
            task = (key[1], desired.attempt)
            if ended and task not in cancellation.ended:
                cancellation.ended.add(task)
                newly_ended += 1
        return newly_ended
