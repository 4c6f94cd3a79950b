"""The cluster's record format: raised once, when every configured controller runs the new version.

The version in production reads and rewrites records of format 1 only. Each controller of this
version states under a key of its own that it also reads format 2, naming its process. Once the live
process of every configured controller has done so, one transaction raises the format for good. It
is conditional on all of these keys, so it can't follow a controller's return to the older version.
"""

import logging
from typing import TYPE_CHECKING, Any, NamedTuple

from ..actors import callback, send, send_after
from ..state import LIVE_PREFIX, Change, Priority, ReplicaSubscriber, Store
from ..state import wire as state_wire
from . import wire
from .wire import FORMAT_KEY

if TYPE_CHECKING:
    from ..config import Settings

log = logging.getLogger("emberglade.membership")

NEW_FORMAT = 2  # from here on: jobs that await others, and parts laid out anew
TICK_S = 0.5
CONDITIONS_PER_WRITE = 4  # a transaction may have so many times more conditions than writes


class RecordError(ValueError):
    """A key that the upgrade reads holds no record; its message names the key and the value."""


class ProcessKey(NamedTuple):
    """A key that names a process of a controller."""

    incarnation: int | None
    mod_revision: int


def is_raised(data: Any) -> bool:
    """Whether the value of FORMAT_KEY shows that records of the new format may be written."""
    return isinstance(data, dict) and wire.read_format(data) >= NEW_FORMAT


class FormatUpgrade(ReplicaSubscriber):
    """States that this controller reads the new format, and raises the cluster's when all do.

    Attributes:
        raised: Whether the cluster's format is the new one.
        processes: The key of each controller's live process, by the controller's name.
        readers: The key of each process that reads the new format, by the controller's name.
    """

    def __init__(self, settings: "Settings", store: Store) -> None:
        self.settings, self.store = settings, store
        self.raised = False
        self.processes: dict[str, ProcessKey] = {}
        self.readers: dict[str, ProcessKey] = {}
        self._format_mod_revision = 0
        self._is_committing = False

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: subscribes, and ticks every TICK_S."""
        super().on_begin()
        send_after(TICK_S, self.on_tick)

    def on_changed(self, changes: list[Change], revision: int, is_snapshot: bool) -> None:
        """Handles `changed(changes, revision, is_snapshot)` from the store.

        Notes the format's key, the nodes' keys and the readers' keys, and takes the next step of
        the upgrade.

        Raises:
            RecordError: A node's or a reader's key holds something other than a JSON object.
        """
        if is_snapshot:
            self.processes, self.readers = {}, {}
        for change in changes:
            key = change.key
            if key == FORMAT_KEY:
                self.raised = self.raised or is_raised(change.data)
                self._format_mod_revision = change.mod_revision
            elif key.startswith(wire.NODE_PREFIX):
                self._note(self.processes, key[len(wire.NODE_PREFIX) :], change)
            elif key.startswith(wire.READER_PREFIX):
                self._note(self.readers, key[len(wire.READER_PREFIX) :], change)
        self.advance()

    @staticmethod
    def _note(rows: dict[str, ProcessKey], node: str, change: Change) -> None:
        """Notes the process that a key of a node names; `rows` are all keys of that kind."""
        if change.data is None:
            rows.pop(node, None)
        elif not isinstance(change.data, dict):
            raise RecordError(f"the key {change.key!r} holds {change.data!r}, not a JSON object")
        else:
            rows[node] = ProcessKey(wire.read_incarnation(change.data), change.mod_revision)

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
                "all controllers run the new version; raising the record format to %d", NEW_FORMAT
            )
            self._commit(self._raise_conditions(), FORMAT_KEY, wire.format_record(NEW_FORMAT))

    def _names_this_process(self, key: ProcessKey | None) -> bool:
        return key is not None and key.incarnation == self.incarnation

    def reads_new_format(self, name: str) -> bool:
        """Whether the live process of a controller has stated that it reads the new format."""
        process, reader = self.processes.get(name), self.readers.get(name)
        if process is None or reader is None:
            return False
        return process.incarnation == reader.incarnation

    def _raise_conditions(self) -> list[tuple[str, int]]:
        """The conditions `[(full key, mod_revision)]` that the raise hangs on.

        Those of the processes' keys, rewritten every few seconds, only where they fit.
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
        """Writes one key under `conditions`; nothing else is sent until a sync shows it."""
        self._is_committing = True
        send(
            self.store.on_commit,
            Priority.DECISIONS,
            conditions,
            [state_wire.put(LIVE_PREFIX + key, record)],
            callback(self.on_sync_after_commit, self.on_seen),
        )

    def on_seen(self, revision: int | None) -> None:
        """Handles the sync after a commit (`sync_after_commit`): the next step may be taken."""
        self._is_committing = False
        if revision is not None:
            self.advance()
