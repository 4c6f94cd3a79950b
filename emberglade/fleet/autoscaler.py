"""The autoscaler of the fleet. Only the leader's acts; every node's keeps the catalog at hand.

Every durable step is conditional on the lead's key, so a former leader can't write any more.
What it may still do at the cloud harms nobody: names of requests are never used twice, and a
machine's return is proof for moving its tasks only to the leader that then writes the taint.
"""

import logging
import math
import random
from dataclasses import dataclass

from ..membership import FORMAT_KEY, is_raised
from ..placement import read_types, write_types
from ..sizing import Sizer, family
from ..state import LIVE, Follower
from ..state import wire as state_wire
from ..state.store import DECISIONS
from . import wire
from .taints import Taints

log = logging.getLogger("emberglade.fleet")

MOST_RENTED = 50  # machines in one request, PROTOCOL's limit
MOST_RETURNED = 100
MOVED_SHARE = (
    1 / 3000
)  # of all replicas a second: with a second or two each, a loss of about 0.0005


def some(names):
    """Names for a line of the log: hundreds may be concerned at once."""
    return " ".join(names[:8]) + (f" and {len(names) - 8} more" if len(names) > 8 else "")


@dataclass
class Machine:
    """A machine as the leader counts it."""

    name: str
    type: str
    zone: str
    spot: bool
    asked: float  # when it was rented, by our clock
    state: str = "starting"
    listed: bool = False
    missing: int = 0
    seen: float = 0.0  # last heard by any node, by our clock; 0: never
    idle_since: float | None = None
    deaf_since: float | None = None  # its reports arrive, answers don't reach it


