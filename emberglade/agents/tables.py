"""Tables in the state service: counts, and machines while controllers don't hear each other."""

import logging

import orjson

from ..actors import callback, tell, tell_after

log = logging.getLogger("emberglade.agents")


TABLE_S = 5.0  # the DESIGN page's interval of tables
UNREACHABLE_PARTS = 9999  # further values of a table without machines: they never come
FRAME_BYTES = 96  # of a table's value: the node's incarnation, the table's number and field names
# Of a table, however much the state service takes: transactions are limited too.
MAX_VALUE_BYTES = 32 * 1024


class Tables:
    """The part of the agent manager that writes its own table and reads those of peers."""

    def __init__(self):
        self.tables = {}  # node -> {key: data}
        self.table_number = 0
        self.rows_in_table = False  # whether the last table held machines

    def on_tables(self):
        tell_after(TABLE_S, self.on_tables)
        self.ask_for_table()

    def ask_for_table(self):
        tell(self.job_manager.on_demand, callback(self.on_table_demand))

    def needs_rows(self, now):
        """Whether a live peer and this controller don't hear each other, so that only tables tell
        of machines.

        Rows of machines are most of a table, and tables were most of what a quiet cluster wrote.
        """
        lately = now - 2 * self.settings.agent_heartbeat_s
        return any(
            self.asked_by.get(name, -1e9) < lately
            or name not in self.evidence.told
            or self.evidence.told[name].asked < lately
            for name in self.peers
            if name in self.nodes
        )

    def on_table_demand(self, demand, shortage):
        """Counts, and machines if they are needed, in as many values as they take."""
        now = self.now()
        machine_types = sorted(self.machine_types)
        # The lease's number and a count: no two tables of a node share it.
        self.table_number += 1
        number = f"{self.incarnation}-{self.table_number}"
        first = {
            "t": number,
            "parts": UNREACHABLE_PARTS,
            "d": [[*pool, round(count, 4)] for pool, count in demand.items()],
            "wall": self.system.wall(),
            "z": [[*pool, round(count, 4)] for pool, count in shortage.items()],
            "up": now - self.born,
            "contact": min(1e6, now - self.last_contact),
            "rev": self.revision,
            "types": machine_types,
            "m": {},
        }
        most = min(self.settings.value_bytes, MAX_VALUE_BYTES) - FRAME_BYTES
        self.rows_in_table = self.needs_rows(now)
        # A table that lacks further values is never taken for a statement about machines.
        places = [{}]
        if self.rows_in_table:
            places = self.pack_rows(machine_types, now, most, most - len(orjson.dumps(first)))
            first["parts"], first["m"] = len(places) - 1, places[0]
        tell(self.member.on_table, first, [{"t": number, "m": rows} for rows in places[1:]])

    def pack_rows(self, machine_types, now, most, first_room):
        """The machines' rows in dictionaries of at most `most` bytes each, the first of them
        `first_room`.
        """
        zones, places, room = self.settings.zones, [{}], first_room
        for name, (
            age_s,
            kind,
            zone,
            spot,
            agent_epoch,
            sequence,
            spot_notice,
            unreachable,
            addr,
        ) in self.rows(now, 2 * self.settings.lease_s).items():
            short = [
                age_s,
                machine_types.index(kind) if kind in machine_types else kind,
                zones.index(zone) if zone in zones else zone,
                int(spot),
                agent_epoch,
                sequence,
                int(spot_notice),
                int(unreachable),
                addr,
            ]
            room -= len(orjson.dumps(short)) + len(name) + 4
            if room < 0:
                places.append({})
                room = most - len(orjson.dumps(short)) - len(name) - 4
            places[-1][name] = short
        return places

    def read_table(self, node):
        parts = self.tables.get(node, {})
        first = parts.get("n/" + node)
        if node == self.settings.node or first is None or not first.get("table"):
            return
        table = first["table"]
        try:
            machine_types, zones = table["types"], self.settings.zones
            values = [
                table,
                *(
                    data
                    for key, data in parts.items()
                    if key.startswith("r/") and data["t"] == table["t"]
                ),
            ]
            if len(values) != table["parts"] + 1:
                # the rest is on its way; a row that is missing would pass for a machine never heard
                return
            rows = {}
            for data in values:
                for name, (age_s, kind, zone, *rest) in data["m"].items():
                    rows[name] = [
                        age_s,
                        machine_types[kind] if isinstance(kind, int) else kind,
                        zones[zone] if isinstance(zone, int) else zone,
                        *rest,
                    ]
            body = {
                "up": table["up"],
                "contact": table["contact"],
                "rev": table["rev"],
                "known": rows,
            }
            self.evidence.read_table(node, self.now(), self.system.wall() - table["wall"], body)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            log.info("the table of %s is odd (%s); the next one is awaited", node, error)
