"""HTTP/1.1 clients: threads that perform calls over kept-alive connections."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import Any, NamedTuple

from .client_connection import Connection

log = logging.getLogger("emberglade.transport")

NO_ANSWER = 0  # status of a call without a response, whose outcome is unknown
REFUSED = -1  # status of a call whose connection was refused, so that nothing was sent

Reply = Callable[[int, Any], None]  # reply(status, decoded body)

DEFAULT_BACKLOG = 256  # calls that may wait for a thread of a client
POOL_BACKLOG_PER_THREAD = 4  # calls that may wait, per thread of a pool


def status_text(status: int) -> int | str:
    """A status in the form used in logs."""
    return {NO_ANSWER: "no answer", REFUSED: "no connection"}.get(status, status)


def parse_address(text: str) -> tuple[str, int]:
    """Parses a text like 10.0.0.1:8080 into (host, port)."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Call(NamedTuple):
    """A request to be performed by a thread."""

    address: str  # host:port; empty if all calls go to one address
    method: str
    path: str
    body: Any
    timeout: float  # in seconds
    reply: Reply


class CallQueue:
    """Calls that wait for a thread; when the backlog is full, new calls fail with NO_ANSWER."""

    def __init__(self, backlog: int) -> None:
        self.backlog = backlog
        self._waiting: queue.SimpleQueue[Call] = queue.SimpleQueue()

    def put(self, call: Call) -> None:
        """Queues a call, or fails it at once if the backlog is full."""
        if self._waiting.qsize() > self.backlog:
            call.reply(NO_ANSWER, None)
        else:
            self._waiting.put(call)

    def take(self) -> Call:
        """Removes and returns the oldest call; blocks until there is one."""
        return self._waiting.get()


def start_threads(run: Callable[[], None], count: int, name: str) -> None:
    """Starts `count` daemon threads that run `run`."""
    for number in range(count):
        threading.Thread(target=run, name=f"{name}-{number}", daemon=True).start()


def perform(call: Call, connection: Connection) -> tuple[int, Any]:
    """Performs a call over a connection, and closes the connection on failure.

    Returns:
        (status, body); the status is REFUSED or NO_ANSWER if there is no response.
    """
    try:
        return connection.request(call.method, call.path, call.body, call.timeout)
    except ConnectionRefusedError:
        connection.close()
        return REFUSED, None
    except (OSError, ValueError, IndexError) as error:
        log.debug("call %s %s to %s failed: %s", call.method, call.path, connection.address, error)
        connection.close()
        return NO_ANSWER, None


class Client:
    """Performs calls to one address on its own threads, with one connection per thread.

    Each `call` ends with `reply(status, body)`. The status is NO_ANSWER if the outcome is unknown
    and REFUSED if the connection was refused.
    """

    def __init__(
        self, address: tuple[str, int], threads: int, name: str, backlog: int = DEFAULT_BACKLOG
    ) -> None:
        self.address = address
        self._calls = CallQueue(backlog)
        start_threads(self._run, threads, name)

    def call(self, method: str, path: str, body: Any, timeout: float, reply: Reply) -> None:
        """Queues a call; `reply(status, body)` is called on a thread of the client.

        `timeout` is in seconds. If the backlog is full, the status is NO_ANSWER at once.
        """
        self._calls.put(Call("", method, path, body, timeout, reply))

    def _run(self) -> None:
        connection = Connection(self.address)
        while True:
            call = self._calls.take()
            call.reply(*perform(call, connection))


class IdleConnections:
    """A thread-safe pool of idle connections, at most one per address.

    Above `limit` connections, the least recently used one is closed.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._by_address: dict[str, Connection] = {}  # least recently used first
        self._lock = threading.Lock()

    def take(self, address: str) -> Connection:
        """Takes the connection to an address out of the pool, or creates one."""
        with self._lock:
            connection = self._by_address.pop(address, None)
        return connection or Connection(parse_address(address))

    def keep(self, address: str, connection: Connection) -> None:
        """Returns a connection to the pool, if it is open."""
        with self._lock:
            surplus = [self._by_address.pop(address, None)]
            if connection.sock is not None:
                self._by_address[address] = connection
            if len(self._by_address) > self.limit:
                surplus.append(self._by_address.pop(next(iter(self._by_address))))
        for old in surplus:
            if old is not None:
                old.close()


class ClientPool:
    """Performs calls to many addresses on a pool of threads, over kept-alive connections.

    A hung machine blocks a thread until the timeout, so `threads` must exceed the number of
    machines that may hang at the same time.
    """

    def __init__(self, threads: int, connections: int, name: str) -> None:
        self._calls = CallQueue(POOL_BACKLOG_PER_THREAD * threads)
        self._idle = IdleConnections(connections)
        start_threads(self._run, threads, name)

    def call(
        self, address: str, method: str, path: str, body: Any, timeout: float, reply: Reply
    ) -> None:
        """Queues a call to `address` (host:port); `reply(status, body)` is called on a pool thread.

        `timeout` is in seconds. The status is NO_ANSWER if there is no response, even if the
        connection was refused. It is NO_ANSWER at once if the backlog (four calls per thread) is
        full.
        """
        self._calls.put(Call(address, method, path, body, timeout, reply))

    def _run(self) -> None:
        while True:
            call = self._calls.take()
            connection = self._idle.take(call.address)
            status, body = perform(call, connection)
            self._idle.keep(call.address, connection)
            call.reply(NO_ANSWER if status == REFUSED else status, body)
