"""A stand-in for a rented machine and its worker agent, which behaves as PROTOCOL describes."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import orjson

from emberglade.transport import NO_ANSWER

from . import wire
from .observer import Observer
from .submissions import Submission
from .tasks import MachineTasks
from .world import Reply, World

if TYPE_CHECKING:
    from .cloud import MachineType

HEARTBEAT_TIMEOUT_S = 4.0
MIN_HEARTBEAT_GAP_S = 0.5  # minimum time between a heartbeat and the next one that reports a change
# The range of the heartbeat interval, as shares of the nominal interval.
MIN_INTERVAL_SHARE, MAX_INTERVAL_SHARE = 0.75, 1.25
REDIRECT_DELAY_S = 0.1
REBOOT_S = 0.3  # how long a restarted agent is down
NEXT_CONTROLLER_DELAY_S = 1.0
LEASE_CHECK_S = 0.2
HUNG_RETRY_S = 0.5  # the retry interval for actions of a hung machine


@dataclass(frozen=True)
class WorkerSettings:
    """Settings that all worker agents share."""

    heartbeat_s: float
    lease_s: float
    controllers: list[str]


class AgentMemory(StrEnum):
    """What a restarted agent knows of its former process, besides the machine's name."""

    NEXT_EPOCH = "next"  # all numbers; it begins its next agent epoch
    SAME_EPOCH = "same"  # all numbers; it goes on in the same agent epoch
    NOTHING = "nothing"  # its agent epoch, sequence and fencing token begin anew


