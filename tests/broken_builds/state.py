"""Broken builds of commits and read barriers."""

from emberglade.state.store import LIVE_PREFIX, Store
from emberglade.state.transaction_builder import TransactionBuilder

CONDITIONAL_PREFIXES = tuple(LIVE_PREFIX + prefix for prefix in ("j/", "s/", "t/"))


def commits_unconditionally(patch):
    """Commits of jobs are not conditional on the shard's epoch or the record's mod revision."""
    original = Store.on_commit

    def on_commit(self, priority, conditions, writes, reply):
        kept = [
            (key, mod_revision)
            for key, mod_revision in conditions
            if not key.startswith(CONDITIONAL_PREFIXES) or not mod_revision
        ]
        original(self, priority, kept, writes, reply)

    patch.setattr(Store, "on_commit", on_commit)


def answers_without_sync(patch):
    """Read barriers return the replica's revision immediately, however old it is."""
    patch.setattr(
        Store, "on_sync", lambda self, reply: reply(self.revision if self.revision >= 0 else None)
    )


def transactions_of_any_size(patch):
    """Transactions are limited in their writes, but not in their bytes."""
    patch.setattr(
        TransactionBuilder,
        "_has_space",
        lambda self, conditions, writes, part_bytes: len(self.writes) + writes <= self._max_writes,
    )
