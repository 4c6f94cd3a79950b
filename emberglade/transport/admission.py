"""Connection limits of a server: which connections it accepts, evicts and closes.

At the connection limit, the connection that has been idle longest is evicted, users' connections
first. If none is idle, the new connection is closed at once, unless some connections have not sent
a request yet: then accepting pauses briefly.
"""

import logging
import selectors
import socket
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from .connection import ServerConnection

log = logging.getLogger("emberglade.transport")

MAX_ACCEPTS_PER_EVENT = 64  # open connections are served before more are accepted
# How many of the least recently used connections are checked for eviction: first this many of
# users' connections, then this many of the others.
EVICTION_CANDIDATES = 16
ACCEPT_PAUSE_S = 0.02
# Above this share of the connection limit, connections are closed after each response.
NEAR_LIMIT_SHARE = 7 / 8


@dataclass(frozen=True)
class ServerLimits:
    """The limits of a server on connections and waiting times.

    Attributes:
        max_connections: Maximum number of open connections.
        max_user_connections: Maximum number of open connections that have sent a user's request.
        answer_timeout_s: A request that is not answered within this time gets 503.
        idle_timeout_s: A connection without a complete request for this long is closed.
    """

    max_connections: int
    max_user_connections: int
    answer_timeout_s: float
    idle_timeout_s: float


class ConnectionTable:
    """The open connections of a server: accepts, admits, evicts and closes them.

    Only the server's thread may call it. The connections are kept in the order of their last use,
    the least recently used first.

    Attributes:
        accept_again_at: When the pause of accepting ends, in monotonic seconds; None if not paused.
        evicted: Number of connections that were closed in favour of a new one.
        refused: Number of new connections that were closed at once.
    """

    def __init__(
        self,
        listener: socket.socket,
        selector: selectors.BaseSelector,
        limits: ServerLimits,
        is_user_path: Callable[[str], bool],
    ) -> None:
        """Creates the table and registers the listening socket in the selector.

        The data of a selector key is None for the listener and the connection for its socket.
        """
        self.listener, self.selector, self.limits = listener, selector, limits
        self.is_user_path = is_user_path
        self.evicted = 0
        self.refused = 0
        self._users: OrderedDict[ServerConnection, None] = OrderedDict()
        self._others: OrderedDict[ServerConnection, None] = OrderedDict()
        self.accept_again_at: float | None = None
        self._watch_listener()

    def __len__(self) -> int:
        return len(self._users) + len(self._others)

    @property
    def user_count(self) -> int:
        """The number of open connections that have sent a user's request."""
        return len(self._users)

    @property
    def is_near_limit(self) -> bool:
        """Whether the table is so full that connections are closed after each response."""
        return len(self) > NEAR_LIMIT_SHARE * self.limits.max_connections

    # --- new connections

    def accept_new(self) -> None:
        """Accepts new connections, as far as the limits allow."""
        now = time.monotonic()
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            is_full = len(self) >= self.limits.max_connections
            if is_full and self._find_evictable(now) is None and self._awaits_first_request():
                # Wait for the first requests of the open connections; meanwhile new connections
                # wait in the listen backlog.
                self.pause_accepting(now)
                return
            sock = self._accept(now)
            if sock is None:
                return
            if is_full and not self._evict_idle(now):
                self.refused += 1
                sock.close()
            else:
                self._open(sock, now)

    def _accept(self, now: float) -> socket.socket | None:
        """The socket of the next new connection, or None if there is none or accepting failed."""
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            log.warning(
                "accepting a connection failed; evicting an idle one, or else pausing: %s", error
            )
            if not self._evict_idle(now):
                self.pause_accepting(now)
            return None
        return sock

    def _open(self, sock: socket.socket, now: float) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = ServerConnection(sock, now)
        self._others[connection] = None
        self.selector.register(sock, selectors.EVENT_READ, connection)

    def _watch_listener(self) -> None:
        self.selector.register(self.listener, selectors.EVENT_READ, None)

    def pause_accepting(self, now: float) -> None:
        """Stops accepting connections for ACCEPT_PAUSE_S."""
        if self.accept_again_at is None:
            self.selector.unregister(self.listener)
        self.accept_again_at = now + ACCEPT_PAUSE_S

    def resume_accepting(self) -> None:
        """Accepts connections again if the pause has ended."""
        if self.accept_again_at is not None and time.monotonic() >= self.accept_again_at:
            self.accept_again_at = None
            self._watch_listener()

    # --- admission and eviction

    def admit(self, connection: ServerConnection, path: str) -> bool:
        """Marks a connection as just used, and as a user's if the path is a user's.

        Returns False, without marking it, if there are too many users' connections already.
        """
        if connection.is_user:
            self._users.move_to_end(connection)
        elif not self.is_user_path(path):
            self._others.move_to_end(connection)
        elif len(self._users) >= self.limits.max_user_connections:
            return False
        else:
            del self._others[connection]
            connection.is_user = True
            self._users[connection] = None
        return True

    def _find_evictable(self, now: float) -> ServerConnection | None:
        """The least recently used connection that is evictable, users' first; None if none is."""
        for connections in (self._users, self._others):
            for connection in islice(connections, EVICTION_CANDIDATES):
                if connection.is_evictable(now):
                    return connection
        return None

    def _awaits_first_request(self) -> bool:
        """Whether an open connection has not sent a complete request yet."""
        return any(
            not connection.had_request and connection.exchange is None
            for connection in reversed(self._others)
        )

    def _evict_idle(self, now: float) -> bool:
        """Closes the connection that has been idle longest; False if none is idle."""
        connection = self._find_evictable(now)
        if connection is None:
            return False
        self.evicted += 1
        self.close(connection)
        return True

    # --- closing

    def close(self, connection: ServerConnection) -> None:
        """Closes a connection, unless it is already closed."""
        with connection.lock:
            if connection.is_closed:
                return
            connection.exchange = None
            self.selector.unregister(connection.sock)
            connection.sock.close()
        (self._users if connection.is_user else self._others).pop(connection, None)

    def close_all(self) -> None:
        """Closes all connections."""
        for connection in [*self._users, *self._others]:
            self.close(connection)

    def close_idle(self, now: float) -> None:
        """Closes the connections that sent no complete request within the idle timeout.

        This includes clients that send a request very slowly or do not read their response.
        """
        oldest = now - self.limits.idle_timeout_s
        idle = [
            connection
            for connection in [*self._users, *self._others]
            if connection.active_at < oldest and connection.exchange is None
        ]
        for connection in idle:
            self.close(connection)
