"""The state of an accepted connection, and of the request on it that waits for a response."""

import socket
import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .server import Server

NEW_CONNECTION_GRACE_S = 1.0  # a connection without a request is not evicted for this long


class ServerConnection:
    """An accepted connection. Only the server's thread opens, reads and closes it.

    Attributes:
        sock: The socket, which may be closed.
        received: The bytes received after the last complete request.
        unsent: The rest of a response that did not fit into the socket's send buffer.
        exchange: The request that waits for its response; None if there is none.
        active_at: When the connection was opened or the last complete request was received, in
            monotonic seconds.
        had_request: Whether a complete request was received on it.
        is_user: Whether a user's request was received on it.
        closing: Whether the connection is closed once `unsent` is sent.
        lock: Prevents closing while a thread sends, because the descriptor of a closed socket may
            be reused for another connection.
    """

    __slots__ = (
        "sock",
        "received",
        "unsent",
        "exchange",
        "active_at",
        "had_request",
        "is_user",
        "closing",
        "lock",
    )

    def __init__(self, sock: socket.socket, now: float) -> None:
        """Wraps an accepted socket; `now` is the monotonic time of its acceptance, in seconds."""
        self.sock = sock
        self.received = b""
        self.unsent = b""
        self.exchange: Exchange | None = None
        self.active_at = now
        self.had_request = False
        self.is_user = False
        self.closing = False
        self.lock = threading.Lock()

    @property
    def is_closed(self) -> bool:
        """Whether the server has closed its socket of this connection."""
        return self.sock.fileno() < 0

    @property
    def idle(self) -> bool:
        """Whether no request waits for a response and no part of a response is unsent."""
        return self.exchange is None and not self.unsent

    def is_evictable(self, now: float) -> bool:
        """Whether the connection is idle and not too new to have sent its first request."""
        return self.idle and (self.had_request or now - self.active_at > NEW_CONNECTION_GRACE_S)


class Exchange:
    """A request and its single response.

    Attributes:
        keep_alive: Whether the connection stays open after the response.
        deadline: When the request must be answered, in monotonic seconds.
    """

    __slots__ = ("server", "connection", "keep_alive", "deadline")

    def __init__(
        self, server: "Server", connection: ServerConnection, keep_alive: bool, deadline: float
    ) -> None:
        self.server, self.connection = server, connection
        self.keep_alive, self.deadline = keep_alive, deadline

    @property
    def answered(self) -> bool:
        """Whether the response was sent or the connection was closed."""
        return self.connection.exchange is not self

    def reply(self, status: int, data: Any = None, retry_after_s: int | None = None) -> None:
        """Sends the response, unless one was already sent or the connection is closed.

        `retry_after_s` is the value of the header Retry-After.
        """
        self.server.send_answer(self, status, data, retry_after_s)
