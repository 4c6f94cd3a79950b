"""The state of one accepted connection, and of the one request on it that waits for its answer."""

import socket
import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .server import Server

FIRST_REQUEST_S = 1.0  # a new connection is not taken for an idle one for so long


class ServerConnection:
    """One accepted connection. Only the server's thread reads, opens and closes it."""

    __slots__ = (
        "sock",
        "received",
        "unsent",
        "exchange",
        "active_at",
        "served",
        "is_user",
        "closing",
        "lock",
    )

    def __init__(self, sock: socket.socket, now: float) -> None:
        """Wraps an accepted socket; `now` is the monotonic time of its acceptance, in seconds."""
        self.sock = sock
        self.received = b""  # what came after the last complete request
        self.unsent = b""  # the rest of an answer for which the socket had no room
        self.exchange: Exchange | None = None  # the request that waits for its answer
        self.active_at = now  # when it was opened, or the last complete request came
        self.served = False  # whether a request was routed
        self.is_user = False
        self.closing = False  # to be closed once `unsent` is sent
        # Sending and closing exclude each other: once closed, the descriptor may be another's.
        self.lock = threading.Lock()

    @property
    def idle(self) -> bool:
        """Whether no request waits for its answer and no part of an answer is left to send."""
        return self.exchange is None and not self.unsent

    def may_give_way(self, now: float) -> bool:
        """Whether nothing is asked on it, nor about to be."""
        return self.idle and (self.served or now - self.active_at > FIRST_REQUEST_S)


class Exchange:
    """One request and the one answer that it gets."""

    __slots__ = ("server", "connection", "keep_alive", "deadline")

    def __init__(
        self, server: "Server", connection: ServerConnection, keep_alive: bool, deadline: float
    ) -> None:
        """Opens the exchange; `deadline` is the monotonic time by which it must be answered."""
        self.server, self.connection = server, connection
        self.keep_alive, self.deadline = keep_alive, deadline

    @property
    def answered(self) -> bool:
        """Whether the answer was given, or the connection was closed."""
        return self.connection.exchange is not self

    def reply(self, status: int, data: Any = None, retry_after: int | None = None) -> None:
        """Sends the answer, unless there was one already or the connection is gone."""
        self.server.send_answer(self, status, data, retry_after)
