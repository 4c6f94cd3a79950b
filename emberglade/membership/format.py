"""The cluster's record format: raised once, when every configured controller runs this version.

The previous version reads and rewrites records of format 1 only. Each controller of this version
writes a reader key, which states that its process also reads format 2. Once the live process of
every configured controller has written its reader key, one transaction raises the format
permanently. The transaction is conditional on the format key and all reader keys. If the limit on
conditions per transaction allows it, the transaction is also conditional on all node keys.

A controller may return to the previous version before the format is raised. Its new process then
writes a new node key with another incarnation than that of the reader key. A controller whose
replica shows both keys does not start the transaction. If the replica does not show the new node
key yet, the condition on that key makes the transaction fail, provided that it is included.
"""

import logging
from typing import TYPE_CHECKING, Any, NamedTuple

from ..actors import callback, send, send_after
from ..state import LIVE_PREFIX, Change, Priority, ReplicaSubscriber, Store
from ..state import wire as state_wire
from ..state.transaction_builder import CONDITIONS_PER_WRITE
from . import wire
from .wire import FORMAT_KEY

if TYPE_CHECKING:
    from ..config import Settings

log = logging.getLogger("emberglade.membership")

NEW_FORMAT = 2  # adds jobs with dependencies, and changes the layout of a job's parts
TICK_S = 0.5


class RecordError(ValueError):
    """A key read by the upgrade does not contain a record; the message states key and value."""


class ProcessKey(NamedTuple):
    """The incarnation and the mod revision of a node key or a reader key.

    The incarnation is None if the key's record does not contain one.
    """

    incarnation: int | None
    mod_revision: int


def is_raised(data: Any) -> bool:
    """Whether the value of FORMAT_KEY allows records of the new format."""
    return isinstance(data, dict) and wire.read_format(data) >= NEW_FORMAT


class FormatUpgrade(ReplicaSubscriber):
    """Announces that this controller reads the new format; raises the format when all read it.

    Attributes:
        raised: Whether the cluster uses the new format.
        processes: {controller: its node key, which names its live process}.
        readers: {controller: its reader key, which names a process that reads the new format}.
    """

    def __init__(self, settings: "Settings", store: Store) -> None:
        self.settings, self.store = settings, store
        self.raised = False
        self.processes: dict[str, ProcessKey] = {}
        self.readers: dict[str, ProcessKey] = {}
        self._format_mod_revision = 0
        self._is_committing = False

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: subscribes, and starts the tick."""
        super().on_begin()
        send_after(TICK_S, self.on_tick)

    def on_changed(self, changes: list[Change], revision: int, is_snapshot: bool) -> None:
        """Handles `changed(changes, revision, is_snapshot)` from the store.

        Applies changes of the format key, node keys and reader keys, and takes the next step of the
        upgrade.

        Raises:
            RecordError: A node key or reader key does not contain a JSON object.
        """
        if is_snapshot:
            self.processes, self.readers = {}, {}
        for change in changes:
            key = change.key
            if key == FORMAT_KEY:
                self.raised = self.raised or is_raised(change.data)
                self._format_mod_revision = change.mod_revision
            elif key.startswith(wire.NODE_PREFIX):
                self._apply(self.processes, key[len(wire.NODE_PREFIX) :], change)
            elif key.startswith(wire.READER_PREFIX):
                self._apply(self.readers, key[len(wire.READER_PREFIX) :], change)
        self.advance()

    @staticmethod
    def _apply(keys: dict[str, ProcessKey], node: str, change: Change) -> None:
        """Applies a change of one controller's node key or reader key to `keys`."""
        if change.data is None:
            keys.pop(node, None)
        elif not isinstance(change.data, dict):
            raise RecordError(f"key {change.key!r}: expected a JSON object, got {change.data!r}")
        else:
            keys[node] = ProcessKey(wire.read_incarnation(change.data), change.mod_revision)

    def on_tick(self) -> None:
        """Handles `tick`, sent to itself every TICK_S: takes the next step, if one is due."""
        send_after(TICK_S, self.on_tick)
        self.advance()

    # --- the steps

    def advance(self) -> None:
        """Takes the next step of the upgrade, if one is due."""
        if self.raised or self._is_committing or self.incarnation is None:
            return
        node = self.settings.node
        if not self._names_this_process(self.processes.get(node)):
            return
        if not self._names_this_process(self.readers.get(node)):
            record = wire.reader_record(self.incarnation, NEW_FORMAT)
            self._commit([], wire.reader_key(node), record)
        elif all(self.reads_new_format(name) for name in self.settings.names):
            log.info(
                "all controllers read the new record format; raising the cluster to format %d",
                NEW_FORMAT,
            )
            self._commit(self._conditions_for_raise(), FORMAT_KEY, wire.format_record(NEW_FORMAT))

    def _names_this_process(self, key: ProcessKey | None) -> bool:
        return key is not None and key.incarnation == self.incarnation

    def reads_new_format(self, name: str) -> bool:
        """Whether the live process of a controller has stated that it reads the new format."""
        process, reader = self.processes.get(name), self.readers.get(name)
        if process is None or reader is None:
            return False
        return process.incarnation == reader.incarnation

    def _conditions_for_raise(self) -> list[tuple[str, int]]:
        """The conditions `[(full key, mod_revision)]` of the transaction that raises the format.

        Node keys are included only if the limit on conditions per transaction allows it. They are
        rewritten every few seconds, so the transaction may fail; it is then repeated.
        """
        names = self.settings.names
        conditions = [(LIVE_PREFIX + FORMAT_KEY, self._format_mod_revision)]
        conditions += [
            (LIVE_PREFIX + wire.reader_key(name), self.readers[name].mod_revision) for name in names
        ]
        processes = [
            (LIVE_PREFIX + wire.node_key(name), self.processes[name].mod_revision) for name in names
        ]
        if len(conditions) + len(processes) <= CONDITIONS_PER_WRITE * self.settings.txn_ops:
            conditions += processes
        return conditions

    def _commit(self, conditions: list[tuple[str, int]], key: str, record: wire.Record) -> None:
        """Writes one key under `conditions`; the next step waits for the sync after the commit."""
        self._is_committing = True
        send(
            self.store.on_commit,
            Priority.DECISIONS,
            conditions,
            [state_wire.put(LIVE_PREFIX + key, record)],
            callback(self.on_sync_after_commit, self.on_seen),
        )

    def on_seen(self, revision: int | None) -> None:
        """Handles the sync after a commit (`sync_after_commit`).

        After a successful sync, the replica shows the outcome of the commit, and the next step is
        taken at once. After a failed sync, the next tick or change of the replica takes the next
        step.
        """
        self._is_committing = False
        if revision is not None:
            self.advance()
