"""The local replica of all live keys, and the most recent changes."""

from collections import deque
from collections.abc import Iterable

from .wire import Change, KeyValue

NOT_LOADED = -1  # the revision of a replica that was not read yet or must be read again


class Replica:
    """The values of all live keys; keys are without LIVE_PREFIX.

    Attributes:
        revision: The replica shows all changes up to this revision; NOT_LOADED if it is invalid.
    """

    def __init__(self, recent_limit: int) -> None:
        """Creates an empty replica that keeps the newest `recent_limit` changes for peers."""
        self.revision = NOT_LOADED
        self._rows: dict[str, Change] = {}  # key -> its newest change
        # A peer without access to the state service can request these changes from this controller.
        self._recent: deque[Change] = deque(maxlen=recent_limit)
        self._recent_after = NOT_LOADED  # `_recent` holds all changes after this revision

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def is_loaded(self) -> bool:
        """Whether all live keys have been read, and no change has been missed since."""
        return self.revision >= 0

    def rows(self) -> list[Change]:
        """All keys with their current values."""
        return list(self._rows.values())

    def get(self, key: str) -> KeyValue | None:
        """The value of a key, or None if the key does not exist."""
        row = self._rows.get(key)
        return None if row is None else KeyValue(row.data, row.mod_revision)

    def invalidate(self) -> None:
        """Marks the replica as not loaded, because changes after its revision were missed."""
        self.revision = NOT_LOADED

    def replace(self, rows: Iterable[Change], revision: int) -> list[Change]:
        """Replaces the contents by `rows`, all live keys as a full read found them.

        `revision` is the revision of the first page. Later pages may be of newer revisions; the
        replica becomes consistent when the changes after `revision` are applied (full_read.py).

        Returns:
            The removals of keys that no longer exist, followed by all current keys.
        """
        fresh = {row.key: row for row in rows}
        gone = [Change(key, None, revision) for key in self._rows if key not in fresh]
        self._rows = fresh
        self.revision = self._recent_after = revision
        self._recent.clear()
        return gone + list(fresh.values())

    def apply(self, changes: Iterable[Change], revision: int) -> list[Change]:
        """Applies committed changes up to `revision`.

        Changes at or below the replica's revision are ignored. The replica's revision becomes
        the higher of `revision` and its current value.

        Returns:
            The changes that were applied.
        """
        current = self.revision
        fresh = [change for change in changes if change.mod_revision > current]
        for change in fresh:
            if change.data is None:
                self._rows.pop(change.key, None)
            else:
                self._rows[change.key] = change
            if len(self._recent) == self._recent.maxlen:
                self._recent_after = self._recent[0].mod_revision
            self._recent.append(change)
        self.revision = max(current, revision)
        return fresh

    def changes_after(self, revision: int) -> list[Change] | None:
        """The changes after `revision` in order, or None.

        None if the replica is not loaded, if `revision` is newer than the replica's revision, or if
        some of these changes are no longer kept.
        """
        if not self.is_loaded or not self._recent_after <= revision <= self.revision:
            return None
        return [change for change in self._recent if change.mod_revision > revision]
