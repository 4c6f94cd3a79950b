"""The watches of the state service's stand-in, and the change history that they read."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from . import state_wire as wire
from .world import CLOCK_SLACK_S, Reply

if TYPE_CHECKING:
    from .state_service import StateService

KEPT_CHANGES = 10_000
AFTER_OUTAGE_DELAY_S = 0.01  # from the end of an outage until watches are answered


@dataclass(eq=False)
class Watch:
    """A long-poll request for changes below a prefix."""

    prefix: str
    since: int
    until: float
    reply: Reply
    source: str


class Watches:
    """The open watches of a state service.

    Attributes:
        changes: The newest changes as (revision, key, event); `event` is in its wire form.
    """

    def __init__(self, service: "StateService") -> None:
        self.service = service
        self.world = service.world
        self.changes: list[tuple[int, str, dict[str, Any]]] = []
        self.open_watches: list[Watch] = []

    def record(self, revision: int, key: str, event: dict[str, Any]) -> None:
        """Adds a change to the history; `serve` sends it to the watches."""
        self.changes.append((revision, key, event))
        del self.changes[:-KEPT_CHANGES]

    def open(self, request: wire.WatchRequest, source: str, reply: Reply) -> None:
        """Holds a watch open until there is a change or its wait time has passed.

        A watch whose changes are no longer all in the history is answered with 410 at once.
        """
        if self.changes and request.since < self.changes[0][0] - 1:
            reply(410, {})
            return
        until = self.world.now + request.wait_s
        self.open_watches.append(Watch(request.prefix, request.since, until, reply, source))
        self.serve()
        self.world.at(request.wait_s, self.serve)

    def serve(self) -> None:
        """Answers the watches that have changes or whose wait time has passed."""
        outage_s = self.service.outage_until - self.world.now
        if outage_s > 0:
            self.world.at(outage_s + AFTER_OUTAGE_DELAY_S, self.serve)
            return
        for watch in list(self.open_watches):
            if self.service.is_refused(watch.source):
                continue
            events = [
                event
                for revision, key, event in self.changes
                if revision > watch.since and key.startswith(watch.prefix)
            ]
            if events or watch.until <= self.world.now + CLOCK_SLACK_S:
                self.open_watches.remove(watch)
                watch.reply(200, wire.write_changes(events, self.service.revision))
