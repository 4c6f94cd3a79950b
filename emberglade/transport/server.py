"""The HTTP/1.1 server: one thread serves all connections with non-blocking I/O.

A connection that is idle or has sent part of a request costs a socket and a buffer, not a thread.
Complete requests are routed on the server's thread. The thread that replies also sends the
response; the server's thread sends what did not fit into the socket's send buffer.
"""

import logging
import selectors
import socket
import socketserver
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from .admission import ConnectionTable, ServerLimits
from .connection import Exchange, ServerConnection
from .messages import (
    MAX_REQUEST_BYTES,
    MalformedRequestError,
    Request,
    encode_response,
    take_request,
)
from .waker import Waker

__all__ = ["Route", "Server", "ServerLimits"]

log = logging.getLogger("emberglade.transport")

# route(method, path, body, reply) must cause exactly one `reply(status, data, retry_after_s)`.
Route = Callable[[str, str, bytes, Callable[..., None]], None]

RECEIVE_BYTES = 64 * 1024
OVERLOAD_RETRY_S = 1  # value of the header Retry-After in a 503
MIN_LISTEN_BACKLOG = 16  # connections that may wait to be accepted
SWEEPS_PER_IDLE_TIMEOUT = 8


class Server(socketserver.TCPServer):
    """An HTTP/1.1 server that passes each request to a route on the server's thread.

    `route(method, path, body, reply)` must cause exactly one `reply(status, data, retry_after_s)`,
    from any thread and at any later time.

    `admission.py` describes what happens at the connection limit. Requests to paths that
    `is_user_path` accepts are served on at most `max_user_connections` connections. On any other
    connection, such a request gets 503 and the connection is closed, so that users do not take the
    connections of agents.

    Attributes:
        connections: The open connections.
        server_port: The port on which it listens.
    """

    allow_reuse_address = True

    def __init__(
        self,
        address: tuple[str, int],
        route: Route,
        limits: ServerLimits,
        is_user_path: Callable[[str], bool] = lambda path: False,
    ) -> None:
        self.route, self.limits = route, limits
        # When another controller stops, its agents connect to the remaining controllers at once.
        self.request_queue_size = max(MIN_LISTEN_BACKLOG, limits.max_connections // 2)
        super().__init__(address, socketserver.BaseRequestHandler)
        self.server_port = self.server_address[1]
        self.socket.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self.connections = ConnectionTable(self.socket, self._selector, limits, is_user_path)
        self._waker = Waker(self._selector)
        # Exchanges that were not answered at once, the oldest first.
        self._unanswered: deque[Exchange] = deque()
        # Connections on which the server's thread must send, serve a request or close.
        self._pending: deque[ServerConnection] = deque()
        self._stopping = False

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self.connections)

    # --- the server's thread

    def begin(self, name: str) -> threading.Thread:
        """Starts serving on a new thread, and returns the thread; it ends after `shutdown`."""
        thread = threading.Thread(target=self.serve_forever, name=name, daemon=True)
        thread.start()
        return thread

    def serve_forever(self, poll_interval: float = 0.0) -> None:
        """Serves on the caller's thread until `shutdown`; `poll_interval` is ignored."""
        self._waker.set_waiting_thread()
        sweep_s = self.limits.idle_timeout_s / SWEEPS_PER_IDLE_TIMEOUT
        next_sweep = time.monotonic() + sweep_s
        while not self._stopping:
            self.connections.resume_accepting()
            for key, events in self._selector.select(self._select_timeout_s(next_sweep)):
                self._handle_event(key, events)
            while self._pending:
                self._guarded(self._continue_connection, self._pending.popleft())
            now = time.monotonic()
            self._expire_exchanges(now)
            if now >= next_sweep:
                next_sweep = now + sweep_s
                self.connections.close_idle(now)

    def _select_timeout_s(self, next_sweep: float) -> float:
        """Seconds until the server's thread must act without an event; zero if that is overdue.

        That is at the next sweep (which closes idle connections), at the first answer deadline, or
        at the end of a pause of accepting, whichever comes first.
        """
        due = next_sweep
        if self._unanswered:
            due = min(due, self._unanswered[0].deadline)
        if self.connections.accept_again_at is not None:
            due = min(due, self.connections.accept_again_at)
        return max(0.0, due - time.monotonic())

    def _handle_event(self, key: selectors.SelectorKey, events: int) -> None:
        if key.data is None:
            self._accept_new()
        elif key.data is self._waker:
            self._waker.drain()
        else:
            if events & selectors.EVENT_WRITE:
                self._guarded(self._send_remaining, key.data)
            if events & selectors.EVENT_READ:
                self._guarded(self._receive, key.data)

    def _accept_new(self) -> None:
        try:
            self.connections.accept_new()
        except Exception:
            log.exception("accepting connections failed; retrying after a short pause")
            self.connections.pause_accepting(time.monotonic())

    def _guarded(
        self, action: Callable[[ServerConnection], None], connection: ServerConnection
    ) -> None:
        """Runs an action on a connection; an exception closes only that connection."""
        try:
            action(connection)
        except Exception:
            log.exception("serving a connection failed; the connection is closed")
            self.connections.close(connection)

    def shutdown(self) -> None:
        """Stops `serve_forever`; the sockets stay open until `server_close`."""
        self._stopping = True
        self._waker.wake()

    def server_close(self) -> None:
        """Closes the listening socket and all connections."""
        self.connections.close_all()
        super().server_close()

    # --- requests

    def _receive(self, connection: ServerConnection) -> None:
        try:
            data = connection.sock.recv(RECEIVE_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.connections.close(connection)
            return
        connection.received += data
        if len(connection.received) > 2 * MAX_REQUEST_BYTES:
            self.connections.close(connection)
            return
        self._serve_received(connection)

    def _serve_received(self, connection: ServerConnection) -> None:
        """Routes the next request, if it is complete and the previous one is answered."""
        if not connection.idle or connection.closing:
            return
        now = time.monotonic()
        try:
            taken = take_request(connection.received)
        except MalformedRequestError as error:
            self._open_exchange(connection, False, now).reply(400, {"error": str(error)})
            return
        if taken is None:
            return
        request, connection.received = taken
        connection.active_at = now
        connection.had_request = True
        if not self.connections.admit(connection, request.path):
            exchange = self._open_exchange(connection, False, now)
            exchange.reply(
                503,
                {"error": "too many connections here; ask again"},
                OVERLOAD_RETRY_S,
            )
            return
        keep_alive = request.keep_alive and not self.connections.is_near_limit
        self._route(request, self._open_exchange(connection, keep_alive, now))

    def _route(self, request: Request, exchange: Exchange) -> None:
        """Passes a request to the route."""
        try:
            self.route(request.method, request.path, request.body, exchange.reply)
        except Exception:
            log.exception(
                "request %s %s failed; it is answered with 500", request.method, request.path
            )
            exchange.keep_alive = False
            exchange.reply(500, {"error": "the request failed here"})
        if not exchange.answered:
            self._unanswered.append(exchange)

    def _open_exchange(
        self, connection: ServerConnection, keep_alive: bool, now: float
    ) -> Exchange:
        exchange = Exchange(self, connection, keep_alive, now + self.limits.answer_timeout_s)
        connection.exchange = exchange
        return exchange

    def _expire_exchanges(self, now: float) -> None:
        """Answers overdue requests with 503."""
        waiting = self._unanswered
        while waiting and (waiting[0].answered or waiting[0].deadline <= now):
            waiting.popleft().reply(
                503,
                {"error": "no decision in time; ask again"},
                OVERLOAD_RETRY_S,
            )

    # --- responses

    def send_answer(
        self, exchange: Exchange, status: int, data: Any, retry_after_s: int | None
    ) -> None:
        """Sends what fits into the socket's send buffer; the server's thread sends the rest.

        May be called from any thread. Does nothing if the exchange is already answered or its
        connection is closed.
        """
        connection = exchange.connection
        response = encode_response(status, data, retry_after_s, not exchange.keep_alive)
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
            self._pending.append(connection)
            self._waker.wake()

    def _continue_connection(self, connection: ServerConnection) -> None:
        """Continues after a response: sends the rest, closes, or serves the next request."""
        if connection.is_closed:
            return
        if connection.unsent:
            self._selector.modify(
                connection.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, connection
            )
        elif connection.closing:
            self.connections.close(connection)
        elif connection.received:
            self._serve_received(connection)

    def _send_remaining(self, connection: ServerConnection) -> None:
        """Sends more of a response that did not fit into the socket's send buffer."""
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
            self._selector.modify(connection.sock, selectors.EVENT_READ, connection)
            self._continue_connection(connection)
