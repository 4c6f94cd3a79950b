"""Tables in the state service: counts, and machines while controllers don't hear each other."""

import logging

import orjson

from ..actors import callback, tell, tell_after
from .wire import tables as table_wire

log = logging.getLogger("emberglade.agents")


TABLE_S = 5.0  # the DESIGN page's interval of tables
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
        # The lease's number and a count: no two tables of a node share it.
        self.table_number += 1
        header = table_wire.TableHeader(
            f"{self.incarnation}-{self.table_number}",
            demand,
            shortage,
            self.system.wall(),
            now - self.born,
            now - self.last_contact,
            self.revision,
            sorted(self.machine_types),
        )
        table = table_wire.write_table(header)
        most = min(self.settings.value_bytes, MAX_VALUE_BYTES) - FRAME_BYTES
        self.rows_in_table = self.needs_rows(now)
        overflow = []
        if self.rows_in_table:
            places = self.pack_rows(
                header.machine_types, now, most, most - len(orjson.dumps(table))
            )
            table_wire.add_machines(table, places)
            overflow = [table_wire.write_overflow_value(header.number, rows) for rows in places[1:]]
        tell(self.member.on_table, table, overflow)

    def pack_rows(self, machine_types, now, most, first_room):
        """The machines' rows in dictionaries of at most `most` bytes each, the first of them
        `first_room`.
        """
        places, room = [{}], first_room
        for name, row in self.rows(now, 2 * self.settings.lease_s).items():
            short = table_wire.compact_machine(row, machine_types, self.settings.zones)
            room -= len(orjson.dumps(short)) + len(name) + 4
            if room < 0:
                places.append({})
                room = most - len(orjson.dumps(short)) - len(name) - 4
            places[-1][name] = short
        return places

    def read_table(self, node):
        if node == self.settings.node:
            return
        try:
            found = table_wire.read_table(node, self.tables.get(node, {}), self.settings.zones)
            if found is not None:
                age_s = self.system.wall() - found.wall
                self.evidence.read_table(node, self.now(), age_s, found.view)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            log.info("the table of %s is odd (%s); the next one is awaited", node, error)
