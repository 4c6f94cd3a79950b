"""Which connections a server opens, keeps and closes: the bound on connections and on users'.

At the bound on connections the one that has been idle for longest gives way, those of users
first; if none is idle, the new one is closed at once. While every place is taken by connections
that have only just come, accepting pauses for a moment.
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

MAX_ACCEPTS_PER_EVENT = 64  # new connections taken before the others have their turn again
EVICTION_CANDIDATES = 16  # of the connections idle for longest, those that are looked at
ACCEPT_PAUSE_S = 0.02  # while every place is taken by connections that have only just come
NEAR_LIMIT_SHARE = 7 / 8  # of the connections; above it each one is closed after its answer


@dataclass(frozen=True)
class ServerLimits:
    """What a server holds open, and for how long.

    Attributes:
        max_connections: Connections open at once, at most.
        max_user_connections: Of them at most so many, once they have sent a user's request.
        answer_timeout_s: A request without a decision by then gets 503, in seconds.
        idle_timeout_s: A connection without a request for so long is closed, in seconds.
    """

    max_connections: int
    max_user_connections: int
    answer_timeout_s: float
    idle_timeout_s: float


class ConnectionTable:
    """The open connections of a server: accepts, admits, evicts and closes them.

    Only the server's thread calls it. Both tables of connections keep the one that has been idle
    for longest first.

    Attributes:
        accept_again_at: When a pause of accepting ends (monotonic, in seconds); None: no pause.
        evicted: How many connections gave way to a new one.
        refused: How many new ones were closed at once.
    """

    def __init__(
        self,
        listener: socket.socket,
        selector: selectors.BaseSelector,
        limits: ServerLimits,
        is_user_path: Callable[[str], bool],
    ) -> None:
        """Makes the table of a listening socket, which is accepted from at once.

        In the selector, the listener has no data, and a connection is the data of its socket.
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
        """The number of open connections on which a user's request came."""
        return len(self._users)

    @property
    def is_near_limit(self) -> bool:
        """Whether so many connections are open that each one is closed after its answer."""
        return len(self) > NEAR_LIMIT_SHARE * self.limits.max_connections

    # --- new connections

    def accept_new(self) -> None:
        """Takes new connections, as far as there are places for them."""
        now = time.monotonic()
        for _ in range(MAX_ACCEPTS_PER_EVENT):
            is_full = len(self) >= self.limits.max_connections
            if is_full and self._find_evictable(now) is None and self._has_unserved_connection():
                # These are read first; the others wait in the listener's queue meanwhile.
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
        """The socket of the next new connection, or None if there is none to be had now."""
        try:
            sock, _ = self.listener.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            log.warning("accepting a connection failed: %s", error)
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
        """Accepts no connections for a moment."""
        if self.accept_again_at is None:
            self.selector.unregister(self.listener)
        self.accept_again_at = now + ACCEPT_PAUSE_S

    def resume_accepting(self) -> None:
        """Accepts connections again, if the pause is over."""
        if self.accept_again_at is not None and time.monotonic() >= self.accept_again_at:
            self.accept_again_at = None
            self._watch_listener()

    # --- who may stay

    def admit(self, connection: ServerConnection, path: str) -> bool:
        """Notes that the connection is in use; False if it is one user's too many."""
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
        """The connection that is to give way: of those idle for longest, users' first, or None."""
        for connections in (self._users, self._others):
            for connection in islice(connections, EVICTION_CANDIDATES):
                if connection.is_evictable(now):
                    return connection
        return None

    def _has_unserved_connection(self) -> bool:
        """Whether a connection is open on which no request was routed yet."""
        return any(
            not connection.served and connection.exchange is None
            for connection in reversed(self._others)
        )

    def _evict_idle(self, now: float) -> bool:
        """Closes the connection that has been idle for longest; False if none is."""
        connection = self._find_evictable(now)
        if connection is None:
            return False
        self.evicted += 1
        self.close(connection)
        return True

    # --- closing

    def close(self, connection: ServerConnection) -> None:
        """Closes a connection, unless it is closed already."""
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

        That holds also if a part of one trickles in, and for those that don't take their answer.
        """
        oldest = now - self.limits.idle_timeout_s
        idle = [
            connection
            for connection in [*self._users, *self._others]
            if connection.active_at < oldest and connection.exchange is None
        ]
        for connection in idle:
            self.close(connection)
