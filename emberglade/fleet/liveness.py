"""Cordons machines that fall silent, and lets their tasks move once their leases are over."""

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

WATCHES_PER_HEARTBEAT = 6
LOST_AFTER_LEASES = 0.6  # of silence
HEARD_WITHIN_HEARTBEATS = 2  # counts as in touch
FORGOTTEN_AFTER_LEASES = 6  # of silence, for a machine that is not there either

LOST_OR_DRAIN = (Taint.LOST, Taint.DRAIN)
LOST_OR_ENDED = (Taint.LOST, Taint.ENDED)


class LivenessWatch(ActorPart):
    """Taints machines as lost or ended, and removes these taints when they are back."""

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

    def ask(self, tainted_only: bool = False) -> None:
        """Asks the agent manager how silent machines are."""
        if tainted_only:
            send(self.agents.on_ask_liveness, callback(self.on_liveness), True)
        else:
            send(self.agents.on_ask_liveness, callback(self.on_liveness))

    def on_watch(self) -> None:
        """Handles `watch`, sent to itself several times a heartbeat.

        Tasks of a silent machine wait for proof that its lease is over: asked more often.
        """
        send_after(self.settings.agent_heartbeat_s / WATCHES_PER_HEARTBEAT, self.on_watch)
        if self.leadership.is_leader and self._awaits_proof():
            self.ask(tainted_only=True)

    def _awaits_proof(self) -> bool:
        """Whether tasks of a lost machine may not move yet."""
        lost, occupied = Taint.LOST, self.machines.occupied
        return any(taint == lost and name in occupied for name, taint in self.taints.items())

    def on_liveness(self, liveness_of: "dict[str, MachineLiveness]", slack_s: float) -> None:
        """Handles the agent manager's answer: changes the taints that are due.

        Args:
            liveness_of: {machine: MachineLiveness}.
            slack_s: How much older than usual this knowledge may be.
        """
        if not self.leadership.is_leader:
            return
        now = self.now()
        self._note(liveness_of, now)
        lost_after_s = self.settings.lease_s * LOST_AFTER_LEASES + slack_s
        lost, ended, back = [], [], []
        for name, liveness in liveness_of.items():
            taint = self.taints.get(name)
            if taint is None:
                last_heard, _, unreachable, _ = liveness  # of thousands, each second
                if unreachable or (
                    now - last_heard > lost_after_s and name in self.machines.occupied
                ):
                    lost.append(name)
                continue
            if self._has_ended(name, taint, liveness):
                ended.append(name)
            elif self._is_back(name, taint, liveness, now):
                back.append(name)
        self._change(lost, Taint.LOST, "lost: no controller is in touch with %s, or can't reach it")
        self._change(ended, Taint.ENDED, "the leases of %s are over; their tasks move")
        self._change(back, None, "no longer lost: %s")

    def _note(self, liveness_of: "dict[str, MachineLiveness]", now: float) -> None:
        """Notes on each machine of the account when it was last heard, and if it is unreachable."""
        lease_s = self.settings.lease_s
        running = MachineState.RUNNING
        for name, (last_heard, _, unreachable, _) in liveness_of.items():
            machine = self.machines.by_name.get(name)
            if machine is None:
                continue
            if last_heard > machine.last_heard and now - last_heard < lease_s:
                machine.last_heard = last_heard
                machine.state = running
            if not unreachable:
                machine.unreachable_since = None
            elif machine.unreachable_since is None:
                machine.unreachable_since = now

    def _has_ended(self, name: str, taint: str, liveness: "MachineLiveness") -> bool:
        """Whether the tasks of a tainted machine may move: nothing runs there any more."""
        return liveness.leases_over and taint in LOST_OR_DRAIN and name in self.machines.occupied

    def _is_back(self, name: str, taint: str, liveness: "MachineLiveness", now: float) -> bool:
        """Whether a machine loses its taint: it is in touch again, or is there no more."""
        if taint not in LOST_OR_ENDED:
            return False
        quiet_s = now - liveness.heard_at
        occupied = name in self.machines.occupied
        in_touch_s = HEARD_WITHIN_HEARTBEATS * self.settings.agent_heartbeat_s
        # Once broken: a new leader took its own birth for a sign of life of the machines behind a
        # cut (fleet/taint_kept_by_new_leader.txt).
        if liveness.ever_heard and quiet_s < in_touch_s and not liveness.unreachable:
            return taint == Taint.LOST or not occupied
        forgotten_s = FORGOTTEN_AFTER_LEASES * self.settings.lease_s
        return name not in self.machines.by_name and not occupied and quiet_s > forgotten_s

    def _change(self, names: list[str], taint: Taint | None, message: str) -> None:
        """Changes the taint of these machines, but for those with a change under way."""
        names = [name for name in names if not self.taint_writer.is_changing(name)]
        if names:
            log.info(message, shorten_names(names))
            self.taint_writer.change(names, taint)
