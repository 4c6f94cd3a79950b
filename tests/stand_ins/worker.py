"""A stand-in for one rented machine and the worker agent on it, as PROTOCOL describes it."""

from collections.abc import Iterator
from dataclasses import dataclass
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
MIN_HEARTBEAT_GAP_S = 0.5  # between two heartbeats of which the second tells of a change
# The interval of heartbeats, as shares of the nominal one.
MIN_INTERVAL_SHARE, MAX_INTERVAL_SHARE = 0.75, 1.25
REDIRECT_DELAY_S = 0.1
NEXT_CONTROLLER_DELAY_S = 1.0
LEASE_CHECK_S = 0.2
HUNG_RETRY_S = 0.5  # how often what a hung machine has to do is tried again


@dataclass(frozen=True)
class WorkerSettings:
    """What all worker agents know."""

    heartbeat_s: float
    lease_s: float
    controllers: list[str]


class Worker:
    """One machine and its agent.

    Attributes:
        up: Whether it has booted and not ended.
        dead: Whether it has ended.
        listed: Whether the cloud lists it.
        hung: Whether it executes nothing and answers nobody for a while.
        faulty: Whether all tasks end in error on it.
        reclaim_at: When the cloud takes it away, if it has said so.
        controller: The place of the controller that gets its heartbeats in `settings.controllers`.
        lease_renewed_at: When the last heartbeat that was answered had been sent.
        heartbeat_count: How many heartbeats it has sent.
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
        self.queued_requests: list[tuple] = []  # what came while the machine hung

    # --- the machine

    def description(self) -> dict[str, Any]:
        """What lists and heartbeats say of the machine itself."""
        address = self.world.address_of(self.name)
        return wire.write_machine(self.name, address, self.type.label, self.zone, self.spot)

    def listed_row(self) -> dict[str, Any]:
        """The machine as the cloud lists it."""
        age_s = self.world.now - self.rented_at
        return wire.write_listed_machine(self.description(), self.up, age_s)

    def boot(self) -> None:
        """Begins to serve, unless it has ended meanwhile."""
        if self.dead:
            return
        self.up = True
        self.lease_renewed_at = self.world.now
        self.world.hosts[self.name] = self.handle
        self.send_heartbeat()
        self.check_lease()

    def end(self) -> None:
        """Ends with all tasks that are on it."""
        self.dead = True
        self.up = False
        self.world.hosts.pop(self.name, None)
        self.tasks.kill_all()

    def hang(self, seconds: float) -> None:
        """Executes nothing and answers nobody; then goes on with what came meanwhile."""
        self.hung = True
        self.world.at(seconds, self.recover)

    def recover(self) -> None:
        """Goes on after a hang."""
        self.hung = False
        if self.dead:
            return
        queued, self.queued_requests = self.queued_requests, []
        for request in queued:
            self.handle(*request)

    def is_usable(self) -> bool:
        """Whether nothing keeps the machine from taking tasks and completing them."""
        return (
            self.up
            and self.listed
            and not self.hung
            and not self.faulty
            and self.reclaim_at is None
        )

    def has_capacity_for(self, job: Submission) -> bool:
        """Whether one more task like this may run here."""
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
        """Looks again and again whether the lease has expired.

        Also on a machine that hangs: it executes nothing, and may only go on within its lease.
        """
        if self.dead:
            return
        if self.world.now - self.lease_renewed_at > self.settings.lease_s:
            self.begin_agent_epoch()
        self.world.at(LEASE_CHECK_S, self.check_lease)

    def begin_agent_epoch(self) -> None:
        """Kills and forgets all tasks."""
        self.tasks.kill_all()
        self.agent_epoch += 1
        self.lease_renewed_at = self.world.now
        self.schedule_change_heartbeat()

    # --- commands

    def handle(self, method: str, path: str, body: bytes, source: str, reply: Reply) -> None:
        """Answers a request of a controller, once the machine does not hang."""
        if self.hung:
            self.queued_requests.append((method, path, body, source, reply))
        elif path == wire.COMMANDS_PATH:
            reply(*self.receive_commands(wire.read_commands(orjson.loads(body))))
        else:
            reply(200, self.heartbeat())

    def receive_commands(self, received: wire.Commands) -> tuple[int, dict[str, Any]]:
        """Executes direct commands unless their fencing token or agent epoch is out of date."""
        if received.fencing_token is None or received.agent_epoch is None:
            return 400, {}
        if received.fencing_token < self.fencing_token or received.agent_epoch != self.agent_epoch:
            return 409, self.heartbeat()
        self.execute(received)
        return 200, self.heartbeat()

    def execute(self, received: wire.Commands) -> None:
        """Executes commands in order."""
        assert received.fencing_token is not None
        self.fencing_token = received.fencing_token
        for command in received.commands:
            self.tasks.execute(command)

    # --- heartbeats

    def schedule_change_heartbeat(self) -> None:
        """Plans a heartbeat that tells of a change, soon."""
        if self.up and not self.in_flight:
            delay = max(0.0, self.last_sent + MIN_HEARTBEAT_GAP_S - self.world.now)
            self.world.at(delay, self.send_heartbeat, self.heartbeat_count)

    def heartbeat(self) -> dict[str, Any]:
        """The body of a heartbeat, and of an answer to commands."""
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
        """The tasks as a heartbeat shows them."""
        return (
            wire.write_task(name, task.attempt, task.state, task.exit_reason, task.checkpointed)
            for name, task in self.tasks.by_name.items()
        )

    def send_heartbeat(self, planned_after: int | None = None) -> None:
        """Sends a heartbeat unless one is in flight.

        Args:
            planned_after: How many had been sent when this one was planned; another one in
                between takes its place. None: it was not planned before.
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
        self.world.request(
            self.name,
            self.settings.controllers[self.controller],
            "POST",
            wire.AGENT_HEARTBEAT_PATH,
            self.heartbeat(),
            HEARTBEAT_TIMEOUT_S,
            lambda status, body: self.receive_answer(sent_at, agent_epoch, status, body),
        )

    def receive_answer(self, sent_at: float, agent_epoch: int, status: int, body: Any) -> None:
        """Goes by the answer to a heartbeat."""
        if self.hung:
            # Dropped if it waits for longer than a worker does; else read when the machine goes on.
            if self.world.now - sent_at >= HEARTBEAT_TIMEOUT_S:
                status = NO_ANSWER
            self.world.at(HUNG_RETRY_S, self.receive_answer, sent_at, agent_epoch, status, body)
            return
        self.in_flight = False
        if self.dead:
            return
        if status == 200:
            self.renew_lease(sent_at, agent_epoch, wire.read_commands(body))
        else:
            self.switch_controller(wire.read_redirect(status, body))

    def renew_lease(self, sent_at: float, agent_epoch: int, received: wire.Commands) -> None:
        """Executes the commands of an answer unless it is out of date."""
        assert received.fencing_token is not None
        if received.fencing_token >= self.fencing_token and agent_epoch == self.agent_epoch:
            self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
            self.execute(received)
        share = self.world.random.uniform(MIN_INTERVAL_SHARE, MAX_INTERVAL_SHARE)
        delay = self.settings.heartbeat_s * share
        self.world.at(delay, self.send_heartbeat, self.heartbeat_count)

    def switch_controller(self, target: str | None) -> None:
        """Sends the next heartbeat to the controller that an answer names, or to the next one."""
        controllers = self.settings.controllers
        if target in controllers and target != controllers[self.controller]:
            self.controller = controllers.index(target)
            delay = REDIRECT_DELAY_S
        else:
            self.controller = (self.controller + 1) % len(controllers)
            delay = NEXT_CONTROLLER_DELAY_S
        self.world.at(delay, self.send_heartbeat, self.heartbeat_count)
