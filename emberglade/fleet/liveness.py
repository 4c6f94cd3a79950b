"""Taints machines without recent heartbeats.

The tasks of such a machine may move once the machine's leases have provably expired.
"""

import logging
from typing import TYPE_CHECKING

from ..actors import Actor, ActorPart, callback, send, send_after
from ..config import Settings
from .leadership import Leadership
from .machines import FleetMachines, shorten_names
from .states import MachineState, Taint
from .taint_writer import TaintWriter

if TYPE_CHECKING:
    from ..agents import AgentManager
    from ..agents.liveness import MachineLiveness

log = logging.getLogger("emberglade.fleet")

CHECKS_PER_HEARTBEAT = 6
LOST_AFTER_LEASES = 0.6  # lease durations without a heartbeat until a machine is tainted as lost
ALIVE_WITHIN_HEARTBEATS = 2  # maximum age of the last heartbeat of a machine that is alive
FORGET_AFTER_LEASES = 6  # lease durations without a heartbeat, for machines no longer listed

LOST_OR_DRAIN = (Taint.LOST, Taint.DRAIN)
LOST_OR_ENDED = (Taint.LOST, Taint.ENDED)


class LivenessWatch(ActorPart):
    """Taints machines as lost or ended, and removes these taints again.

    They are removed from machines that are alive again or no longer exist.
    """

    def __init__(
        self,
        actor: Actor,
        settings: Settings,
        agents: "AgentManager",
        leadership: Leadership,
        machines: FleetMachines,
        taint_writer: TaintWriter,
    ) -> None:
        super().__init__(actor)
        self.settings = settings
        self.agents = agents
        self.leadership = leadership
        self.machines = machines
        self.taints = machines.taints
        self.taint_writer = taint_writer

    def request_liveness(self, tainted_only: bool = False) -> None:
        """Requests the liveness of machines from the agent manager."""
        if tainted_only:
            send(self.agents.on_ask_liveness, callback(self.on_liveness), True)
        else:
            send(self.agents.on_ask_liveness, callback(self.on_liveness))

    def on_watch(self) -> None:
        """Handles `watch`, sent to itself several times per heartbeat interval.

        While tasks are bound to lost machines, requests the machines' liveness more often than the
        autoscaler's tick does: the tasks may move as soon as the machines' leases are proven to
        have expired.
        """
        send_after(self.settings.agent_heartbeat_s / CHECKS_PER_HEARTBEAT, self.on_watch)
        if self.leadership.is_leader and self._has_tasks_on_lost_machines():
            self.request_liveness(tainted_only=True)

    def _has_tasks_on_lost_machines(self) -> bool:
        """Whether tasks are bound to lost machines, from which they may not be moved yet."""
        lost, occupied = Taint.LOST, self.machines.occupied
        return any(taint == lost and name in occupied for name, taint in self.taints.items())

    def on_liveness(self, liveness_of: "dict[str, MachineLiveness]", slack_s: float) -> None:
        """Handles the agent manager's answer: changes taints where needed.

        Args:
            liveness_of: {machine: MachineLiveness}.
            slack_s: How much older than usual the last heartbeats in `liveness_of` may be.
        """
        if not self.leadership.is_leader:
            return
        now = self.now()
        self._update_machines(liveness_of, now)
        lost_after_s = self.settings.lease_s * LOST_AFTER_LEASES + slack_s
        lost, ended, returned = [], [], []
        for name, liveness in liveness_of.items():
            taint = self.taints.get(name)
            if taint is None:
                # Unpacked for speed: this runs for thousands of machines each second.
                contact_at, _, unreachable, _ = liveness
                if unreachable or (
                    now - contact_at > lost_after_s and name in self.machines.occupied
                ):
                    lost.append(name)
                continue
            if self._may_move_tasks(name, taint, liveness):
                ended.append(name)
            elif self._may_remove_taint(name, taint, liveness, now):
                returned.append(name)
        self._change(
            lost,
            Taint.LOST,
            "tainting as lost: %s (no recent heartbeat, or unreachable); no new tasks there",
        )
        self._change(
            ended,
            Taint.ENDED,
            "tainting as ended: %s (leases expired); their tasks move to other machines",
        )
        self._change(
            returned,
            None,
            "removing taint lost or ended: %s (alive again, or removed from the fleet)",
        )

    def _update_machines(self, liveness_of: "dict[str, MachineLiveness]", now: float) -> None:
        """Updates last heartbeat, state and reachability in the leader's machine records."""
        lease_s = self.settings.lease_s
        running = MachineState.RUNNING
        for name, (contact_at, _, unreachable, _) in liveness_of.items():
            machine = self.machines.by_name.get(name)
            if machine is None:
                continue
            if contact_at > machine.last_heartbeat_at and now - contact_at < lease_s:
                machine.last_heartbeat_at = contact_at
                machine.state = running
            if not unreachable:
                machine.unreachable_since = None
            elif machine.unreachable_since is None:
                machine.unreachable_since = now

    def _may_move_tasks(self, name: str, taint: str, liveness: "MachineLiveness") -> bool:
        """Whether the tasks of a tainted machine may move, as nothing can run there any more."""
        return liveness.leases_expired and taint in LOST_OR_DRAIN and name in self.machines.occupied

    def _may_remove_taint(
        self, name: str, taint: str, liveness: "MachineLiveness", now: float
    ) -> bool:
        """Whether to remove a machine's taint: it is alive again, or it no longer exists."""
        if taint not in LOST_OR_ENDED:
            return False
        since_heartbeat_s = now - liveness.contact_at
        occupied = name in self.machines.occupied
        alive_within_s = ALIVE_WITHIN_HEARTBEATS * self.settings.agent_heartbeat_s
        # If no heartbeat has been received, `contact_at` is the start of this process. A new leader
        # must not treat that as evidence that machines behind a network partition are alive
        # (fleet/taint_kept_by_new_leader.txt).
        if (
            liveness.heartbeat_received
            and since_heartbeat_s < alive_within_s
            and not liveness.unreachable
        ):
            return taint == Taint.LOST or not occupied
        forget_after_s = FORGET_AFTER_LEASES * self.settings.lease_s
        return (
            name not in self.machines.by_name
            and not occupied
            and since_heartbeat_s > forget_after_s
        )

    def _change(self, names: list[str], taint: Taint | None, message: str) -> None:
        """Changes the taint of these machines, except those with a change in progress."""
        names = [name for name in names if not self.taint_writer.is_changing(name)]
        if names:
            log.info(message, shorten_names(names))
            self.taint_writer.change(names, taint)
