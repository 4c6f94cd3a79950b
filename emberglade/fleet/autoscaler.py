"""The autoscaler of the fleet. Only the leader's acts; every controller's follows the replica.

Every durable step is conditional on the leader's key, so a former leader can't write any more.
What it may still do at the cloud harms nobody: names of requests are never used twice, and a
machine's scale-in is proof for moving its tasks only to the leader that then writes the taint.
"""

import logging
from typing import TYPE_CHECKING

from ..actors import callback, send, send_after
from ..config import Operators, Settings
from ..membership import FORMAT_KEY, is_raised
from ..membership.wire import LEADER_KEY, NODE_PREFIX
from ..state import ReplicaSubscriber, Store
from ..transport import Client
from .catalog import MachineCatalog
from .cost_round import CostRound
from .demand import DemandTargets
from .leadership import Leadership
from .listing import MachineListing
from .liveness import LivenessWatch
from .machines import FleetMachines
from .taint_writer import TaintWriter
from .taints import Taints
from .wire import CATALOG_KEY, TAINT_PREFIX

if TYPE_CHECKING:
    from ..agents import AgentManager
    from ..jobs import JobManager

log = logging.getLogger("emberglade.fleet")

START_DELAY_S = 0.5
TICK_S = 1.0
# The first round comes soon: after a failover or at the very start nothing is on its way.
FIRST_ROUND_TICKS = 3


class Autoscaler(ReplicaSubscriber):
    """Sizes the fleet while this controller leads; otherwise only follows what the leader wrote.

    Its parts each do one job, in its turn: they share the leadership, the taints as committed and
    the account of machines, and hold what else they need themselves.
    """

    def __init__(
        self,
        settings: Settings,
        operators: Operators,
        store: Store,
        job_manager: "JobManager",
        agents: "AgentManager",
        cloud: Client,
    ) -> None:
        self.settings = settings
        self.operators = operators
        self.store = store
        self.job_manager = job_manager
        self.loaded = False  # whether the replica has been read
        self.ticks = 0
        self.taints = Taints()
        self.leadership = Leadership(store)
        self.demand = DemandTargets(operators)
        self.machines = FleetMachines(self.taints)
        self.catalog = MachineCatalog(self, cloud, self.leadership)
        self.taint_writer = TaintWriter(self, settings, store, self.leadership, self.taints)
        self.listing = MachineListing(
            self, settings, cloud, self.leadership, self.machines, self.taint_writer
        )
        self.liveness = LivenessWatch(
            self, settings, agents, self.leadership, self.machines, self.taint_writer
        )
        self.cost_round = CostRound(
            self,
            settings,
            operators,
            cloud,
            job_manager,
            self.leadership,
            self.machines,
            self.catalog,
            self.demand,
            self.taint_writer,
        )

    @property
    def is_leader(self) -> bool:
        """Whether this controller acts as leader."""
        return self.leadership.is_leader

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: subscribes, starts the tick and the watch."""
        super().on_begin()
        send_after(START_DELAY_S, self.on_tick)
        send_after(START_DELAY_S, self.liveness.on_watch)

    # --- the replica

    def on_changed(self, events: list, revision: int, is_snapshot: bool) -> None:
        """Handles `changed(events, revision, is_snapshot)` from the store.

        Notes taints, the leader's key, the catalog, the record format and the controllers' tables;
        leadership begins or ends as the leader's key then shows.
        """
        self.loaded = True
        if is_snapshot:
            self.leadership.owner = None
            self.taints.forget()
        for key, data, mod_revision in events:
            if key.startswith(TAINT_PREFIX):
                self.taints.apply(key, data, mod_revision, self.now())
            elif key == LEADER_KEY:
                self.leadership.note(data, mod_revision)
            elif key == CATALOG_KEY and data is not None:
                self.catalog.note(data)
            elif key == FORMAT_KEY:
                self.taint_writer.format_raised = self.taint_writer.format_raised or is_raised(data)
            elif key.startswith(NODE_PREFIX):
                self.demand.note_controller(key.removeprefix(NODE_PREFIX), data)
        self._follow_leadership()

    def _follow_leadership(self) -> None:
        leads = self.leadership.is_held_by(self.settings.node, self.incarnation)
        if leads and not self.is_leader:
            self._begin_leadership()
        elif self.is_leader and not leads:
            log.info("no longer leading")
        self.leadership.is_leader = leads

    def _begin_leadership(self) -> None:
        log.info("leading: the demand history and the weights start anew")
        self.leadership.since = self.now()
        self.machines.begin_leadership()
        self.demand.begin_leadership()
        self.cost_round.begin_leadership()
        self.taint_writer.begin_leadership()
        self.listing.begin_leadership()
        self.ticks = max(0, int(self.operators.cost_round_s) - FIRST_ROUND_TICKS)
        # What every controller knows of silent machines is the new leader's account of them.
        self.liveness.ask(tainted_only=True)
        if not self.catalog.machine_types:
            # Until somebody has, no submission can be judged.
            self.catalog.ask()

    # --- every second

    def on_tick(self) -> None:
        """Handles `tick`, sent to itself every second: asks for news, and plays a round if due."""
        send_after(TICK_S, self.on_tick)
        if not self.is_leader or not self.loaded:
            return
        now = self.now()
        self.ticks += 1
        self.catalog.refresh(now)
        if not self.catalog.machine_types:
            return
        self.listing.refresh(now)
        send(self.job_manager.on_occupied, callback(self.on_occupied))
        self.liveness.ask()
        total = self.demand.total()
        self.demand.record(total, self.catalog.machine_types)
        if self.ticks % int(self.operators.cost_round_s) == 0 and self.listing.read_once:
            self.cost_round.play(total, now)

    def on_occupied(self, occupied: set[str]) -> None:
        """Handles the job manager's answer: which machines tasks are bound to."""
        self.machines.note_occupied(occupied, self.now())
