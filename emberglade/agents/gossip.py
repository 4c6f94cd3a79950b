"""What the nodes tell each other, and the keeper and the leader, about machines."""

import logging

import orjson

from ..placement import Machine
from . import wire
from .sightings import Sighting, Sightings

log = logging.getLogger("emberglade.agents")

TABLE_S = 5.0  # the DESIGN page's interval of tables


class Gossip:
    """The part of the desk that asks peers, writes tables, and says what machines there are."""

    inventory_due = False

    def __init__(self, settings):
        self.sightings = Sightings(settings)
        self.tables = {}  # node -> {key: (data, stamp)}
        self.asked = {}  # peer -> when it was asked
        self.inventory = {}
        self.newcomers = []

    def on_ask_peers(self):
        now = self.now()
        # While a machine with tasks is silent, they wait for what the peers state.
        anxious = any(mark[0] == "lost" and name in self.bound for name, mark in self.marks.items())
        self.after(min(1.0, self.settings.report_s) / (4 if anxious else 1), "ask_peers")
        for name, link in self.peers.items():
            if now - self.asked.get(name, -100) < 3 * self.settings.report_s:
                continue
            self.asked[name] = now
            link.call("POST", "/peer/heard", {}, 2 * self.settings.report_s, self.then("peer_heard", name, now))

    def on_tick(self):
        self.after(min(1.0, self.settings.report_s), "tick")
        self.answer_late(self.now())
        self.write_facts()
        self.tell_inventory()

    def sighting(self, known):
        return Sighting(self.row(known, known.heard), max(known.heard, known.answered))

    @staticmethod
    def row(known, now):
        report = known.report
        return wire.Row(round(now - max(known.heard, known.answered), 3), report.type, report.zone, report.spot, report.session,
                        report.tally, report.notice_s is not None, known.deaf, report.addr)

    def rows(self, now, within):
        return {name: self.row(k, now) for name, k in self.known.items() if now - k.heard < within}

    def on_heard(self, reply):
        """A peer asks what is known here; answered from a copy synced after the question."""
        self.ledger.tell("sync", self.then("heard_synced", reply))

    def on_heard_synced(self, reply, revision):
        now = self.now()
        reply(200, wire.statement(now - self.born, min(1e6, now - self.contact), revision, self.rows(now, 10 * self.settings.lease_s)))

    def on_peer_heard(self, name, asked, status, body):
        self.asked.pop(name, None)
        if status == 200 and not self.sightings.hear(name, asked, self.now(), body):
            log.info("%s made an odd statement; it is asked again", name)

    def soon_inventory(self):
        if not self.inventory_due:
            self.inventory_due = True
            self.after(self.settings.report_s / 8, "inventory")

    def on_inventory(self):
        self.inventory_due = False
        if self.newcomers:
            # After a restart hundreds come at once: one line for all.
            log.info("%d machines begin to report here: %s%s", len(self.newcomers), " ".join(self.newcomers[:8]),
                     " and others" if len(self.newcomers) > 8 else "")
            self.newcomers = []
        self.tell_inventory()

    def tell_inventory(self):
        now = self.now()
        for name in [n for n, k in self.known.items() if now - k.heard > 10 * self.settings.lease_s]:
            del self.known[name]
        self.sightings.forget_old(now)
        fresh = 3 * self.settings.report_s + 1
        if self.sightings.missing_peers(now):
            # Their tables come less often than their answers would.
            fresh += TABLE_S
        inventory = {}
        for name, sighting in self.sightings.view.items():
            row = sighting.row
            if row.type in self.types:
                usable = now - sighting.heard < fresh and not row.notice and not row.deaf
                old = self.inventory.get(name)
                if old is None or (old.session, old.open) != (row.session, usable) or old.type is not self.types[row.type]:
                    old = Machine(name, self.types[row.type], row.zone, row.spot, row.session, usable)
                inventory[name] = old
        self.inventory = inventory
        self.keeper.tell("inventory", inventory)

    def on_silence(self, reply, marked=False):
        """`reply({machine: (heard, proven over, deaf)})` for the leader; of marked machines only if so asked."""
        now = self.now()
        result = {}
        # Tables are older than what a peer would answer; that is not the machines' silence.
        slack = TABLE_S if self.sightings.missing_peers(now) else 0.0
        for name in sorted(set(self.marks) if marked else set(self.sightings.view) | set(self.bound) | set(self.marks)):
            sighting, known, mark = self.sightings.view.get(name), self.known.get(name), self.marks.get(name)
            own = max(known.heard, known.answered) if known else self.born
            heard = min(now, slack + (sighting.heard if sighting is not None else self.born))
            proven = mark is not None and self.sightings.proven_over(name, own, mark[1], mark[2], now)
            result[name] = (heard, proven, sighting is not None and sighting.row.deaf)
        reply(result)

    # --- tables in the state service

    def on_tables(self):
        self.after(TABLE_S, "tables")
        self.keeper.tell("demand", self.then("table_demand"))

    def on_table_demand(self, demand):
        """Counts and machines, in as many values as they need; they share one transaction."""
        now = self.now()
        types, zones = sorted(self.types), self.settings.zones
        places = [{}]
        room = self.settings.value_bytes - 1024
        for name, row in self.rows(now, self.settings.lease_s).items():
            short = [row.age_s, types.index(row.type) if row.type in types else row.type,
                     zones.index(row.zone) if row.zone in zones else row.zone, int(row.spot), row.session, row.tally,
                     int(row.notice), int(row.deaf), row.addr]
            room -= len(orjson.dumps(short)) + len(name) + 4
            if room < 0:
                places.append({})
                room = self.settings.value_bytes - 1024
            places[-1][name] = short
        first = {"d": [[*pool, round(count, 4)] for pool, count in demand.items()], "wall": self.system.wall(),
                 "up": now - self.born, "contact": min(1e6, now - self.contact), "rev": self.revision, "types": types, "m": places[0]}
        self.member.tell("table", first, places[1:])

    def read_table(self, node):
        parts = self.tables.get(node, {})
        first, stamp = parts.get("n/" + node, (None, 0))
        if node == self.settings.node or first is None or not first.get("table"):
            return
        table = first["table"]
        try:
            types, zones = table["types"], self.settings.zones
            rows = {}
            for data, part_stamp in [(table, stamp), *(row for key, row in parts.items() if key.startswith("r/"))]:
                if part_stamp == stamp:
                    for name, (age_s, kind, zone, *rest) in data["m"].items():
                        rows[name] = [age_s, types[kind] if isinstance(kind, int) else kind,
                                      zones[zone] if isinstance(zone, int) else zone, *rest]
            body = {"up": table["up"], "contact": table["contact"], "rev": table["rev"], "known": rows}
            self.sightings.read_table(node, self.now(), self.system.wall() - table["wall"], body)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            log.info("the table of %s is odd (%s); the next one is awaited", node, error)
