"""The base class of actors that follow the live keys, and the list of all subscribers."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..actors import Actor, callback, send
from .wire import Change

if TYPE_CHECKING:
    from .store import Store

SyncReply = Callable[[int | None], None]  # reply(revision), or reply(None) if the sync failed


class ReplicaSubscriber(Actor):
    """Receives `changed(changes, revision, is_snapshot)` from the store; subclasses set `store`.

    Attributes:
        store: The store that it follows.
        incarnation: The incarnation of this process; None until it is known.
        follows_syncs: Whether it also receives `sync_answered`, and `changed` messages that
            carry only the replica's revision.
    """

    store: "Store"
    incarnation: int | None = None
    follows_syncs = False

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: subscribes to the store."""
        send(self.store.on_subscribe, self)

    def on_identity(self, incarnation: int) -> None:
        """Handles `identity(incarnation)` from the membership actor.

        The message is sent when this process gets its first lease, whose ID is the incarnation.
        """
        self.incarnation = incarnation

    def on_changed(self, changes: list[Change], revision: int, is_snapshot: bool) -> None:
        """Handles `changed(changes, revision, is_snapshot)` from the store.

        Args:
            changes: The new changes in order; keys are without LIVE_PREFIX.
            revision: The replica now shows all changes up to this revision.
            is_snapshot: Whether `changes` are the complete replica, not a difference.
        """

    def on_sync_answered(self, sent_at: float, revision: int) -> None:
        """Handles `sync_answered(sent_at, revision)` from the store, if `follows_syncs` is set.

        The response to a sync sent at `sent_at` brought the replica to `revision` or later.
        """

    def on_sync_after_commit(
        self, seen: SyncReply, status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's response to a commit: requests a sync.

        After the sync, the replica shows the outcome of the commit, whatever it was. The handler
        `seen` of this actor then receives the sync's revision, or None if the sync failed.
        """
        send(self.store.on_sync, callback(seen))


class Subscribers:
    """The subscribers of a store; they are notified in the order of subscription."""

    def __init__(self) -> None:
        self._actors: list[ReplicaSubscriber] = []

    def add(self, actor: ReplicaSubscriber) -> None:
        """Adds a subscriber."""
        self._actors.append(actor)

    def notify_changes(
        self, changes: list[Change], revision: int, is_snapshot: bool = False
    ) -> None:
        """Sends committed changes to all subscribers."""
        for actor in self._actors:
            send(actor.on_changed, changes, revision, is_snapshot)

    def notify_revision(self, revision: int) -> None:
        """Sends the replica's revision, without changes, to subscribers that follow syncs."""
        for actor in self._actors:
            if actor.follows_syncs:
                send(actor.on_changed, [], revision, False)

    def notify_sync_answered(self, sent_at: float, revision: int) -> None:
        """Notifies the subscribers that follow syncs of an answered sync."""
        for actor in self._actors:
            if actor.follows_syncs:
                send(actor.on_sync_answered, sent_at, revision)
