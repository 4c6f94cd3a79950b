"""The machines that this controller knows, as it sends them to the job manager."""

import logging
from typing import Any

from ..actors import Actor, send, send_after
from ..placement import Machine
from .lease_evidence import LastSeen
from .routing import Routing
from .shared_state import AgentPart, SharedState
from .tables import TABLE_INTERVAL_S

log = logging.getLogger("emberglade.agents")

MAX_LOGGED_NAMES = 8  # machine names in one log line
MAX_UPDATES_PER_HEARTBEAT = 8  # changes between two updates are sent together


def log_machines(message: str, names: list[str]) -> None:
    """Logs one line for a list of machines; after a restart hundreds change at once."""
    others = " and others" if len(names) > MAX_LOGGED_NAMES else ""
    log.info(message, len(names), " ".join(names[:MAX_LOGGED_NAMES]), others)


class MachineInventory(AgentPart):
    """Sends the job manager all machines, at a regular interval and soon after a change.

    Attributes:
        new_machines, newly_unreachable, newly_reachable: Machines to be named in the next log line.
    """

    def __init__(
        self,
        actor: Actor,
        shared: SharedState,
        job_manager: Any,
        routing: Routing,
    ) -> None:
        super().__init__(actor, shared)
        self.job_manager = job_manager
        self.routing = routing
        self.machines: dict[str, Machine] = {}
        self.notified_at = float("-inf")
        self.update_scheduled = False
        self.new_machines: list[str] = []
        self.newly_unreachable: list[str] = []
        self.newly_reachable: list[str] = []

    def schedule_update(self) -> None:
        """Schedules an update for the job manager; changes until then are sent with it."""
        if not self.update_scheduled:
            self.update_scheduled = True
            send_after(
                self.settings.agent_heartbeat_s / MAX_UPDATES_PER_HEARTBEAT,
                self.on_update_inventory,
            )

    def on_update_inventory(self) -> None:
        """Handles `update_inventory`, from `schedule_update`: logs the changes and sends them."""
        self.update_scheduled = False
        self._log_changes()
        self.notify_job_manager()

    def update_if_due(self) -> None:
        """Sends all machines if the regular interval has passed."""
        if self.now() - self.notified_at >= self.settings.peer_exchange_s:
            self.notify_job_manager()

    def _log_changes(self) -> None:
        for message, names in (
            ("%d machines now send heartbeats to this controller: %s%s", self.new_machines),
            (
                "%d machines lost their lease although their heartbeats were answered; "
                "no tasks are started on them until they receive answers again: %s%s",
                self.newly_unreachable,
            ),
            (
                "%d machines receive answers again; tasks may be started on them: %s%s",
                self.newly_reachable,
            ),
        ):
            if names:
                log_machines(message, names)
                names.clear()

    def notify_job_manager(self) -> None:
        """Drops outdated records; sends the job manager all machines of types in the catalog."""
        now = self.now()
        self.records.forget_old(now)
        self.routing.forget_old(now)
        self.evidence.forget_old(now)
        self.committed.forget_unbound(self.evidence.last_seen)
        recent_s = 3 * self.settings.agent_heartbeat_s + 1
        if self.evidence.lacks_recent_answers(now):
            # Some machines may be known only from tables, which arrive less often than answers.
            recent_s += TABLE_INTERVAL_S
        machine_types = self.committed.machine_types
        self.machines = {
            name: self._machine(name, last_seen, now - last_seen.contact_at < recent_s)
            for name, last_seen in self.evidence.last_seen.items()
            if last_seen.status.type in machine_types
        }
        self.notified_at = now
        send(self.job_manager.on_inventory, self.machines)

    def _machine(self, name: str, last_seen: LastSeen, recently_in_contact: bool) -> Machine:
        """A machine as placement sees it: the same object as long as none of its fields change."""
        status = last_seen.status
        machine_type = self.committed.machine_types[status.type]
        schedulable = recently_in_contact and not status.spot_notice and not status.unreachable
        previous = self.machines.get(name)
        if (
            previous is not None
            and previous.agent_epoch == status.agent_epoch
            and previous.schedulable == schedulable
            and previous.type is machine_type
        ):
            return previous
        return Machine(
            name, machine_type, status.zone, status.spot, status.agent_epoch, schedulable
        )
