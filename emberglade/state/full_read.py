"""Reads all live keys, page after page: at the start, and when changes were missed."""

from collections.abc import Callable
from typing import Any

from ..actors import Actor, ActorPart, callback, send_after
from . import wire
from .requests import RequestQueue
from .wire import LIVE_PREFIX, Change

KEYS_PER_PAGE = 1000
RETRY_S = 0.5


class FullRead(ActorPart):
    """The part of the store that reads everything.

    `on_complete(rows, revision)` gets all live keys; the revision is that of the first page, and
    pages are read at growing revisions: the changes since the first one mend the rest.
    """

    def __init__(
        self,
        actor: Actor,
        requests: RequestQueue,
        on_complete: Callable[[list[Change], int], None],
    ) -> None:
        super().__init__(actor)
        self.requests = requests
        self.on_complete = on_complete

    def start(self) -> None:
        """Asks for the first page."""
        self._ask_for_page("", [], None)

    def _ask_for_page(self, after: str, found: list[Change], first_revision: int | None) -> None:
        """Asks for the keys after `after` (a key without LIVE_PREFIX; empty: from the start).

        `found` collects the rows of all pages.
        """
        start = LIVE_PREFIX + after if after else ""
        path = wire.list_path(LIVE_PREFIX, start, KEYS_PER_PAGE)
        self.requests.get(path, callback(self.on_page, found, first_revision))

    def on_page(
        self, found: list[Change], first_revision: int | None, status: int, body: Any
    ) -> None:
        """Handles the answer to one page, from the state service.

        Asks for the next page while there is one. An odd answer begins anew after RETRY_S.
        """
        page = wire.read_page(body, LIVE_PREFIX) if status == 200 else None
        if page is None:
            send_after(RETRY_S, self.on_retry)
            return
        found.extend(page.rows)
        if first_revision is None:
            first_revision = page.revision
        if page.has_more and page.rows:
            self._ask_for_page(page.rows[-1].key, found, first_revision)
        else:
            self.on_complete(found, first_revision)

    def on_retry(self) -> None:
        """Handles `retry`, sent to itself after a page that could not be read: begins anew."""
        self.start()
