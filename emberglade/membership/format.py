"""The cluster's record format: raised once, when every configured controller runs the new version.

The version in production reads and rewrites records of format 1 only. Each controller of this
version states under a key of its own that it also reads format 2, naming its process. Once the live
process of every configured controller has done so, one transaction raises the format for good. It
is conditional on all of these keys, so it can't follow a controller's return to the older version.
"""

import logging

from ..actors import callback, tell, tell_after
from ..state import LIVE_PREFIX, ReplicaSubscriber
from ..state import wire as state_wire
from ..state.store import DECISIONS
from . import wire
from .wire import FORMAT_KEY

log = logging.getLogger("emberglade.membership")

NEW_FORMAT = 2  # from here on: jobs that await others, and parts laid out anew


class RecordError(ValueError):
    """A key that the upgrade reads holds no record; its message names the key and the value."""


def is_raised(data):
    """Whether the value of FORMAT_KEY shows that records of the new format may be written."""
    return isinstance(data, dict) and wire.read_format(data) >= NEW_FORMAT


class FormatUpgrade(ReplicaSubscriber):
    """States that this controller reads the new format, and raises the cluster's when all do."""

    def __init__(self, settings, store):
        self.settings, self.store = settings, store
        self.raised = False
        self.format_mod_revision = 0
        self.processes = {}  # controller -> (incarnation of its live process, stamp of its key)
        self.readers = {}  # controller -> (incarnation that reads the new format, stamp of its key)
        self.busy = False

    def on_begin(self):
        """Handles `begin` from the actor system: subscribes, and ticks every 0.5 s."""
        super().on_begin()
        tell_after(0.5, self.on_tick)

    def on_changed(self, events, revision, whole):
        """Handles `changed(events, revision, whole)` from the store.

        Notes the format's key, the nodes' keys and the readers' keys, and takes the next step of
        the upgrade.
        """
        if whole:
            self.processes, self.readers = {}, {}
        for key, data, mod_revision in events:
            if key == FORMAT_KEY:
                self.raised, self.format_mod_revision = self.raised or is_raised(data), mod_revision
            elif key.startswith(wire.NODE_PREFIX):
                self._note(self.processes, key, wire.NODE_PREFIX, data, mod_revision)
            elif key.startswith(wire.READER_PREFIX):
                self._note(self.readers, key, wire.READER_PREFIX, data, mod_revision)
        self.advance()

    @staticmethod
    def _note(rows, key, prefix, data, mod_revision):
        """Notes the incarnation and stamp of `key` (`prefix` and a node's name) in `rows` by node.

        Raises:
            RecordError: the key holds something other than a JSON object.
        """
        node = key[len(prefix) :]
        if data is None:
            rows.pop(node, None)
        elif not isinstance(data, dict):
            raise RecordError(f"the key {key!r} holds {data!r}, not a JSON object")
        else:
            rows[node] = (wire.read_incarnation(data), mod_revision)

    def on_tick(self):
        """Handles `tick`, sent to itself every 0.5 s: takes the next step, if one is due."""
        tell_after(0.5, self.on_tick)
        self.advance()

    def advance(self):
        """Takes the next step of the upgrade, if one is due."""
        node = self.settings.node
        if (
            self.raised
            or self.busy
            or self.processes.get(node, (None,))[0] != self.incarnation
            or self.incarnation is None
        ):
            return
        if self.readers.get(node, (None,))[0] != self.incarnation:
            write = state_wire.put(
                LIVE_PREFIX + wire.reader_key(node),
                wire.reader_record(self.incarnation, NEW_FORMAT),
            )
            self.commit([], write)
        elif all(self.reads_new_format(name) for name in self.settings.names):
            log.info(
                "all controllers run the new version; raising the record format to %d", NEW_FORMAT
            )
            self.commit(
                self.raise_conditions(),
                state_wire.put(LIVE_PREFIX + FORMAT_KEY, wire.format_record(NEW_FORMAT)),
            )

    def reads_new_format(self, name):
        """Whether the live process of a controller has stated that it reads the new format."""
        process, reader = self.processes.get(name), self.readers.get(name)
        return process is not None and reader is not None and process[0] == reader[0]

    def raise_conditions(self):
        """The conditions `[(full key, mod_revision)]` that the raise hangs on.

        Those of the processes' keys, rewritten every few seconds, only where there is room.
        """
        conditions = [(LIVE_PREFIX + FORMAT_KEY, self.format_mod_revision)]
        conditions += [
            (LIVE_PREFIX + wire.reader_key(name), self.readers[name][1])
            for name in self.settings.names
        ]
        processes = [
            (LIVE_PREFIX + wire.node_key(name), self.processes[name][1])
            for name in self.settings.names
        ]
        if len(conditions) + len(processes) <= 4 * self.settings.txn_ops:
            conditions += processes
        return conditions

    def commit(self, conditions, write):
        """Sends one write under `conditions`; nothing else is sent until a sync shows it."""
        self.busy = True
        tell(
            self.store.on_commit,
            DECISIONS,
            conditions,
            [write],
            callback(self.on_sync_after_commit, self.on_seen),
        )

    def on_seen(self, revision):
        """Handles the sync after a commit (`sync_after_commit`): the next step may be taken."""
        self.busy = False
        if revision is not None:
            self.advance()
