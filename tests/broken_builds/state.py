"""Broken builds of commits and syncs."""

from emberglade.state.store import LIVE_PREFIX, Store


def commits_unconditionally(patch):
    """Commits of jobs hang on nothing: not on the shard's epoch, nor on what the record was."""
    original = Store.on_commit

    def on_commit(self, priority, conditions, writes, reply):
        original(
            self,
            priority,
            [
                c
                for c in conditions
                if not c[0].startswith((LIVE_PREFIX + "j/", LIVE_PREFIX + "s/", LIVE_PREFIX + "t/"))
                or not c[1]
            ],
            writes,
            reply,
        )

    patch.setattr(Store, "on_commit", on_commit)


def answers_without_sync(patch):
    """Users are told what the copy shows, however old it is."""
    patch.setattr(
        Store, "on_sync", lambda self, reply: reply(self.revision if self.revision >= 0 else None)
    )
