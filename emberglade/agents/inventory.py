"""The machines that the job manager may place tasks on."""

import logging
from typing import Any

from ..actors import Actor, send, send_after
from ..placement import Machine
from .lease_evidence import LastSeen
from .routing import Routing
from .shared_state import AgentPart, SharedState
from .tables import TABLE_INTERVAL_S

log = logging.getLogger("emberglade.agents")

MAX_LOGGED_NAMES = 8  # names in one log line
MAX_UPDATES_PER_HEARTBEAT = 8  # news of machines are gathered for this part of a heartbeat interval


def log_machines(message: str, names: list[str]) -> None:
    """Logs one line for all machines of a list; after a restart hundreds come at once."""
    others = " and others" if len(names) > MAX_LOGGED_NAMES else ""
    log.info(message, len(names), " ".join(names[:MAX_LOGGED_NAMES]), others)


class MachineInventory(AgentPart):
    """Tells the job manager of all machines, from time to time and soon after something changed.

    Attributes:
        new_machines, newly_unreachable, newly_reachable: Machines, for the log.
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
        self.update_due = False
        self.new_machines: list[str] = []
        self.newly_unreachable: list[str] = []
        self.newly_reachable: list[str] = []

    def schedule_update(self) -> None:
        """Has the job manager told of something new, together with what else is new by then."""
        if not self.update_due:
            self.update_due = True
            send_after(
                self.settings.agent_heartbeat_s / MAX_UPDATES_PER_HEARTBEAT,
                self.on_update_inventory,
            )

    def on_update_inventory(self) -> None:
        """Handles `update_inventory`, from `schedule_update`: logs what is new, and tells of it."""
        self.update_due = False
        self._log_news()
        self.notify_job_manager()

    def update_if_due(self) -> None:
        """Tells of all machines if that is due."""
        if self.now() - self.notified_at >= self.settings.peer_exchange_s:
            self.notify_job_manager()

    def _log_news(self) -> None:
        for message, names in (
            ("%d machines begin to send heartbeats here: %s%s", self.new_machines),
            (
                "%d machines lost their lease although they were answered; "
                "they get no work until they hear us: %s%s",
                self.newly_unreachable,
            ),
            ("%d machines hear us again: %s%s", self.newly_reachable),
        ):
            if names:
                log_machines(message, names)
                names.clear()

    def notify_job_manager(self) -> None:
        """Tells the job manager of all machines that were heard lately, after forgetting others."""
        now = self.now()
        self.records.forget_old(now)
        self.routing.forget_old(now)
        self.evidence.forget_old(now)
        recent_s = 3 * self.settings.agent_heartbeat_s + 1
        if self.evidence.lacks_recent_answers(now):
            # Their tables come less often than their answers would.
            recent_s += TABLE_INTERVAL_S
        machine_types = self.committed.machine_types
        self.machines = {
            name: self._machine(name, last_seen, now - last_seen.contact_at < recent_s)
            for name, last_seen in self.evidence.last_seen.items()
            if last_seen.status.type in machine_types
        }
        self.notified_at = now
        send(self.job_manager.on_inventory, self.machines)

    def _machine(self, name: str, last_seen: LastSeen, heard_recently: bool) -> Machine:
        """A machine as placing sees it: the same object as long as nothing of it changes."""
        status = last_seen.status
        machine_type = self.committed.machine_types[status.type]
        schedulable = heard_recently and not status.spot_notice and not status.unreachable
        known = self.machines.get(name)
        if (
            known is not None
            and known.agent_epoch == status.agent_epoch
            and known.schedulable == schedulable
            and known.type is machine_type
        ):
            return known
        return Machine(
            name, machine_type, status.zone, status.spot, status.agent_epoch, schedulable
        )
