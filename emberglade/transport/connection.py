"""The state of one accepted connection, and of the one request on it that waits for its answer."""

import socket
import threading
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .server import Server

NEW_CONNECTION_GRACE_S = 1.0  # a new connection is not taken for an idle one for so long


class ServerConnection:
    """One accepted connection. Only the server's thread reads, opens and closes it.

    Attributes:
        sock: The socket, closed or not.
        received: What came after the last complete request.
        unsent: The rest of an answer that the socket could not take.
        exchange: The request that waits for its answer.
        active_at: When it was opened, or the last complete request came; monotonic, in seconds.
        served: Whether a request was routed.
        is_user: Whether a user's request was routed.
        closing: Whether it is to be closed once `unsent` is sent.
        lock: Sending and closing exclude each other: once closed, the descriptor may be another's.
    """

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
        self.received = b""
        self.unsent = b""
        self.exchange: Exchange | None = None
        self.active_at = now
        self.served = False
        self.is_user = False
        self.closing = False
        self.lock = threading.Lock()

    @property
    def is_closed(self) -> bool:
        """Whether the socket was closed here."""
        return self.sock.fileno() < 0

    @property
    def idle(self) -> bool:
        """Whether no request waits for its answer and no part of an answer is left to send."""
        return self.exchange is None and not self.unsent

    def is_evictable(self, now: float) -> bool:
        """Whether nothing is asked on it, nor about to be."""
        return self.idle and (self.served or now - self.active_at > NEW_CONNECTION_GRACE_S)


class Exchange:
    """One request and the one answer that it gets.

    Attributes:
        keep_alive: Whether the connection stays open after the answer.
        deadline: By when the request must be answered; monotonic, in seconds.
    """

    __slots__ = ("server", "connection", "keep_alive", "deadline")

    def __init__(
        self, server: "Server", connection: ServerConnection, keep_alive: bool, deadline: float
    ) -> None:
        self.server, self.connection = server, connection
        self.keep_alive, self.deadline = keep_alive, deadline

    @property
    def answered(self) -> bool:
        """Whether the answer was given, or the connection was closed."""
        return self.connection.exchange is not self

    def reply(self, status: int, data: Any = None, retry_after: int | None = None) -> None:
        """Sends the answer, unless there was one already or the connection is gone."""
        self.server.send_answer(self, status, data, retry_after)