class Worker:
    """One machine and its agent.

    Attributes:
        up: Whether it has booted and has not been stopped.
        dead: Whether it has been stopped permanently.
        listed: Whether the cloud lists it.
        hung: Whether it is hung, so that it executes nothing and answers no request.
        faulty: Whether all tasks on it end in error.
        reclaim_at: When the cloud will reclaim it; None if the cloud has given no notice.
        controller: The index in `settings.controllers` of the controller that gets its heartbeats.
        lease_renewed_at: When the last heartbeat that renewed the lease was sent.
        heartbeat_count: The number of heartbeats sent.
        counts_anew: Whether its agent was restarted and lost its numbers.
        sent_sequence: The sequence number of the last heartbeat.
        executed: The direct commands that were executed, in order.
    """

    def __init__(
        self,
        world: World,
        observer: Observer,
        settings: WorkerSettings,
        machine_type: "MachineType",
        name: str,
        zone: str,
        spot: bool,
    ) -> None:
        self.world = world
        self.observer = observer
        self.settings = settings
        self.type = machine_type
        self.name = name
        self.zone = zone
        self.spot = spot
        self.rented_at = world.now
        self.up = False
        self.dead = False
        self.listed = True
        self.hung = False
        self.faulty = False
        self.reclaim_at: float | None = None
        self.agent_epoch = 1
        self.sequence = 0
        self.fencing_token = 0
        self.tasks = MachineTasks(self)
        self.controller = world.random.randrange(len(settings.controllers))
        self.lease_renewed_at = 0.0
        self.in_flight = False
        self.heartbeat_count = 0
        self.last_sent = -10.0
        self.queued_requests: list[tuple] = []  # requests that arrived while the machine was hung
        self.counts_anew = False
        self.sent_sequence = 0
        self.executed: list[wire.Commands] = []
        self.copies_rng = world.generator(f"copies of {name}")

    # --- the machine

    def description(self) -> dict[str, Any]:
        """The fields of the machine itself in machine lists and heartbeats."""
        address = self.world.address_of(self.name)
        return wire.write_machine(self.name, address, self.type.label, self.zone, self.spot)

    def listed_row(self) -> dict[str, Any]:
        """The machine's row in the cloud's machine list."""
        age_s = self.world.now - self.rented_at
        return wire.write_listed_machine(self.description(), self.up, age_s)

    def boot(self) -> None:
        """Starts to serve, unless the machine has been stopped meanwhile."""
        if self.dead:
            return
        self.up = True
        self.lease_renewed_at = self.world.now
        self.world.hosts[self.name] = self.handle
        self.send_heartbeat()
        self.check_lease()

    def end(self) -> None:
        """Stops the machine permanently, with all its tasks."""
        self.dead = True
        self.up = False
        self.world.hosts.pop(self.name, None)
        self.tasks.kill_all()

    def hang(self, seconds: float) -> None:
        """Hangs the machine for a while; requests that arrive meanwhile are queued."""
        self.hung = True
        self.world.at(seconds, self.recover)

    def recover(self) -> None:
        """Resumes after a hang, with the queued requests."""
        self.hung = False
        if self.dead:
            return
        queued, self.queued_requests = self.queued_requests, []
        for request in queued:
            self.handle(*request)

    def restart_agent(self, memory: AgentMemory) -> None:
        """Restarts the agent, which loses its tasks."""
        self.world.hosts[self.name] = None
        self.hang(REBOOT_S)
        self.begin_agent_epoch()
        if memory is AgentMemory.SAME_EPOCH:
            self.agent_epoch -= 1
        elif memory is AgentMemory.NOTHING:
            self.agent_epoch, self.sequence, self.fencing_token = 1, 0, 0
            self.counts_anew = True
        self.world.at(REBOOT_S, self.serve)

    def serve(self) -> None:
        """Accepts requests, unless the machine has been stopped meanwhile."""
        if not self.dead:
            self.world.hosts[self.name] = self.handle

    def is_usable(self) -> bool:
        """Whether the machine can accept tasks and complete them."""
        return (
            self.up
            and self.listed
            and not self.hung
            and not self.faulty
            and self.reclaim_at is None
        )

    def has_capacity_for(self, job: Submission) -> bool:
        """Whether the machine has capacity for one more task of a job, and the job allows it."""
        cpus, ram_gb = self.tasks.usage()
        return (
            cpus + job.cpus <= self.type.cpus
            and ram_gb + job.ram_gb <= self.type.ram_gb
            and job.zone in (None, self.zone)
            and (job.spot or not self.spot)
            and self.type.label in (job.allowed_types or [self.type.label])
        )

    # --- the lease

    def check_lease(self) -> None:
        """Checks periodically whether the lease has expired.

        A hung machine checks too: its tasks may only continue if it recovers within its lease.
        """
        if self.dead:
            return
        if self.world.now - self.lease_renewed_at > self.settings.lease_s:
            self.begin_agent_epoch()
        self.world.at(LEASE_CHECK_S, self.check_lease)

    def begin_agent_epoch(self) -> None:
        """Kills and removes all tasks and increments the agent epoch."""
        self.tasks.kill_all()
        self.agent_epoch += 1
        self.lease_renewed_at = self.world.now
        self.schedule_change_heartbeat()

    # --- commands

    def handle(self, method: str, path: str, body: bytes, source: str, reply: Reply) -> None:
        """Answers a controller's request; a hung machine queues it until it recovers."""
        if self.hung:
            self.queued_requests.append((method, path, body, source, reply))
        elif len(body) > wire.MAX_LINE_BYTES:
            self.note_long_line(len(body))
            reply(400, {})
        elif path == wire.COMMANDS_PATH:
            reply(*self.receive_commands(wire.read_commands(orjson.loads(body))))
        else:
            reply(200, self.heartbeat())

    def note_long_line(self, size: int) -> None:
        """Records a message that is longer than PROTOCOL allows; the agent executes none of it."""
        self.observer.record("long_line", f"{self.name} is sent {size} bytes in one line")

    def receive_commands(self, received: wire.Commands) -> tuple[int, dict[str, Any]]:
        """Executes direct commands unless their fencing token or agent epoch is stale."""
        if received.fencing_token is None or received.agent_epoch is None:
            return 400, {}
        if received.fencing_token < self.fencing_token or received.agent_epoch != self.agent_epoch:
            return 409, self.heartbeat()
        self.execute(received)
        self.executed.append(received)
        self.schedule_copy(received)
        return 200, self.heartbeat()

    def schedule_copy(self, received: wire.Commands) -> None:
        """Schedules a late copy of executed commands, if the fault is on and draws one."""
        copies = self.world.command_copies
        if copies is not None and self.copies_rng.random() < copies.chance:
            delay = self.copies_rng.uniform(copies.min_delay_s, copies.max_delay_s)
            self.world.at(delay, self.receive_copy, received)

    def receive_copy(self, copy: wire.Commands) -> None:
        """Receives a copy of direct commands that were executed before; nobody gets the answer."""
        if not self.up:
            return
        if self.hung:
            self.world.at(HUNG_RETRY_S, self.receive_copy, copy)
        elif copy.fencing_token is not None and (
            copy.fencing_token >= self.fencing_token and copy.agent_epoch == self.agent_epoch
        ):
            self.execute(copy)

    def execute(self, received: wire.Commands) -> None:
        """Executes commands in order."""
        assert received.fencing_token is not None
        self.fencing_token = received.fencing_token
        for command in received.commands:
            self.tasks.execute(command)

    # --- heartbeats

    def schedule_change_heartbeat(self) -> None:
        """Schedules a heartbeat that reports a change, at most one per MIN_HEARTBEAT_GAP_S."""
        if self.up and not self.in_flight:
            delay = max(0.0, self.last_sent + MIN_HEARTBEAT_GAP_S - self.world.now)
            self.world.at(delay, self.send_heartbeat, self.heartbeat_count)

    def heartbeat(self) -> dict[str, Any]:
        """Builds the body of a heartbeat or of an answer to commands."""
        self.sequence += 1
        reclaimed_in_s = None
        if self.reclaim_at is not None:
            reclaimed_in_s = max(0.0, self.reclaim_at - self.world.now)
        return wire.write_agent_heartbeat(
            self.description(),
            self.agent_epoch,
            self.sequence,
            self.fencing_token,
            reclaimed_in_s,
            self.task_rows(),
        )

    def task_rows(self) -> Iterator[dict[str, Any]]:
        """The rows of the tasks in a heartbeat."""
        return (
            wire.write_task(key.task, key.attempt, task.state, task.exit_reason, task.checkpointed)
            for key, task in self.tasks.behavior.ordered(self.tasks.attempts.items())
        )

    def send_heartbeat(self, planned_after: int | None = None) -> None:
        """Sends a heartbeat unless one is in flight.

        Args:
            planned_after: The number of heartbeats sent when this one was scheduled; it is skipped
                if another one was sent since. If None, it is never skipped for that reason.
        """
        if self.hung:
            self.world.at(HUNG_RETRY_S, self.send_heartbeat, planned_after)
            return
        superseded = planned_after is not None and planned_after != self.heartbeat_count
        if self.dead or self.in_flight or superseded:
            return
        self.heartbeat_count += 1
        self.in_flight = True
        self.last_sent = self.world.now
        sent_at, agent_epoch = self.world.now, self.agent_epoch
        heartbeat = self.heartbeat()
        self.sent_sequence = self.sequence
        self.world.request(
            self.name,
            self.settings.controllers[self.controller],
            "POST",
            wire.AGENT_HEARTBEAT_PATH,
            heartbeat,
            HEARTBEAT_TIMEOUT_S,
            lambda status, body: self.receive_answer(sent_at, agent_epoch, status, body),
        )

    def receive_answer(self, sent_at: float, agent_epoch: int, status: int, body: Any) -> None:
        """Handles the answer to a heartbeat."""
        if self.hung:
            # The answer is kept until the machine recovers, unless the heartbeat times out first.
            if self.world.now - sent_at >= HEARTBEAT_TIMEOUT_S:
                status = NO_ANSWER
            self.world.at(HUNG_RETRY_S, self.receive_answer, sent_at, agent_epoch, status, body)
            return
        self.in_flight = False
        if self.dead:
            return
        size = len(orjson.dumps(body)) if body is not None else 0
        if size > wire.MAX_LINE_BYTES:
            self.note_long_line(size)
            self.switch_controller(None)
        elif status == 200:
            self.renew_lease(sent_at, agent_epoch, wire.read_commands(body))
        else:
            self.switch_controller(wire.read_redirect(status, body))

    def renew_lease(self, sent_at: float, agent_epoch: int, received: wire.Commands) -> None:
        """Renews the lease and executes an answer's commands, unless the answer is stale."""
        token = received.fencing_token
        if token is None:
            # Only an outdated heartbeat may be answered so: one that the agent's own answer to a
            # command has overtaken, or one of an agent that counts anew.
            assert self.counts_anew or self.sequence > self.sent_sequence, self.name
            assert not received.commands, received.commands
        if token is not None and token >= self.fencing_token and agent_epoch == self.agent_epoch:
            self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
            self.execute(received)
        share = self.world.random.uniform(MIN_INTERVAL_SHARE, MAX_INTERVAL_SHARE)
        delay = self.settings.heartbeat_s * share
        self.world.at(delay, self.send_heartbeat, self.heartbeat_count)

    def switch_controller(self, target: str | None) -> None:
        """Sends the next heartbeat to `target`, or to the next controller in the list."""
        controllers = self.settings.controllers
        if target in controllers and target != controllers[self.controller]:
            self.controller = controllers.index(target)
            delay = REDIRECT_DELAY_S
        else:
            self.controller = (self.controller + 1) % len(controllers)
            delay = NEXT_CONTROLLER_DELAY_S
        self.world.at(delay, self.send_heartbeat, self.heartbeat_count)
