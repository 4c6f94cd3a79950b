"""The local replica: all live keys as of one revision, and the changes of late."""

from collections import deque
from collections.abc import Iterable

from .wire import Change, KeyValue

NOT_LOADED = -1  # the revision of a replica that was not read yet, or has to be read anew


class Replica:
    """What all live keys hold; keys are without LIVE_PREFIX.

    Attributes:
        revision: The replica shows all changes up to this one; NOT_LOADED: nothing yet.
    """

    def __init__(self, recent_limit: int) -> None:
        """Makes an empty replica that keeps the `recent_limit` newest changes for peers."""
        self.revision = NOT_LOADED
        self._rows: dict[str, Change] = {}
        # What a peer that the state service refuses may still learn here.
        self._recent: deque[Change] = deque(maxlen=recent_limit)
        self._recent_after = NOT_LOADED  # `_recent` holds all changes after this revision

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def is_loaded(self) -> bool:
        """Whether the replica shows the keys as of some revision."""
        return self.revision >= 0

    def rows(self) -> list[Change]:
        """All keys as they are."""
        return list(self._rows.values())

    def get(self, key: str) -> KeyValue | None:
        """What a key holds, or None if it is not there."""
        row = self._rows.get(key)
        return None if row is None else KeyValue(row.data, row.mod_revision)

    def invalidate(self) -> None:
        """The changes after its revision can't be had any more; it has to be read anew."""
        self.revision = NOT_LOADED

    def replace(self, rows: Iterable[Change], revision: int) -> list[Change]:
        """Takes in all live keys, read from `revision` on.

        Returns:
            What the whole replica is now, after the removals of keys that are gone.
        """
        fresh = {row.key: row for row in rows}
        gone = [Change(key, None, revision) for key in self._rows if key not in fresh]
        self._rows = fresh
        self.revision = self._recent_after = revision
        self._recent.clear()
        return gone + list(fresh.values())

    def apply(self, changes: Iterable[Change], revision: int) -> list[Change]:
        """Takes in committed changes, which together lead up to `revision`.

        Changes at or below the replica's own revision are left out. That becomes `revision`, if
        newer.

        Returns:
            The changes that are new here.
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
        """The changes after `revision` in their order, or None if not all of them are kept."""
        if not self.is_loaded or not self._recent_after <= revision <= self.revision:
            return None
        return [change for change in self._recent if change.mod_revision > revision]
