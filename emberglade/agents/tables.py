"""Status tables that controllers write to the store.

A table states the demand that its controller counted. It also contains the controller's view of
its machines whenever some live peer has not exchanged views with it recently.
"""

import logging
from typing import Any

import orjson

from ..actors import Actor, callback, send, send_after
from .peer_exchange import PeerExchange
from .shared_state import AgentPart, SharedState
from .wire import tables as table_wire

log = logging.getLogger("emberglade.agents")

TABLE_INTERVAL_S = 5.0  # required by the DESIGN page
TABLE_OVERHEAD_BYTES = 96  # for the node's incarnation, the table's number and field names
ENTRY_OVERHEAD_BYTES = 4  # punctuation of a machine's entry, besides its name and its row
# A table's value is not larger than this even if the store accepts larger values, because the size
# of a transaction is limited too.
MAX_VALUE_BYTES = 32 * 1024


class Tables(AgentPart):
    """Writes this controller's table and reads those of its peers.

    Attributes:
        incarnation: This process's incarnation; None until it is known.
        has_machines: Whether the last table contained machines.
    """

    def __init__(
        self,
        actor: Actor,
        shared: SharedState,
        job_manager: Any,
        member: Any,
        exchange: PeerExchange,
    ) -> None:
        super().__init__(actor, shared)
        self.job_manager = job_manager
        self.member = member
        self.exchange = exchange
        self.incarnation: int | None = None
        self.last_number = 0
        self.has_machines = False

    def on_write_table(self) -> None:
        """Handles `write_table`, a timer of TABLE_INTERVAL_S."""
        send_after(TABLE_INTERVAL_S, self.on_write_table)
        self._begin_table()

    def write_early(self) -> None:
        """Writes a table at once if it has to contain machines and the last one did not."""
        if self.exchange.lacks_peer_exchange(self.now()) and not self.has_machines:
            self._begin_table()

    def _begin_table(self) -> None:
        send(self.job_manager.on_demand, callback(self.on_demand_counted))

    def on_demand_counted(self, demand: dict, shortage: dict) -> None:
        """Handles the job manager's counts: builds a table, which the membership actor stores.

        Machines are the largest part of a table. If every table contained them, tables would be
        most of the data that an idle cluster writes. So a table contains machines only while some
        live peer has not exchanged views with this controller recently.
        """
        now = self.now()
        header = self._header(demand, shortage, now)
        table = table_wire.write_table(header)
        overflow: list[dict] = []
        self.has_machines = self.exchange.lacks_peer_exchange(now)
        if self.has_machines:
            value_bytes = min(self.settings.value_bytes, MAX_VALUE_BYTES) - TABLE_OVERHEAD_BYTES
            first_bytes = value_bytes - len(orjson.dumps(table))
            values = self._pack_machines(header.machine_types, now, value_bytes, first_bytes)
            table_wire.add_machines(table, values)
            overflow = [
                table_wire.write_overflow_value(header.number, machines) for machines in values[1:]
            ]
        send(self.member.on_table, table, overflow)

    def _header(self, demand: dict, shortage: dict, now: float) -> table_wire.TableHeader:
        # The incarnation and a counter make the number unique among this controller's tables.
        self.last_number += 1
        return table_wire.TableHeader(
            number=f"{self.incarnation}-{self.last_number}",
            demand=demand,
            shortage=shortage,
            wall_time=self.system.wall_time(),
            up_s=now - self.evidence.began_at,
            contact_age_s=now - self.evidence.last_sync_sent_at,
            revision=self.committed.revision,
            machine_types=sorted(self.committed.machine_types),
        )

    def _pack_machines(
        self, machine_types: list[str], now: float, value_bytes: int, first_bytes: int
    ) -> list[dict[str, list]]:
        """Splits the machines into values of at most `value_bytes`, the first of `first_bytes`."""
        values: list[dict[str, list]] = [{}]
        bytes_left = first_bytes
        for name, machine in self.records.known_machines(now, 2 * self.settings.lease_s).items():
            row = table_wire.compact_machine(machine, machine_types, self.settings.zones)
            row_bytes = len(orjson.dumps(row)) + len(name) + ENTRY_OVERHEAD_BYTES
            bytes_left -= row_bytes
            if bytes_left < 0:
                values.append({})
                bytes_left = value_bytes - row_bytes
            values[-1][name] = row
        return values

    def read(self, node: str) -> None:
        """Reads a peer's table from the replica; ignores a table that lacks some of its values."""
        if node == self.settings.node:
            return
        stored = self.committed.tables.get(node, {})
        try:
            table = table_wire.read_table(node, stored, self.settings.zones)
            if table is not None:
                age_s = self.system.wall_time() - table.wall_time
                self.evidence.add_table(node, self.now(), age_s, table.view)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            log.info(
                "status table of controller %s is malformed (%s); ignoring it until the next one",
                node,
                error,
            )
