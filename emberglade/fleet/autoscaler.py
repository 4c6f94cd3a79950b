"""The autoscaler of the fleet. Only the leader's acts; every node's keeps the catalog at hand.

Every durable step is conditional on the lead's key, so a former leader can't write any more.
What it may still do at the cloud harms nobody: names of requests are never used twice, and a
machine's return is proof for moving its tasks only to the leader that then writes the taint.
"""

import logging
import math
import random

from ..actors import callback, tell, tell_after
from ..membership import FORMAT_KEY, is_raised
from ..placement import read_machine_types, write_machine_types
from ..sizing import Sizer, expert_family
from ..state import LIVE_PREFIX, ReplicaSubscriber
from ..state import wire as state_wire
from ..state.store import DECISIONS
from . import wire
from .machines import MachineWatch
from .scaling import Scaling
from .taint_writer import TaintWriter
from .taints import Taints

log = logging.getLogger("emberglade.fleet")


class Autoscaler(MachineWatch, TaintWriter, Scaling, ReplicaSubscriber):
    """Sizes the fleet while this controller leads; otherwise only follows what the leader wrote."""

    def __init__(self, settings, operators, store, job_manager, agents, cloud):
        self.settings, self.operators = settings, operators
        self.store, self.job_manager, self.agents, self.cloud = store, job_manager, agents, cloud
        self.leader = None
        self.leading = False
        self.format_raised = False  # whether every controller reads the new record format
        self.machine_types = {}
        self.catalog_asked = -1e9
        self.taints = Taints()
        self.tables = {}
        self.machines = {}
        self.sizers = {}
        self.targets = {}
        self.requests = 0
        self.refused = {}  # (type, zone, spot) -> until
        self.renting = {}  # request -> (type, zone, spot, count)
        self.returning = set()
        self.returned = {}  # machine -> when the cloud's 200 came
        self.wishes = {}  # machine -> the taint that it is to have
        self.tainting = {}  # those that are being written
        self.listing = False
        self.list_found = []
        self.list_pages = 0  # of the list that was read last, or is being read
        self.list_asked = 0.0
        self.occupied = set()
        self.silence = {}
        self.since = 0.0
        self.loaded = False
        self.ticks = 0

    def on_begin(self):
        super().on_begin()
        self.experts = expert_family(self.operators.min_lookback_s, self.operators.max_lookback_s)
        tell_after(0.5, self.on_tick)
        tell_after(0.5, self.on_watch)

    # --- the committed copy

    def on_changed(self, events, revision, whole):
        self.loaded = True
        if whole:
            self.leader = None
            self.taints.forget()
        for key, data, mod_revision in events:
            if key.startswith("m/"):
                self.taints.apply(key, data, mod_revision, self.now())
            elif key == "lead":
                self.leader = (
                    None if data is None else (data.get("node"), data.get("inc"), mod_revision)
                )
            elif key == "catalog" and data is not None:
                self.machine_types = read_machine_types(data)
            elif key == FORMAT_KEY:
                self.format_raised = self.format_raised or is_raised(data)
            elif key.startswith("n/"):
                if data is None:
                    self.tables.pop(key[2:], None)
                elif data.get("table"):
                    self.tables[key[2:]] = data["table"]
        leading = (
            self.leader is not None
            and self.incarnation is not None
            and self.leader[:2] == (self.settings.node, self.incarnation)
        )
        if leading and not self.leading:
            self.begin_leadership()
        elif self.leading and not leading:
            log.info("no longer leading")
        self.leading = leading

    def begin_leadership(self):
        log.info("leading: the demand history and the weights start anew")
        self.since = self.now()
        self.machines, self.sizers, self.targets = {}, {}, {}
        self.renting, self.returning, self.returned = {}, set(), {}
        self.wishes, self.tainting = {}, {}
        self.refused = {}
        self.short_before = {}  # machines missing in a zone as of the last round
        self.list_found, self.list_pages, self.listing = [], 0, False
        self.listed_once = False
        self.moves = 0.0  # replicas that may be moved by now
        # The first round comes soon: after a take-over or at the very start nothing is on its way.
        self.ticks = max(0, int(self.operators.cost_round_s) - 3)
        # What every controller knows of silent machines is the new leader's account of them.
        tell(self.agents.on_silence, callback(self.on_silent), True)
        if not self.machine_types:
            # Until somebody has, no submission can be judged.
            self.ask_catalog()

    def commit(self, writes, reply):
        tell(
            self.store.on_commit, DECISIONS, [(LIVE_PREFIX + "lead", self.leader[2])], writes, reply
        )

    # --- every second

    def on_tick(self):
        tell_after(1.0, self.on_tick)
        if not self.leading or not self.loaded:
            return
        now = self.now()
        self.ticks += 1
        if now - self.catalog_asked > (30 if self.machine_types else 2):
            self.ask_catalog()
        if not self.machine_types:
            return
        if not self.listing and now - self.list_asked > self.list_interval():
            self.list_asked, self.listing, self.list_found = now, True, []
            self.list_pages = 0
            self.cloud.call("GET", wire.list_path(""), None, 3.0, callback(self.on_listed))
        tell(self.job_manager.on_occupied, callback(self.on_occupancy))
        tell(self.agents.on_silence, callback(self.on_silent))
        self.count_demand(now)

    def list_interval(self):
        """Lists take at most half of what the cloud answers, however many pages they have."""
        return max(self.settings.list_lag_s / 2, 2 * self.list_pages / self.settings.cloud_rps)

    def requests_a_round(self):
        """How many requests of one kind a round may make: a third of what the cloud answers in it,
        and one for each zone of the smallest clouds.
        """
        a_third = self.settings.cloud_rps * self.operators.cost_round_s / 3
        return max(len(self.settings.zones), int(a_third))

    def count_demand(self, now):
        total = {}
        for table in self.tables.values():
            for name, spot, count in table.get("d", ()):
                total[(name, spot)] = total.get((name, spot), 0.0) + count
        for pool in total:
            if pool[0] in self.machine_types and pool not in self.sizers:
                self.sizers[pool] = Sizer(
                    self.experts,
                    self.operators.epsilon,
                    self.operators.cost_round_s,
                    self.operators.pool_premium,
                    self.operators.cost_spread,
                    self.operators.share,
                    random.Random(f"{self.operators.seed} {pool}"),
                )
        for pool, sizer in self.sizers.items():
            machine_type = self.machine_types.get(pool[0])
            if machine_type is not None:
                sizer.record(
                    total.get(pool, 0.0), machine_type.spot_price if pool[1] else machine_type.price
                )
        if self.ticks % int(self.operators.cost_round_s) == 0 and self.listed_once:
            self.round(now, total)

    def ask_catalog(self):
        self.catalog_asked = self.now()
        self.cloud.call("GET", "/catalog", None, 3.0, callback(self.on_catalog))

    def on_catalog(self, status, body):
        machine_types = wire.read_catalog(body) if status == 200 else None
        if machine_types is None:
            log.info("the catalog can't be had now (%s); asking again", status or "no answer")
            self.catalog_asked = self.now() - 28
            return
        if self.leading and machine_types != self.machine_types:
            self.commit(
                [state_wire.put(LIVE_PREFIX + "catalog", write_machine_types(machine_types))],
                lambda *_: None,
            )

    # --- the round: draw, rent, return

    def round(self, now, total):
        young = now - self.since < 300
        for pool, sizer in self.sizers.items():
            machine_type = self.machine_types.get(pool[0])
            if machine_type is None or not sizer.workload_history:
                continue
            expert, target = sizer.run_cost_round(
                machine_type.boot_s or self.operators.boot_guess_s
            )
            if young:
                target = min(target, math.ceil(2 * total.get(pool, 0.0)))
            log.info(
                "draw for %s %s: target %d (expert %d%% x %g over %d s), demand %.2f",
                pool[0],
                "spot" if pool[1] else "ordinary",
                target,
                expert.percentile,
                expert.multiplier,
                expert.lookback_s,
                total.get(pool, 0.0),
            )
            self.targets[pool] = target
        for name, machine_type in self.machine_types.items():
            self.balance(now, name, machine_type)
            self.serve_zones(now, name, machine_type)
            self.consolidate(name)
        self.tidy(now)
