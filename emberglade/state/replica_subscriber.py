"""What actors have in common that follow the live keys, and the list of all of them."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..actors import Actor, callback, send
from .wire import Change

if TYPE_CHECKING:
    from .store import Store

SyncReply = Callable[[int | None], None]  # reply(revision), or reply(None) if the sync failed


class ReplicaSubscriber(Actor):
    """Told `changed(changes, revision, is_snapshot)` by the store; subclasses set `store`.

    Attributes:
        store: The store that it follows.
        incarnation: This process's, None until it is known.
        follows_syncs: Whether it is told of every sync that was answered.
    """

    store: "Store"
    incarnation: int | None = None
    follows_syncs = False

    def on_begin(self) -> None:
        """Handles `begin` from the actor system: subscribes to the store."""
        send(self.store.on_subscribe, self)

    def on_identity(self, incarnation: int) -> None:
        """Handles `identity(incarnation)` from the member: this process's incarnation is known."""
        self.incarnation = incarnation

    def on_changed(self, changes: list[Change], revision: int, is_snapshot: bool) -> None:
        """Handles `changed(changes, revision, is_snapshot)` from the store.

        Args:
            changes: What is new, in its order; keys are without LIVE_PREFIX.
            revision: The replica now shows all changes up to this one.
            is_snapshot: Whether `changes` are the whole replica, read anew.
        """

    def on_sync_answered(self, sent_at: float, revision: int) -> None:
        """Handles `sync_answered(sent_at, revision)` from the store, if `follows_syncs` is set.

        A sync sent at `sent_at` was answered, and brought the replica to `revision` at least.
        """

    def on_sync_after_commit(
        self, seen: SyncReply, status: int, revision: int | None, failed: Any
    ) -> None:
        """Handles the store's answer to a commit told to answer here.

        `seen` is a handler of this actor. Whatever became of the commit, the replica shows it
        after a sync; the sync's revision (None if it failed) is then told to that handler.
        """
        send(self.store.on_sync, callback(seen))


class Subscribers:
    """All who follow one store; each is told in the order in which it subscribed."""

    def __init__(self) -> None:
        self._actors: list[ReplicaSubscriber] = []

    def add(self, actor: ReplicaSubscriber) -> None:
        """From now on this actor is told as well."""
        self._actors.append(actor)

    def notify_changes(
        self, changes: list[Change], revision: int, is_snapshot: bool = False
    ) -> None:
        """Tells all of committed changes."""
        for actor in self._actors:
            send(actor.on_changed, changes, revision, is_snapshot)

    def notify_revision(self, revision: int) -> None:
        """Tells those that follow syncs how far the replica is, also if nothing is new."""
        for actor in self._actors:
            if actor.follows_syncs:
                send(actor.on_changed, [], revision, False)

    def notify_sync_answered(self, sent_at: float, revision: int) -> None:
        """Tells those that follow syncs that one was answered."""
        for actor in self._actors:
            if actor.follows_syncs:
                send(actor.on_sync_answered, sent_at, revision)