class Autoscaler(Follower):
    """Sizes the fleet while this controller leads; otherwise only follows what the leader wrote."""

    def __init__(self, settings, operators, store, job_manager, agents, cloud):
        self.settings, self.operators = settings, operators
        self.store, self.job_manager, self.agents, self.cloud = store, job_manager, agents, cloud
        self.lead = None
        self.leading = False
        self.format_raised = False  # whether every controller reads the new record format
        self.types = {}
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
        self.list_asked = 0.0
        self.occupied = set()
        self.silence = {}
        self.since = 0.0
        self.loaded = False
        self.ticks = 0

    def on_begin(self):
        super().on_begin()
        self.experts = family(self.operators.min_lookback_s, self.operators.max_lookback_s)
        self.after(0.5, "tick")
        self.after(0.5, "watch")

    # --- the committed copy

    def on_changed(self, events, revision, whole):
        self.loaded = True
        if whole:
            self.lead = None
            self.taints.forget()
        for key, data, stamp in events:
            if key.startswith("m/"):
                self.taints.apply(key, data, stamp, self.now())
            elif key == "lead":
                self.lead = None if data is None else (data.get("node"), data.get("inc"), stamp)
            elif key == "catalog" and data is not None:
                self.types = read_types(data)
            elif key == FORMAT_KEY:
                self.format_raised = self.format_raised or is_raised(data)
            elif key.startswith("n/"):
                if data is None:
                    self.tables.pop(key[2:], None)
                elif data.get("table"):
                    self.tables[key[2:]] = data["table"]
        leading = (
            self.lead is not None
            and self.incarnation is not None
            and self.lead[:2] == (self.settings.node, self.incarnation)
        )
        if leading and not self.leading:
            self.begin_lead()
        elif self.leading and not leading:
            log.info("no longer leading")
        self.leading = leading

    def begin_lead(self):
        log.info("leading: the demand history and the weights start anew")
        self.since = self.now()
        self.machines, self.sizers, self.targets = {}, {}, {}
        self.renting, self.returning, self.returned = {}, set(), {}
        self.wishes, self.tainting = {}, {}
        self.refused = {}
        self.short_before = {}  # machines missing in a zone as of the last round
        self.list_found, self.listing = [], False
        self.listed_once = False
        self.moves = 0.0  # replicas that may be moved by now
        # The first round comes soon: after a take-over or at the very start nothing is on its way.
        self.ticks = max(0, int(self.operators.cost_round_s) - 3)
        if not self.types:
            # Until somebody has, no submission can be judged.
            self.ask_catalog()

    def commit(self, writes, reply):
        self.store.tell("commit", DECISIONS, [(LIVE + "lead", self.lead[2])], writes, reply)

    # --- every second

    def on_tick(self):
        self.after(1.0, "tick")
        if not self.leading or not self.loaded:
            return
        now = self.now()
        self.ticks += 1
        if now - self.catalog_asked > (30 if self.types else 2):
            self.ask_catalog()
        if not self.types:
            return
        if not self.listing and now - self.list_asked > self.settings.list_lag_s / 2:
            self.list_asked, self.listing, self.list_found = now, True, []
            self.cloud.call("GET", wire.list_path(""), None, 3.0, self.then("listed"))
        self.job_manager.tell("occupied", self.then("occupancy"))
        self.agents.tell("silence", self.then("silent"))
        self.count_demand(now)

    def on_watch(self):
        """Tasks of a silent machine wait for proof that its lease is over: asked more often."""
        self.after(self.settings.report_s / 6, "watch")
        if self.leading and any(
            taint == "lost" and name in self.occupied for name, taint in self.taints.items()
        ):
            self.agents.tell("silence", self.then("silent"), True)

    def count_demand(self, now):
        total = {}
        for table in self.tables.values():
            for name, spot, count in table.get("d", ()):
                total[(name, spot)] = total.get((name, spot), 0.0) + count
        for pool in total:
            if pool[0] in self.types and pool not in self.sizers:
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
            machine_type = self.types.get(pool[0])
            if machine_type is not None:
                sizer.record(
                    total.get(pool, 0.0), machine_type.spot_price if pool[1] else machine_type.price
                )
        if self.ticks % int(self.operators.cost_round_s) == 0 and self.listed_once:
            self.round(now, total)

    def ask_catalog(self):
        self.catalog_asked = self.now()
        self.cloud.call("GET", "/catalog", None, 3.0, self.then("catalog"))

    def on_catalog(self, status, body):
        types = wire.read_catalog(body) if status == 200 else None
        if types is None:
            log.info("the catalog can't be had now (%s); asking again", status or "no answer")
            self.catalog_asked = self.now() - 28
            return
        if self.leading and types != self.types:
            self.commit([state_wire.put(LIVE + "catalog", write_types(types))], lambda *_: None)

    # --- what is there

    def on_listed(self, status, body):
        page = wire.read_list(body) if status == 200 else None
        if page is None:
            self.listing = False
            return
        rows, more = page
        self.list_found += rows
        if more and rows:
            self.cloud.call("GET", wire.list_path(rows[-1].name), None, 3.0, self.then("listed"))
            return
        self.listing = False
        if not self.leading:
            return
        now = self.now()
        names = set()
        for row in self.list_found:
            names.add(row.name)
            machine = self.machines.get(row.name)
            if machine is None:
                if row.name in self.returned or self.taints.get(row.name) == "gone":
                    continue
                machine = self.machines[row.name] = Machine(
                    row.name, row.type, row.zone, row.spot, now - row.age_s
                )
            machine.listed, machine.missing = True, 0
            if row.state != "starting" or machine.state == "starting":
                machine.state = row.state
        for machine in list(self.machines.values()):
            if machine.name not in names:
                machine.missing += 1
                # Listed once stays listed until gone; lists can be older than the one before.
                if (
                    machine.listed and machine.missing > 3
                ) or now - machine.asked > 10 * self.settings.list_lag_s:
                    del self.machines[machine.name]
        for name in [
            n for n, at in self.returned.items() if now - at > 20 * self.settings.list_lag_s
        ]:
            del self.returned[name]
        self.taint(
            [
                name
                for name, taint in self.taints.items()
                if taint == "gone"
                and name not in names
                and name not in self.occupied
                and name not in self.returned
            ],
            None,
        )
        self.listed_once = True

    def on_occupancy(self, occupied):
        self.occupied = occupied
        now = self.now()
        for machine in self.machines.values():
            if machine.name in occupied or not machine.seen:
                machine.idle_since = None
            elif machine.idle_since is None:
                machine.idle_since = now

    # --- machines that fall silent

    def on_silent(self, silence, slack):
        if not self.leading:
            return
        now = self.now()
        lost, ended, back = [], [], []
        for name, (heard, proven, deaf, ever) in silence.items():
            taint = self.taints.get(name)
            machine = self.machines.get(name)
            if machine is not None and heard > machine.seen and now - heard < self.settings.lease_s:
                machine.seen = heard
                machine.state = "running"
            if machine is not None:
                machine.deaf_since = (machine.deaf_since or now) if deaf else None
            quiet = now - heard
            if taint is None and (
                (quiet > self.settings.lease_s * 0.6 + slack and name in self.occupied) or deaf
            ):
                lost.append(name)
            elif taint in ("lost", "drain") and proven and name in self.occupied:
                ended.append(name)
            elif (
                taint in ("lost", "ended")
                and ever
                and quiet < self.settings.report_s * 2
                and not deaf
            ):
                # Once broken: a new leader took its own birth for a sign of life of the machines
                # behind a cut.
                if taint == "lost" or name not in self.occupied:
                    back.append(name)
            elif (
                taint in ("lost", "ended")
                and machine is None
                and name not in self.occupied
                and quiet > 6 * self.settings.lease_s
            ):
                back.append(name)
        for names, taint, text in (
            (lost, "lost", "no node is in touch with %s; nothing more is placed there"),
            (ended, "ended", "the leases of %s have run out; their tasks move"),
            (back, None, "%s may be used again"),
        ):
            names = [
                name for name in names if name not in self.tainting and name not in self.wishes
            ]
            if names:
                log.info(text, some(names))
                self.taint(names, taint)

    def taint(self, names, taint):
        """Wishes for a taint. A machine has one wish at a time, so each is for the taint that it
        was seen with.
        """
        self.wishes.update(
            (name, taint)
            for name in names
            if name not in self.tainting and (taint == "gone" or name not in self.wishes)
        )
        self.write_taints()

    def write_taints(self):
        """One transaction at a time, of all machines that anything is wished for: keys hold many
        taints.
        """
        if self.tainting or not self.wishes or not self.leading:
            return
        values, self.tainting = self.taints.with_changes(
            self.wishes, self.settings.value_bytes, self.settings.txn_ops, self.format_raised
        )
        if not self.tainting:
            return
        for name in self.tainting:
            del self.wishes[name]
        conditions = [(LIVE + "lead", self.lead[2])] + [
            (LIVE + key, stamp) for key, (stamp, _) in values.items()
        ]
        writes = [state_wire.put(LIVE + key, taints) for key, (_, taints) in values.items()]
        self.store.tell("commit", DECISIONS, conditions, writes, self.then("tainted", self.lead))

    def on_tainted(self, lead, status, revision, failed):
        self.store.tell("sync", self.then("taint_seen", lead, status))

    def on_taint_seen(self, lead, status, revision):
        if self.lead != lead:
            return
        if revision is None:
            # The copy may not show what was written; the next taints are worked out from it.
            self.after(0.5, "tainted", lead, status, None, None)
            return
        tainting, self.tainting = self.tainting, {}
        if status != 200:
            # Others are wished for again as long as they are due; this one is the proof that came
            # once.
            self.wishes.update(
                (name, taint)
                for name, taint in tainting.items()
                if taint == "gone" and self.taints.get(name) != "gone"
            )
        self.write_taints()

    # --- the round: draw, rent, return

    def counted(self, machine):
        return (
            machine.state != "failed"
            and self.taints.get(machine.name) is None
            and machine.name not in self.returning
        )

    def round(self, now, total):
        young = now - self.since < 300
        for pool, sizer in self.sizers.items():
            machine_type = self.types.get(pool[0])
            if machine_type is None or not sizer.history:
                continue
            number, target = sizer.round(machine_type.boot_s or self.operators.boot_guess_s)
            if young:
                target = min(target, math.ceil(2 * total.get(pool, 0.0)))
            expert = self.experts[number]
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
        for name, machine_type in self.types.items():
            self.balance(now, name, machine_type)
            self.serve_zones(now, name, machine_type)
            self.consolidate(name)
        self.tidy(now)

    def balance(self, now, name, machine_type):
        """Rents what is short and starts returning what has been idle above the targets."""
        there = [m for m in self.machines.values() if m.type == name and self.counted(m)]
        coming = {True: 0, False: 0}
        for _, (kind, _, spot, count) in self.renting.items():
            if kind == name:
                coming[spot] += count
        ordinary = sum(not m.spot for m in there) + coming[False]
        spot = sum(m.spot for m in there) + coming[True]
        need_ordinary, need_spot = (
            self.targets.get((name, False), 0),
            self.targets.get((name, True), 0),
        )
        short_ordinary = need_ordinary - ordinary
        short_any = need_spot - spot - max(0, -short_ordinary)
        log.info(
            "%s: %d ordinary and %d spot there, %d and %d idle; targets %d and %d",
            name,
            ordinary,
            spot,
            sum(m.idle_since is not None and not m.spot for m in there),
            sum(m.idle_since is not None and m.spot for m in there),
            need_ordinary,
            need_spot,
        )
        if short_ordinary > 0:
            self.rent(now, machine_type, False, short_ordinary)
        if short_any > 0:
            cheap = machine_type.spot_price < machine_type.price
            if not (cheap and self.rent(now, machine_type, True, short_any)):
                self.rent(now, machine_type, False, short_any)
        # Above target, machines idle for the hold time go back; the dearer kind first.
        hold = self.operators.hold_idle_s
        idle = [m for m in there if m.idle_since is not None and now - m.idle_since >= hold]
        surplus_ordinary = min(
            ordinary - need_ordinary, ordinary + spot - need_ordinary - need_spot
        )
        surplus_spot = min(spot, ordinary + spot - need_ordinary - need_spot)
        chosen = sorted((m for m in idle if not m.spot), key=lambda m: m.idle_since)[
            : max(0, surplus_ordinary)
        ]
        chosen += sorted((m for m in idle if m.spot), key=lambda m: m.idle_since)[
            : max(0, surplus_spot - len(chosen))
        ]
        if chosen:
            log.info(
                "returning %s: idle for %g s above the target", some([m.name for m in chosen]), hold
            )
            self.taint([m.name for m in chosen], "drain")

    def serve_zones(self, now, name, machine_type):
        """Rents for tasks that can run in one zone only, where that zone has no room for them.

        Once broken: enough machines by their count, all of them elsewhere, and such tasks waited
        for ever (meetings/zone_bound.txt). Tables are some seconds old, so a shortage counts once
        it is seen twice.
        """
        short = {}
        for table in self.tables.values():
            for kind, spot, zone, count in table.get("z", ()):
                if kind == name:
                    short[(spot, zone)] = short.get((spot, zone), 0.0) + count
        before, self.short_before[name] = self.short_before.get(name, {}), short
        for (spot, zone), count in short.items():
            coming = sum(
                m.zone == zone and (spot or not m.spot) and (not m.seen or m.idle_since is not None)
                for m in self.machines.values()
                if m.type == name and self.counted(m)
            )
            coming += sum(
                number
                for kind, where, cheap, number in self.renting.values()
                if (kind, where) == (name, zone) and (spot or not cheap)
            )
            missing = math.ceil(min(count, before.get((spot, zone), 0.0))) - coming
            if missing > 0 and not (spot and self.rent(now, machine_type, True, missing, zone)):
                self.rent(now, machine_type, False, missing, zone)

    def consolidate(self, name):
        """Empties a machine above the target that holds but a few replicas.

        Replicas outlive all other work and end one by one, so machines stay that are mostly empty.
        A move costs a replica a second or two, so few are moved, and only to where their image is.
        """
        there = [m for m in self.machines.values() if m.type == name and self.counted(m)]
        ordinary, spot = sum(not m.spot for m in there), sum(m.spot for m in there)
        short = self.targets.get((name, True), 0) - spot
        surplus = ordinary - self.targets.get((name, False), 0) - max(0, short)
        idle = sum(m.idle_since is not None and not m.spot for m in there)
        self.job_manager.tell("replicas", self.then("replicas"))
        if surplus > idle and self.moves >= 1 and self.types[name].boot_s < self.now() - self.since:
            self.job_manager.tell("thin_machine", name, int(self.moves), self.then("thin"))

    def on_replicas(self, total):
        """Grants moves for one round."""
        self.moves = min(
            self.moves + MOVED_SHARE * total * self.operators.cost_round_s,
            max(1.0, MOVED_SHARE * total * 60),
        )

    def on_thin(self, machine, count):
        if machine is None:
            return
        if self.leading and machine in self.machines:
            self.moves -= count
            log.info(
                "draining %s: above the target, and its %d replicas find room elsewhere",
                machine,
                count,
            )
            self.taint([machine], "drain")

    def rent(self, now, machine_type, spot, count, only=None):
        """Asks for machines in the zone that has fewest, or in that one only; False when every zone
        refused lately.
        """
        here = dict.fromkeys(machine_type.zones, 0)
        for machine in self.machines.values():
            if machine.zone in here and machine.spot == spot:
                here[machine.zone] += 1
        zones = [
            z
            for z in machine_type.zones
            if only in (None, z) and self.refused.get((machine_type.name, z, spot), 0) <= now
        ]
        if not zones:
            return False
        plan = {}
        for _ in range(min(count, MOST_RENTED * len(zones))):
            zone = min(
                (z for z in zones if plan.get(z, 0) < MOST_RENTED), key=lambda z: (here[z], z)
            )
            here[zone] += 1
            plan[zone] = plan.get(zone, 0) + 1
        for zone, number in plan.items():
            self.requests += 1
            request = f"{self.settings.node}-{self.incarnation}-{self.requests}"
            self.renting[request] = (machine_type.name, zone, spot, number)
            log.info(
                "renting %d %s %s in %s (%s)",
                number,
                "spot" if spot else "ordinary",
                machine_type.name,
                zone,
                request,
            )
            self.cloud.call(
                "POST",
                "/hosts",
                wire.rent(request, machine_type.name, zone, spot, number),
                4.0,
                self.then("rented", request, now, 0),
            )
        return True

    def on_rented(self, request, asked, tries, status, body):
        plan = self.renting.get(request)
        if plan is None:
            return
        name, zone, spot, count = plan
        names = wire.read_rented(body) if status == 200 else None
        if (
            names is None
            and not (
                status == 503 and isinstance(body, dict) and body.get("error") == "no capacity"
            )
            and status != 400
        ):
            # Perhaps carried out: only the same name asked again tells, and rents nothing twice.
            if tries < 20 and self.leading:
                self.after(2.0, "rent_again", request, asked, tries)
            else:
                del self.renting[request]
            return
        del self.renting[request]
        now = self.now()
        for machine in names or ():
            self.machines.setdefault(machine, Machine(machine, name, zone, spot, asked))
        if len(names or ()) < count:
            log.info(
                "%s: %d of %d machines in %s; the zone rests",
                request,
                len(names or ()),
                count,
                zone,
            )
            self.refused[(name, zone, spot)] = now + 4 * self.operators.cost_round_s

    def on_rent_again(self, request, asked, tries):
        plan = self.renting.get(request)
        if plan is not None:
            self.cloud.call(
                "POST",
                "/hosts",
                wire.rent(request, *plan),
                4.0,
                self.then("rented", request, asked, tries + 1),
            )

    def tidy(self, now):
        """Returns drained machines, boots that failed, and machines that stopped or stay silent."""
        ready, drain = [], []
        for machine in self.machines.values():
            taint = self.taints.get(machine.name)
            if machine.name in self.returning or taint == "gone":
                continue
            boot = (
                self.types[machine.type].boot_s if machine.type in self.types else 0
            ) or self.operators.boot_guess_s
            if taint == "drain":
                if machine.name not in self.occupied:
                    ready.append(machine.name)
            elif taint == "ended":
                # A new leader has heard of nobody yet; a machine behind a cut may well come back.
                if now - max(
                    machine.seen, self.since
                ) > 4 * self.settings.lease_s or self.long_deaf(machine, now):
                    ready.append(machine.name)
            elif taint == "lost" and self.long_deaf(machine, now):
                drain.append(machine.name)
            elif machine.state == "failed":
                # It has stopped: nothing runs there, and the cloud's 200 will prove it.
                ready.append(machine.name)
            elif (
                not machine.seen
                and now - max(machine.asked, self.since) > 3 * boot
                and taint is None
            ):
                log.info("%s never came up; returning it", machine.name)
                drain.append(machine.name)
            elif machine.seen and now - machine.seen > 6 * self.settings.lease_s and taint is None:
                drain.append(machine.name)
        self.taint(drain, "drain")
        ready = ready[:MOST_RETURNED]
        if ready:
            self.returning.update(ready)
            log.info("giving %s back to the cloud", some(ready))
            self.cloud.call(
                "POST", "/hosts/return", wire.give_back(ready), 4.0, self.then("given_back", ready)
            )

    def long_deaf(self, machine, now):
        """Deaf for so long that another machine is to take its place for good."""
        return (
            machine.deaf_since is not None and now - machine.deaf_since > 4 * self.settings.lease_s
        )

    def on_given_back(self, names, status, body):
        self.returning.difference_update(names)
        if status != 200 or not self.leading:
            return
        now = self.now()
        for name in names:
            self.machines.pop(name, None)
            self.returned[name] = now
        self.taint(names, "gone")
