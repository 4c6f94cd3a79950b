"""What actors have in common that follow the live keys."""

from typing import TYPE_CHECKING

from ..actors import Actor, callback, tell

if TYPE_CHECKING:
    from .store import Store


class ReplicaSubscriber(Actor):
    """Told `changed(events, revision, whole)` by the store; subclasses set `store`.

    `events` are `(key without LIVE_PREFIX, data or None, mod_revision)`; `whole` is True when
    they are the whole replica, read anew.
    """

    store: "Store"
    incarnation: int | None = None
    hears_contact = False  # whether it is told of every sync

    def on_begin(self):
        """Handles `begin` from the actor system: subscribes to the store."""
        tell(self.store.on_subscribe, self)

    def on_identity(self, incarnation):
        """Handles `identity(incarnation)` from the member: this process's incarnation is known."""
        self.incarnation = incarnation

    def on_sync_after_commit(self, seen, status, revision, failed):
        """Handles the store's answer to a commit told to answer here.

        `seen` is a handler of this actor. Whatever became of the commit, the replica shows it
        after a sync; the sync's revision (None if it failed) is then told to that handler.
        """
        tell(self.store.on_sync, callback(seen))

    def on_contact(self, when, revision):
        """Handles `contact(when, revision)` from the store, if `hears_contact` is set.

        A sync sent at `when` was answered, and brought the replica to `revision` at least.
        """
