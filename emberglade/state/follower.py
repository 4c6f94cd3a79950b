"""What actors have in common that follow the live keys."""

from ..actors import Actor


class Follower(Actor):
    """Told `changed(events, revision, whole)` by the store; subclasses set `store`."""

    store: Actor
    incarnation: int | None = None
    hears_contact = False  # whether it is told of every sync

    def on_begin(self):
        self.store.tell("subscribe", self)

    def on_identity(self, incarnation):
        """The membership has this process's incarnation."""
        self.incarnation = incarnation

    def on_contact(self, when, revision):
        """A sync sent at `when` was answered, and brought the copy to `revision` at least."""
