"""Writes the leader's changes of taints, one transaction at a time."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

from ..actors import Actor, ActorPart, callback, send, send_after
from ..config import Settings
from ..membership import Owner
from ..state import Store
from .leadership import Leadership
from .states import Taint
from .taint_change import ChangeLimits, plan_change
from .taints import Taints

SYNC_RETRY_S = 0.5


class TaintWriter(ActorPart):
    """Queues changes of taints and writes them to the store.

    Attributes:
        pending: {machine: new taint} for changes not sent yet; None removes the taint.
        in_flight: {machine: new taint} for the changes in the current transaction.
        format_raised: Whether the cluster's record format was raised, which proves that every
            controller also reads taints in other keys than their home key.
    """

    def __init__(
        self, actor: Actor, settings: Settings, store: Store, leadership: Leadership, taints: Taints
    ) -> None:
        super().__init__(actor)
        self.settings = settings
        self.store = store
        self.leadership = leadership
        self.taints = taints
        self.pending: dict[str, Taint | None] = {}
        self.in_flight: dict[str, Taint | None] = {}
        self.format_raised = False

    def begin_leadership(self) -> None:
        """Discards the changes of an earlier leadership."""
        self.pending = {}
        self.in_flight = {}

    def is_changing(self, machine: str) -> bool:
        """Whether a change of this machine's taint is pending or in flight."""
        return machine in self.in_flight or machine in self.pending

    def change(self, machines: Iterable[str], taint: Taint | None) -> None:
        """Sets the taint of machines; None removes it.

        Each machine has at most one change at a time, so that every change is based on the
        machine's committed taint. A change to GONE, the proof that nothing runs there, replaces a
        pending change; any other is ignored while one is pending. While a change of the machine is
        in flight, every new one is ignored.
        """
        replaces = taint == Taint.GONE
        self.pending.update(
            (name, taint)
            for name in machines
            if name not in self.in_flight and (replaces or name not in self.pending)
        )
        self._write()

    def _write(self) -> None:
        """Writes as many pending changes as fit in one transaction, unless one is in progress."""
        if self.in_flight or not self.pending or not self.leadership.is_leader:
            return
        limits = ChangeLimits(self.settings.value_bytes, self.settings.txn_ops, self.format_raised)
        values, self.in_flight = plan_change(self.taints, self.pending, limits)
        if not self.in_flight:
            return
        for name in self.in_flight:
            del self.pending[name]
        self.leadership.commit(
            [(key, row.mod_revision) for key, row in values.items()],
            [(key, row.taints) for key, row in values.items()],
            callback(self.on_written, self.leadership.owner),
        )

    def on_written(self, owner: Owner, status: int, revision: int | None, failed: Any) -> None:
        """Handles the store's answer to a commit of taints: requests a sync, to see the outcome.

        `owner` is the owner of the leader's key when the commit was sent.
        """
        send(self.store.on_sync, callback(self.on_taints_synced, owner, status))

    def on_taints_synced(self, owner: Owner, status: int, revision: int | None) -> None:
        """Handles the sync after a commit of taints that was answered with `status`.

        Writes the changes that became pending meanwhile; after a failed sync, requests another one.
        Does nothing if the owner of the leader's key is no longer `owner`.
        """
        if self.leadership.owner != owner:
            return
        if revision is None:
            # The sync failed, so the replica may not show this write yet. The next change is based
            # on the replica, so it must wait.
            send_after(SYNC_RETRY_S, self.on_written, owner, status, None, None)
            return
        written, self.in_flight = self.in_flight, {}
        if status != HTTPStatus.OK:
            # Other changes are requested again while their cause persists. The proof that a machine
            # is gone arrives only once, so that change must be kept.
            self.pending.update(
                (name, taint)
                for name, taint in written.items()
                if taint == Taint.GONE and self.taints.get(name) != Taint.GONE
            )
        self._write()
