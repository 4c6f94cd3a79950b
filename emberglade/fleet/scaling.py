"""Rentals up to the targets, and what is given up above them."""

import logging
import math

from ..actors import callback, tell, tell_after
from . import wire
from .machine import Machine, some

log = logging.getLogger("emberglade.fleet")


MAX_RENTED = 50  # machines in one request, PROTOCOL's limit
# Of all replicas a second: with a second or two each, a loss of about 0.0005.
MOVED_SHARE = 1 / 3000


class Scaling:
    """The part of the autoscaler that rents machines, and drains those beyond need."""

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
        for ever (combined_faults/zone_bound_jobs.txt). Tables are some seconds old, so a
        shortage counts once it is seen twice.
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
        tell(self.job_manager.on_replicas, callback(self.on_replicas))
        if (
            surplus > idle
            and self.moves >= 1
            and self.machine_types[name].boot_s < self.now() - self.since
        ):
            tell(self.job_manager.on_thin_machine, name, int(self.moves), callback(self.on_thin))

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
        for zone, number in self.spread(here, zones, count).items():
            for first in range(0, number, MAX_RENTED):
                self.ask_for(now, machine_type.name, zone, spot, min(MAX_RENTED, number - first))
        return True

    def spread(self, here, zones, count):
        """{zone: machines to ask for}: each goes where there are fewest; `here` counts them."""
        plan, requests = {}, self.requests_a_round()
        for _ in range(count):
            # A zone that has had its last request filled would take a further one.
            open_zones = [z for z in zones if plan.get(z, 0) % MAX_RENTED or requests > 0]
            if not open_zones:
                break
            zone = min(open_zones, key=lambda z: (here[z], z))
            requests -= plan.get(zone, 0) % MAX_RENTED == 0
            here[zone] += 1
            plan[zone] = plan.get(zone, 0) + 1
        return plan

    def ask_for(self, now, name, zone, spot, number):
        """Sends one request for up to MAX_RENTED machines; its name is never used again."""
        self.requests += 1
        request = f"{self.settings.node}-{self.incarnation}-{self.requests}"
        self.renting[request] = (name, zone, spot, number)
        log.info(
            "renting %d %s %s in %s (%s)",
            number,
            "spot" if spot else "ordinary",
            name,
            zone,
            request,
        )
        self.cloud.call(
            "POST",
            "/hosts",
            wire.rent(request, name, zone, spot, number),
            4.0,
            callback(self.on_rented, request, now, 0),
        )

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
                tell_after(2.0, self.on_rent_again, request, asked, tries)
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
                callback(self.on_rented, request, asked, tries + 1),
            )
