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
from typing import Any

from .admission import ConnectionAdmission, ServerLimits
from .connection import Exchange, ServerConnection
from .messages import MAX_REQUEST_BYTES, MalformedRequestError, encode_response, take_request

__all__ = ["Route", "Server", "ServerLimits"]

log = logging.getLogger("emberglade.transport")

# route(method, path, body, reply): leads to one `reply(status, data, retry_after)`
Route = Callable[[str, str, bytes, Callable[..., None]], None]

RECEIVE_BYTES = 64 * 1024
OVERLOAD_RETRY_S = 1


class Server(ConnectionAdmission, socketserver.TCPServer):
    """An HTTP/1.1 server that feeds each request to a route on its own thread.

    `route(method, path, body, reply)` must lead to one `reply(status, data, retry_after)`, from
    any thread and at any later time.

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
        except MalformedRequestError as error:
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
