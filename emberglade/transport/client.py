"""The HTTP/1.1 clients: threads that carry calls over kept connections; answers go to callables."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import Any, NamedTuple

from .client_connection import Connection

log = logging.getLogger("emberglade.transport")

NO_ANSWER = 0  # status given to the caller when no answer came
REFUSED = -1  # status when the connection was refused, so that nothing was sent

Reply = Callable[[int, Any], None]  # reply(status, decoded body)

DEFAULT_BACKLOG = 256  # calls that may wait for a client's threads
POOL_BACKLOG_PER_THREAD = 4


def status_text(status: int) -> int | str:
    """A status as it is logged."""
    return {NO_ANSWER: "no answer", REFUSED: "no connection"}.get(status, status)


def parse_address(text: str) -> tuple[str, int]:
    """(host, port) of a text like 10.0.0.1:8080."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Call(NamedTuple):
    """A request that waits for a thread."""

    address: str  # host:port; empty where all calls go to one address
    method: str
    path: str
    body: Any
    timeout: float  # in seconds
    reply: Reply


class CallQueue:
    """Calls that wait for a thread; past `backlog` of them a call ends with NO_ANSWER at once."""

    def __init__(self, backlog: int) -> None:
        self.backlog = backlog
        self._waiting: queue.SimpleQueue[Call] = queue.SimpleQueue()

    def put(self, call: Call) -> None:
        """Queues a call, unless too many wait."""
        if self._waiting.qsize() > self.backlog:
            call.reply(NO_ANSWER, None)
        else:
            self._waiting.put(call)

    def take(self) -> Call:
        """The call that waited for longest; waits for one if there is none."""
        return self._waiting.get()


def start_threads(run: Callable[[], None], count: int, name: str) -> None:
    """Runs `run` on so many threads, until the process ends."""
    for number in range(count):
        threading.Thread(target=run, name=f"{name}-{number}", daemon=True).start()


def perform(call: Call, connection: Connection) -> tuple[int, Any]:
    """Carries a call over a connection, which is closed if that fails.

    Returns:
        (status, body), with status REFUSED or NO_ANSWER if there is no answer.
    """
    try:
        return connection.request(call.method, call.path, call.body, call.timeout)
    except ConnectionRefusedError:
        connection.close()
        return REFUSED, None
    except (OSError, ValueError, IndexError) as error:
        log.debug("%s %s at %s: %s", call.method, call.path, connection.address, error)
        connection.close()
        return NO_ANSWER, None


class Client:
    """A few threads that carry calls to one address; answers go to a callable.

    `call(method, path, body, timeout, reply)` ends in `reply(status, body)`, with status
    NO_ANSWER when the outcome is not known, REFUSED when nobody took the connection.
    """

    def __init__(
        self, address: tuple[str, int], threads: int, name: str, backlog: int = DEFAULT_BACKLOG
    ) -> None:
        self.address = address
        self._calls = CallQueue(backlog)
        start_threads(self._run, threads, name)

    def call(self, method: str, path: str, body: Any, timeout: float, reply: Reply) -> None:
        """Queues a call; `reply(status, body)` follows on a thread of the client.

        `timeout` is in seconds. Past the backlog of queued calls the reply is NO_ANSWER at once.
        """
        self._calls.put(Call("", method, path, body, timeout, reply))

    def _run(self) -> None:
        connection = Connection(self.address)
        while True:
            call = self._calls.take()
            call.reply(*perform(call, connection))


class IdleConnections:
    """Open connections on which nothing is asked, one an address, for any thread.

    Above the bound the one used longest ago gives way.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._by_address: dict[str, Connection] = {}  # the one used longest ago comes first
        self._lock = threading.Lock()

    def take(self, address: str) -> Connection:
        """A connection to an address, which is the caller's until it is kept."""
        with self._lock:
            connection = self._by_address.pop(address, None)
        return connection or Connection(parse_address(address))

    def keep(self, address: str, connection: Connection) -> None:
        """Keeps a connection for the next call, if it is open."""
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
    """Threads that carry calls to many addresses over kept connections.

    A machine that hangs holds a thread for a whole timeout, so there are as many as may hang
    together while the others' calls go on.
    """

    def __init__(self, threads: int, connections: int, name: str) -> None:
        self._calls = CallQueue(POOL_BACKLOG_PER_THREAD * threads)
        self._idle = IdleConnections(connections)
        start_threads(self._run, threads, name)

    def call(
        self, address: str, method: str, path: str, body: Any, timeout: float, reply: Reply
    ) -> None:
        """Queues a call to `address` (host:port); `reply(status, body)` follows on a pool thread.

        `timeout` is in seconds. Past four queued calls per thread the reply is NO_ANSWER at once,
        and so it is when nobody takes the connection.
        """
        self._calls.put(Call(address, method, path, body, timeout, reply))

    def _run(self) -> None:
        while True:
            call = self._calls.take()
            connection = self._idle.take(call.address)
            status, body = perform(call, connection)
            self._idle.keep(call.address, connection)
            call.reply(NO_ANSWER if status == REFUSED else status, body)
