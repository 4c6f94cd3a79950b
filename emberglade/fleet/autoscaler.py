"""The autoscaler of the fleet: it runs on every controller, and acts only on the leader.

Every write is conditional on the mod revision of the leader's key, so a previous leader can no
longer write. Requests that a previous leader still sends to the cloud do no harm. The names of
requests are never reused. If a previous leader scales in a machine, the tasks of that machine move
only after the current leader has tainted it.
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
# Ticks from the start of a leadership until its first cost round is due; a shorter `cost_round_s`
# replaces this value. The first round does not wait for a whole `cost_round_s`, because a new
# leader has no requests for machines pending and sends none before that round. If the catalog or a
# complete list of machines is missing when a round is due, the round is skipped.
FIRST_ROUND_TICKS = 3


class Autoscaler(ReplicaSubscriber):
    """Sizes the fleet while this controller is leader; otherwise only follows the leader's writes.

    Its parts run in the actor's turns. They share the leadership state, the committed taints and
    the machine records. A part that uses another part receives it in its constructor.

    Attributes:
        is_loaded: Whether the replica has been read.
        ticks: Ticks as leader, plus the value that `_begin_leadership` starts from. A cost round is
            due when `ticks` is a multiple of `cost_round_s`. The start value makes the first round
            of a leadership due after FIRST_ROUND_TICKS.
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
        self.is_loaded = False
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
        """Handles `begin` from the actor system: subscribes, and starts the two timers."""
        super().on_begin()
        send_after(START_DELAY_S, self.on_tick)
        send_after(START_DELAY_S, self.liveness.on_watch)

    # --- the replica

    def on_changed(self, changes: list, revision: int, is_snapshot: bool) -> None:
        """Handles `changed(changes, revision, is_snapshot)` from the store.

        Applies changes of taints, the leader's key, the catalog, the record format and the
        controllers' records, which contain their demand tables. Then begins or ends leadership as
        the leader's key states.
        """
        self.is_loaded = True
        if is_snapshot:
            self.leadership.owner = None
            self.taints.forget()
        for key, data, mod_revision in changes:
            if key.startswith(TAINT_PREFIX):
                self.taints.apply(key, data, mod_revision, self.now())
            elif key == LEADER_KEY:
                self.leadership.apply(data, mod_revision)
            elif key == CATALOG_KEY and data is not None:
                self.catalog.apply(data)
            elif key == FORMAT_KEY:
                self.taint_writer.format_raised = self.taint_writer.format_raised or is_raised(data)
            elif key.startswith(NODE_PREFIX):
                self.demand.apply_controller_record(key.removeprefix(NODE_PREFIX), data)
        self._follow_leadership()

    def _follow_leadership(self) -> None:
        owns_leader_key = self.leadership.is_owned_by(self.settings.node, self.incarnation)
        if owns_leader_key and not self.is_leader:
            self._begin_leadership()
        elif self.is_leader and not owns_leader_key:
            log.info("no longer leader; this controller stops scaling the fleet")
        self.leadership.is_leader = owns_leader_key

    def _begin_leadership(self) -> None:
        log.info("became leader; demand history and expert weights are reset")
        self.leadership.since = self.now()
        self.machines.begin_leadership()
        self.demand.begin_leadership()
        self.cost_round.begin_leadership()
        self.taint_writer.begin_leadership()
        self.listing.begin_leadership()
        self.ticks = max(0, int(self.operators.cost_round_s) - FIRST_ROUND_TICKS)
        # Tainted machines are checked at once: their tasks may be allowed to move. The machine
        # records were just discarded, but the agent manager knows the heartbeats that all
        # controllers received. Ticks request the liveness of all machines.
        self.liveness.request_liveness(tainted_only=True)
        if not self.catalog.machine_types:
            # Controllers can't validate submissions before a catalog is stored.
            self.catalog.request()

    # --- every second

    def on_tick(self) -> None:
        """Handles `tick`, sent to itself every second; only the leader acts on it.

        Refreshes catalog, list, occupied machines and liveness, records the demand, and runs a cost
        round if one is due.
        """
        send_after(TICK_S, self.on_tick)
        if not self.is_leader or not self.is_loaded:
            return
        now = self.now()
        self.ticks += 1
        self.catalog.refresh(now)
        if not self.catalog.machine_types:
            return
        self.listing.refresh(now)
        send(self.job_manager.on_occupied, callback(self.on_occupied))
        self.liveness.request_liveness()
        total = self.demand.total()
        self.demand.record(total, self.catalog.machine_types)
        if self.ticks % int(self.operators.cost_round_s) == 0 and self.listing.has_complete_list:
            self.cost_round.run(total, now)

    def on_occupied(self, occupied: set[str]) -> None:
        """Handles the job manager's answer: the machines that tasks are bound to."""
        self.machines.update_occupied(occupied, self.now())
