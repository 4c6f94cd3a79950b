"""This controller's key in the store, which contains its table of machines.

The sizes of values and transactions are limited, so a long table takes several keys and perhaps
several transactions. Readers wait until all parts with the same table number are present.
"""

import logging
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Any, NamedTuple

from ..actors import Actor, ActorPart, callback, send
from ..state import LIVE_PREFIX, Priority
from ..state import wire as state_wire
from ..state.transaction_builder import TransactionBuilder
from . import wire
from .lease import NodeLease

if TYPE_CHECKING:
    from ..config import Settings
    from ..state import Store

log = logging.getLogger("emberglade.membership")


class OverflowValue(NamedTuple):
    """A part of the table that has a key of its own."""

    number: int
    data: Any


class NodeKey(ActorPart):
    """The part of the membership actor that writes the node key and its table's overflow values.

    Attributes:
        is_stale: Whether the key has to be written.
    """

    def __init__(
        self, actor: Actor, settings: "Settings", store: "Store", lease: NodeLease
    ) -> None:
        super().__init__(actor)
        self.settings, self.store, self.lease = settings, store, lease
        self.is_stale = True
        self._table: Any = None
        self._overflow: Sequence[Any] = ()
        self._unwritten: list[OverflowValue] = []
        self._overflow_key_count = 0  # keys of overflow values that may exist
        self._is_writing = False

    def set_table(self, table: Any, overflow: Sequence[Any]) -> None:
        """Writes a new table; `overflow` are the values that don't fit in the node key."""
        self._table = table
        self._overflow = overflow
        self.rewrite()

    def rewrite(self) -> None:
        """Writes the key again, with the current lease and table."""
        self.is_stale = True
        self.write_if_stale()

    def write_if_stale(self) -> None:
        """Writes the key with its table, and the first overflow values, if the key is stale.

        If some keys of overflow values are no longer needed, this transaction instead removes as
        many of them as fit, and all overflow values are written by the next transactions.
        """
        if self._is_writing or self.lease.id is None or not self.is_stale:
            return
        self._is_writing = True
        self.is_stale = False
        surplus = self._surplus_keys()
        self._overflow_key_count = len(self._overflow)
        self._unwritten = [OverflowValue(*row) for row in enumerate(self._overflow)]
        transaction = TransactionBuilder(self.settings.txn_ops)
        transaction.add([], [self._node_write()])
        if surplus:
            self._add_removals(transaction, surplus)
        else:
            self._add_overflow_values(transaction)
        self._commit(transaction)

    def _surplus_keys(self) -> list[str]:
        """The keys of overflow values that are no longer needed."""
        numbers = range(len(self._overflow), self._overflow_key_count)
        return [wire.overflow_key(self.settings.node, number) for number in numbers]

    def _node_write(self) -> dict[str, Any]:
        return state_wire.put(
            LIVE_PREFIX + wire.node_key(self.settings.node),
            wire.node_record(self.lease.incarnation, self._table),
            self.lease.id,
        )

    @staticmethod
    def _add_removals(transaction: TransactionBuilder, keys: Iterable[str]) -> None:
        """Adds the removal of as many of these keys as fit."""
        for key in keys:
            if not transaction.add([], [state_wire.remove(LIVE_PREFIX + key)]):
                return

    def _add_overflow_values(self, transaction: TransactionBuilder) -> None:
        """Takes as many overflow values as fit out of `_unwritten` and adds them."""
        while self._unwritten:
            if not transaction.add([], [self._overflow_write(self._unwritten[0])]):
                return
            self._unwritten.pop(0)

    def _overflow_write(self, value: OverflowValue) -> dict[str, Any]:
        key = wire.overflow_key(self.settings.node, value.number)
        return state_wire.put(LIVE_PREFIX + key, value.data, self.lease.id)

    def _commit(self, transaction: TransactionBuilder) -> None:
        """Sends a transaction; the answer goes to `on_written`."""
        reply = callback(self.on_written, self.lease.id)
        send(self.store.on_commit, Priority.DECISIONS, [], transaction.writes, reply)

    def on_written(self, lease: int | None, status: int, revision: int | None, failed: Any) -> None:
        """Handles the store's answer to a write of the node key or overflow values.

        On success, writes the next batch, if there is one and the key has not become stale
        meanwhile. If the lease has expired, requests a new one, under which the key is written
        again. A table that the state service rejects is logged and not retried. After any other
        failure the key is written again on the next tick.
        """
        is_current = lease == self.lease.id and not self.is_stale
        if status == 200 and self._unwritten and is_current:
            transaction = TransactionBuilder(self.settings.txn_ops)
            self._add_overflow_values(transaction)
            self._commit(transaction)
            return
        self._is_writing = False
        if self.lease.replace_if_expired(lease, status, failed):
            return
        if status == 400 and failed != state_wire.NO_SUCH_LEASE:
            # The lease is valid, so neither a new lease nor a retry of the same table would help.
            log.error(
                "state service rejected this controller's table (%s); "
                "peers receive its machines only in direct answers",
                failed,
            )
        elif status != 200:
            self.is_stale = True
