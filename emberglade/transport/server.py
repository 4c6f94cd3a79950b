"""The HTTP/1.1 server: one thread for all connections, none of which can hold it up.

A connection that is idle, or whose request has arrived in part, costs a socket and a buffer, not a
thread. Requests are routed on the server's thread as soon as they are complete; the answer is sent
by whichever thread gives it. What does not fit the socket's buffer is sent when there is room.
"""

import logging
import os
import selectors
import socket
import socketserver
import threading
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice
from typing import Any

from .messages import MAX_REQUEST_BYTES, MalformedRequest, encode_response, take_request

log = logging.getLogger("emberglade.transport")

# route(method, path, body, reply): leads to one `reply(status, data, retry_after)`
Route = Callable[[str, str, bytes, Callable[..., None]], None]

RECEIVE_BYTES = 64 * 1024
ACCEPTS_AT_ONCE = 64  # new connections taken before the others have their turn again
EVICTION_CANDIDATES = 16  # of the connections idle for longest, those that are looked at
OVERLOAD_RETRY_S = 1
FIRST_REQUEST_S = 1.0  # a new connection is not taken for an idle one for so long
ACCEPT_PAUSE_S = 0.02  # while every place is taken by connections that have only just come
CROWDED_SHARE = 7 / 8  # of the connections; above it each one is closed after its answer


@dataclass(frozen=True)
class ServerLimits:
    """What a server holds open, and for how long."""

    max_connections: int
    max_user_connections: int  # at most so many of them, once they have sent a user's request
    answer_timeout_s: float  # a request without a decision by then gets 503
    idle_timeout_s: float  # a connection without a request for so long is closed


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
        self.server, self.connection = server, connection
        self.keep_alive, self.deadline = keep_alive, deadline

    @property
    def answered(self) -> bool:
        return self.connection.exchange is not self

    def reply(self, status: int, data: Any = None, retry_after: int | None = None) -> None:
        """Sends the answer, unless there was one already or the connection is gone."""
        self.server.send_answer(self, status, data, retry_after)


