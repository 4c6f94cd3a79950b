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

ACCEPTS_AT_ONCE = 64  # new connections taken before the others have their turn again
EVICTION_CANDIDATES = 16  # of the connections idle for longest, those that are looked at
ACCEPT_PAUSE_S = 0.02  # while every place is taken by connections that have only just come
CROWDED_SHARE = 7 / 8  # of the connections; above it each one is closed after its answer


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


class ConnectionAdmission:
    """The part of `Server` that accepts, admits, evicts and closes connections.

    Only the server's thread calls it. Both tables of connections keep the one that has been idle
    for longest first.
    """

    socket: socket.socket
    selector: selectors.BaseSelector
    limits: ServerLimits
    is_user_path: Callable[[str], bool]
    users: OrderedDict[ServerConnection, None]
    others: OrderedDict[ServerConnection, None]
    accept_again_at: float | None
    evicted: int
    refused: int

    @property
    def connection_count(self) -> int:
        """The number of open connections, of users and of others."""
        return len(self.users) + len(self.others)

    @property
    def crowded(self) -> bool:
        """Whether so many connections are open that each one is closed after its answer."""
        return self.connection_count > CROWDED_SHARE * self.limits.max_connections

    def _accept(self) -> None:
        now = time.monotonic()
        for _ in range(ACCEPTS_AT_ONCE):
            full = self.connection_count >= self.limits.max_connections
            if full and not self._has_idle(now) and self._has_newcomer():
                # These are read first; the others wait in the listener's queue meanwhile.
                self._pause_accepting(now)
                return
            try:
                sock, _ = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                log.warning("accepting a connection failed: %s", error)
                if not self._evict_idle(now):
                    self._pause_accepting(now)
                return
            if full and not self._evict_idle(now):
                self.refused += 1
                sock.close()
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = ServerConnection(sock, now)
            self.others[connection] = None
            self.selector.register(sock, selectors.EVENT_READ, connection)

    def _pause_accepting(self, now: float) -> None:
        if self.accept_again_at is None:
            self.selector.unregister(self.socket)
        self.accept_again_at = now + ACCEPT_PAUSE_S

    def _resume_accepting(self) -> None:
        if self.accept_again_at is not None and time.monotonic() >= self.accept_again_at:
            self.accept_again_at = None
            self.selector.register(self.socket, selectors.EVENT_READ, None)

    def _idle_longest(self, now: float) -> ServerConnection | None:
        """The connection that is to give way: of those idle for longest, users' first, or None."""
        for connections in (self.users, self.others):
            for connection in islice(connections, EVICTION_CANDIDATES):
                if connection.may_give_way(now):
                    return connection
        return None

    def _has_idle(self, now: float) -> bool:
        return self._idle_longest(now) is not None

    def _has_newcomer(self) -> bool:
        return any(not c.served and c.exchange is None for c in reversed(self.others))

    def _evict_idle(self, now: float) -> bool:
        """Closes the connection that has been idle for longest; False if none is."""
        connection = self._idle_longest(now)
        if connection is None:
            return False
        self.evicted += 1
        self._close(connection)
        return True

    def _close(self, connection: ServerConnection) -> None:
        with connection.lock:
            if connection.sock.fileno() < 0:
                return
            connection.exchange = None
            self.selector.unregister(connection.sock)
            connection.sock.close()
        (self.users if connection.is_user else self.others).pop(connection, None)

    def _close_idle(self, now: float) -> None:
        """Closes the connections that sent no complete request within the idle timeout.

        That holds also if a part of one trickles in, and for those that don't take their answer.
        """
        oldest = now - self.limits.idle_timeout_s
        for connections in (self.users, self.others):
            for connection in [
                c for c in connections if c.active_at < oldest and c.exchange is None
            ]:
                self._close(connection)

    def _admit(self, connection: ServerConnection, path: str) -> bool:
        """Notes that the connection is in use; False if it is one user's too many."""
        if connection.is_user:
            self.users.move_to_end(connection)
        elif not self.is_user_path(path):
            self.others.move_to_end(connection)
        elif len(self.users) >= self.limits.max_user_connections:
            return False
        else:
            del self.others[connection]
            connection.is_user = True
            self.users[connection] = None
        return True
