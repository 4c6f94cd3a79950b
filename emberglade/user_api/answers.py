"""Answers to HTTP requests as data, and the answers that several modules of the API share."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from . import wire

# reply(status, body, retry_after_s): answers one request; `retry_after_s` is optional.
Reply = Callable[..., None]

RETRY_AFTER_S = 1


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one request.

    Attributes:
        status: The HTTP status.
        body: Sent as JSON.
        retry_after_s: The value of `Retry-After`, in seconds; None if the header is not sent.
    """

    status: int
    body: dict[str, Any]
    retry_after_s: int | None = None

    def send(self, reply: Reply) -> None:
        """Sends this answer to a request."""
        reply(self.status, self.body, self.retry_after_s)


def service_unavailable(reason: str) -> Answer:
    """The answer to a request that can't be served now."""
    return Answer(503, wire.error(reason), RETRY_AFTER_S)


def too_many_requests(reason: str) -> Answer:
    """The answer to a request that exceeds a limit of this controller or of the state service."""
    return Answer(429, wire.error(reason), RETRY_AFTER_S)


def malformed(reason: str) -> Answer:
    """The answer to a request that violates the protocol."""
    return Answer(400, wire.error(reason))


def refused(reason: str) -> Answer:
    """The answer to a well-formed submission that can never be accepted."""
    return Answer(422, wire.error(reason))


def method_not_allowed(allowed: str) -> Answer:
    """The answer to an HTTP method that the path does not allow."""
    return Answer(405, wire.error(f"{allowed} is needed"))


NO_SUCH_PATH = Answer(404, wire.error("no such path"))
NO_SUCH_JOB = Answer(404, wire.error("no such job"))
STORE_UNAVAILABLE = service_unavailable("the state service does not answer")
