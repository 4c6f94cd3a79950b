"""Answers to HTTP requests as data, and those that several parts of the users' API give."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from . import wire

# reply(status, body, retry_after_s): answers one request; `retry_after_s` may be left out.
Reply = Callable[..., None]

RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one request.

    Attributes:
        status: The HTTP status.
        body: Sent as JSON.
        retry_after_s: After how many seconds the user should ask again; None: not at all.
    """

    status: int
    body: dict[str, Any]
    retry_after_s: int | None = None

    def send(self, reply: Reply) -> None:
        """Answers a request with this."""
        reply(self.status, self.body, self.retry_after_s)


def try_later(reason: str) -> Answer:
    """The answer to what can't be done now."""
    return Answer(503, wire.error(reason), RETRY_AFTER_S)


def too_many(reason: str) -> Answer:
    """The answer to a request beyond what is taken at the same time."""
    return Answer(429, wire.error(reason), RETRY_AFTER_S)


def malformed(reason: str) -> Answer:
    """The answer to a request that breaks the protocol."""
    return Answer(400, wire.error(reason))


def refused(reason: str) -> Answer:
    """The answer to a well-formed submission that can never be accepted."""
    return Answer(422, wire.error(reason))


def wrong_method(needed: str) -> Answer:
    """The answer to another HTTP method than the path's own."""
    return Answer(405, wire.error(f"{needed} is needed"))


NO_SUCH_PATH = Answer(404, wire.error("no such path"))
NO_SUCH_JOB = Answer(404, wire.error("no such job"))
STORE_SILENT = try_later("the state service does not answer")