class Server(socketserver.TCPServer):
    """Feeds requests to `route(method, path, body, reply)`, which must lead to one `reply(status,
    data, retry_after)`, from any thread and at any later time.

    At the bound on connections the one that has been idle for longest gives way, those of users
    first; if none is idle, the new one is closed at once. Connections on which a path came that
    `is_user_path` accepts are at most `max_user_connections`: past that they get 503 and are
    closed, so that users can't crowd out workers.
    """

    allow_reuse_address = True

    def __init__(
        self,
        address: tuple[str, int],
        route: Route,
        limits: ServerLimits,
        is_user_path: Callable[[str], bool] = lambda path: False,
    ) -> None:
        self.route, self.limits, self.is_user_path = route, limits, is_user_path
        # After the end of another controller all its workers come at once.
        self.request_queue_size = max(16, limits.max_connections // 2)
        super().__init__(address, socketserver.BaseRequestHandler)
        self.server_port = self.server_address[1]
        self.socket.setblocking(False)
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.socket, selectors.EVENT_READ, None)
        self.wake_reader, self.wake_writer = os.pipe()
        os.set_blocking(self.wake_reader, False)
        self.selector.register(self.wake_reader, selectors.EVENT_READ, self.wake_reader)
        # The one idle for longest comes first.
        self.users: OrderedDict[ServerConnection, None] = OrderedDict()
        self.others: OrderedDict[ServerConnection, None] = OrderedDict()
        self.waiting: deque[Exchange] = deque()  # exchanges not answered at once, the oldest first
        self.attention: deque[ServerConnection] = (
            deque()
        )  # connections with something to send, to read or to close
        self.accept_again_at: float | None = None  # while no connections are accepted
        self.thread_id: int | None = None
        self.stopping = False
        self.evicted = self.refused = 0

    @property
    def connection_count(self) -> int:
        return len(self.users) + len(self.others)

    @property
    def crowded(self) -> bool:
        return self.connection_count > CROWDED_SHARE * self.limits.max_connections

    # --- the server's thread

    def begin(self, name: str) -> None:
        """Serves on a thread of its own."""
        threading.Thread(target=self.serve_forever, name=name, daemon=True).start()

    def serve_forever(self, poll_interval: float = 0.0) -> None:
        """Serves until `shutdown`, on the caller's thread."""
        self.thread_id = threading.get_ident()
        sweep_s = self.limits.idle_timeout_s / 8
        next_sweep = time.monotonic() + sweep_s
        while not self.stopping:
            self._resume_accepting()
            for key, events in self.selector.select(self._time_to_wait(next_sweep)):
                self._attend_event(key, events)
            while self.attention:
                self._guarded(self._attend, self.attention.popleft())
            now = time.monotonic()
            self._expire_exchanges(now)
            if now >= next_sweep:
                next_sweep = now + sweep_s
                self._close_idle(now)

    def _time_to_wait(self, next_sweep: float) -> float:
        due = next_sweep
        if self.waiting:
            due = min(due, self.waiting[0].deadline)
        if self.accept_again_at is not None:
            due = min(due, self.accept_again_at)
        return max(0.0, due - time.monotonic())

    def _attend_event(self, key: selectors.SelectorKey, events: int) -> None:
        if key.data is None:
            try:
                self._accept()
            except Exception:
                log.exception("accepting connections failed; it goes on in a moment")
                self._pause_accepting(time.monotonic())
        elif key.data is self.wake_reader:
            os.read(self.wake_reader, 4096)
        else:
            if events & selectors.EVENT_WRITE:
                self._guarded(self._send_rest, key.data)
            if events & selectors.EVENT_READ:
                self._guarded(self._receive, key.data)

    def _guarded(
        self, action: Callable[[ServerConnection], None], connection: ServerConnection
    ) -> None:
        """One connection's failure must not end the others'."""
        try:
            action(connection)
        except Exception:
            log.exception("a request failed; its connection is closed")
            self._close(connection)

    def _wake(self) -> None:
        if threading.get_ident() != self.thread_id:
            os.write(self.wake_writer, b"w")

    def shutdown(self) -> None:
        """Ends `serve_forever`; the sockets stay open until `server_close`."""
        self.stopping = True
        self._wake()

    def server_close(self) -> None:
        """Closes the listening socket and all connections."""
        for connection in [*self.users, *self.others]:
            self._close(connection)
        super().server_close()

    # --- opening and closing

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
        """Closes what has sent no complete request for long, also if a part of one trickles in, and
        what doesn't take its answer.
        """
        oldest = now - self.limits.idle_timeout_s
        for connections in (self.users, self.others):
            for connection in [
                c for c in connections if c.active_at < oldest and c.exchange is None
            ]:
                self._close(connection)

    # --- requests

    def _receive(self, connection: ServerConnection) -> None:
        try:
            data = connection.sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close(connection)
            return
        connection.received += data
        if len(connection.received) > 2 * MAX_REQUEST_BYTES:
            self._close(connection)
            return
        self._serve_received(connection)

    def _serve_received(self, connection: ServerConnection) -> None:
        """Routes the next request, if it is complete and the one before is answered."""
        if not connection.idle or connection.closing:
            return
        now = time.monotonic()
        try:
            taken = take_request(connection.received)
        except MalformedRequest as error:
            self._open_exchange(connection, False, now).reply(400, {"error": str(error)})
            return
        if taken is None:
            return
        request, connection.received = taken
        connection.active_at, connection.served = now, True
        if not self._admit(connection, request.path):
            exchange = self._open_exchange(connection, False, now)
            exchange.reply(503, {"error": "too many connections here; ask again"}, OVERLOAD_RETRY_S)
            return
        exchange = self._open_exchange(connection, request.keep_alive and not self.crowded, now)
        try:
            self.route(request.method, request.path, request.body, exchange.reply)
        except Exception:
            log.exception("%s %s failed", request.method, request.path)
            exchange.keep_alive = False
            exchange.reply(500, {"error": "the request failed here"})
        if not exchange.answered:
            self.waiting.append(exchange)

    def _open_exchange(
        self, connection: ServerConnection, keep_alive: bool, now: float
    ) -> Exchange:
        exchange = Exchange(self, connection, keep_alive, now + self.limits.answer_timeout_s)
        connection.exchange = exchange
        return exchange

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

    def _expire_exchanges(self, now: float) -> None:
        while self.waiting and (self.waiting[0].answered or self.waiting[0].deadline <= now):
            self.waiting.popleft().reply(
                503, {"error": "no decision in time; ask again"}, OVERLOAD_RETRY_S
            )

    # --- answers

    def send_answer(
        self, exchange: Exchange, status: int, data: Any, retry_after: int | None
    ) -> None:
        """Sends what the socket takes at once; the server's thread does the rest."""
        connection = exchange.connection
        response = encode_response(status, data, retry_after, not exchange.keep_alive)
        with connection.lock:
            if exchange.answered:
                return
            try:
                sent = connection.sock.send(response, socket.MSG_DONTWAIT)
            except BlockingIOError:
                sent = 0
            except OSError:
                sent = len(response)
                exchange.keep_alive = False
            connection.unsent = response[sent:]
            connection.closing = not exchange.keep_alive
            connection.exchange = None
        if connection.closing or connection.unsent or connection.received:
            self.attention.append(connection)
            self._wake()

    def _attend(self, connection: ServerConnection) -> None:
        """What is left after an answer: its rest, the end of the connection, the next request."""
        if connection.sock.fileno() < 0:
            return
        if connection.unsent:
            self.selector.modify(
                connection.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, connection
            )
        elif connection.closing:
            self._close(connection)
        elif connection.received:
            self._serve_received(connection)

    def _send_rest(self, connection: ServerConnection) -> None:
        with connection.lock:
            try:
                sent = connection.sock.send(connection.unsent, socket.MSG_DONTWAIT)
            except BlockingIOError:
                return
            except OSError:
                connection.closing = True
                sent = len(connection.unsent)
            connection.unsent = connection.unsent[sent:]
        if not connection.unsent:
            self.selector.modify(connection.sock, selectors.EVENT_READ, connection)
            self._attend(connection)
