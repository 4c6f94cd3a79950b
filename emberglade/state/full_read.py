"""Reads all live keys in pages: when the process starts, and after the replica missed changes."""

from collections.abc import Callable
from typing import Any

from ..actors import Actor, ActorPart, callback, send_after
from . import wire
from .requests import RequestQueue
from .wire import LIVE_PREFIX, Change

KEYS_PER_PAGE = 1000
RETRY_S = 0.5


class FullRead(ActorPart):
    """The part of the store that reads all live keys.

    `on_complete(rows, revision)` receives all live keys and the revision of the first page. Later
    pages may be of newer revisions. The rows become consistent when all changes since the revision
    of the first page are applied to them.
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
        """Requests the first page."""
        self._request_page("", [], None)

    def _request_page(self, after: str, found: list[Change], first_revision: int | None) -> None:
        """Requests the page that follows the key `after`.

        `after` is a key without LIVE_PREFIX; it is empty for the first page. `found` collects the
        rows of all pages.
        """
        start = LIVE_PREFIX + after if after else ""
        path = wire.list_path(LIVE_PREFIX, start, KEYS_PER_PAGE)
        self.requests.get(path, callback(self.on_page, found, first_revision))

    def on_page(
        self, found: list[Change], first_revision: int | None, status: int, body: Any
    ) -> None:
        """Handles the state service's response to the request for a page.

        Requests the next page while there is one. After an error or an invalid response, the read
        starts again from the first page after RETRY_S.
        """
        page = wire.read_page(body, LIVE_PREFIX) if status == 200 else None
        if page is None:
            send_after(RETRY_S, self.on_retry)
            return
        found.extend(page.rows)
        if first_revision is None:
            first_revision = page.revision
        if page.has_more and page.rows:
            self._request_page(page.rows[-1].key, found, first_revision)
        else:
            self.on_complete(found, first_revision)

    def on_retry(self) -> None:
        """Handles `retry`, sent to itself after a failed page: starts again from the first page."""
        self.start()
