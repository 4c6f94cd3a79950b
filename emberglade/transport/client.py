"""The HTTP/1.1 client: kept-alive connections on blocking sockets, carried by a few threads.

It is thin on purpose: a controller has a fraction of a core (docs/design.md, "Libraries").
"""

import logging
import queue
import socket
import threading
from collections.abc import Callable
from typing import Any, BinaryIO, NamedTuple

import orjson

log = logging.getLogger("emberglade.transport")

NO_ANSWER = 0  # status given to the caller when no answer came
REFUSED = -1  # status when the connection was refused, so that nothing was sent

Reply = Callable[[int, Any], None]  # reply(status, decoded body)


def status_text(status: int) -> int | str:
    """A status as it is logged."""
    return {NO_ANSWER: "no answer", REFUSED: "no connection"}.get(status, status)


def parse_address(text: str) -> tuple[str, int]:
    """(host, port) of a text like 10.0.0.1:8080."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class ResponseHeaders(NamedTuple):
    """What a response's headers say of its body and of the connection."""

    content_length: int
    close: bool
    chunked: bool


class Connection:
    """One kept-alive client connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.sock: socket.socket | None = None
        self.reader: BinaryIO | None = None

    def close(self) -> None:
        """Closes the reader and the socket, if open; a failure to close is logged and dropped."""
        for part in (self.reader, self.sock):
            if part is not None:
                try:
                    part.close()
                except OSError:
                    log.debug("closing a connection to %s failed; it is dropped", self.address)
        self.sock = self.reader = None

    def request(self, method: str, path: str, body: Any, timeout: float) -> tuple[int, Any]:
        """Returns (status, decoded body or None); raises OSError or ValueError."""
        payload = b"" if body is None else orjson.dumps(body)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
        )
        sock, reader = self._open(timeout)
        try:
            sock.settimeout(timeout)
            sock.sendall(head.encode() + payload)
            return self._read_response(reader)
        except (OSError, ValueError):
            self.close()
            raise

    def _open(self, timeout: float) -> tuple[socket.socket, BinaryIO]:
        """The open socket and its reader; connects first if there are none."""
        if self.sock is None or self.reader is None:
            self.sock = socket.create_connection(self.address, timeout)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.reader = self.sock.makefile("rb")
        return self.sock, self.reader

    def _read_response(self, reader: BinaryIO) -> tuple[int, Any]:
        line = reader.readline(1024)
        if not line:
            raise OSError("closed by the other side")
        status = int(line.split(None, 2)[1])
        headers = self._read_headers(reader)
        if headers.chunked:
            data = self._read_chunks(reader)
        else:
            data = reader.read(headers.content_length)
            if len(data) < headers.content_length:
                raise OSError("closed within the body")
        if headers.close:
            self.close()
        try:
            decoded = orjson.loads(data) if data else None
        except ValueError:
            # An HTML error page or the like: the status still counts, the body does not.
            decoded = None
        return status, decoded

    @staticmethod
    def _read_headers(reader: BinaryIO) -> "ResponseHeaders":
        content_length, close, chunked = 0, False, False
        while True:
            line = reader.readline(8192)
            if line in (b"\r\n", b"\n"):
                return ResponseHeaders(content_length, close, chunked)
            if not line:
                raise OSError("closed within the headers")
            name, _, value = line.partition(b":")
            name, value = name.lower(), value.strip()
            if name == b"content-length":
                content_length = int(value)
            elif name == b"connection":
                close = value.lower() == b"close"
            elif name == b"transfer-encoding":
                chunked = b"chunked" in value.lower()

    @staticmethod
    def _read_chunks(reader: BinaryIO) -> bytes:
        parts: list[bytes] = []
        while True:
            size = int(reader.readline(64).split(b";")[0], 16)
            if size == 0:
                while reader.readline(8192) not in (b"\r\n", b"\n", b""):
                    continue
                return b"".join(parts)
            parts.append(reader.read(size))
            reader.readline(8)


class Client:
    """A few threads that carry calls to one address; answers go to a callable.

    `call(method, path, body, timeout, reply)` ends in `reply(status, body)`, with status
    NO_ANSWER when the outcome is not known, REFUSED when nobody took the connection.
    """

    def __init__(
        self, address: tuple[str, int], threads: int, name: str, backlog: int = 256
    ) -> None:
        self.address = address
        # (method, path, body, timeout, reply)
        self.jobs: queue.SimpleQueue[tuple[str, str, Any, float, Reply]] = queue.SimpleQueue()
        self.backlog = backlog
        for number in range(threads):
            threading.Thread(target=self._run, name=f"{name}-{number}", daemon=True).start()

    def call(self, method: str, path: str, body: Any, timeout: float, reply: Reply) -> None:
        """Queues a call; `reply(status, body)` follows on a thread of the client.

        `timeout` is in seconds. Past `backlog` queued calls the reply is NO_ANSWER at once.
        """
        if self.jobs.qsize() > self.backlog:
            reply(NO_ANSWER, None)
            return
        self.jobs.put((method, path, body, timeout, reply))

    def _run(self) -> None:
        connection = Connection(self.address)
        while True:
            method, path, body, timeout, reply = self.jobs.get()
            try:
                status, data = connection.request(method, path, body, timeout)
            except ConnectionRefusedError:
                connection.close()
                status, data = REFUSED, None
            except (OSError, ValueError, IndexError) as error:
                log.debug("%s %s at %s: %s", method, path, self.address, error)
                connection.close()
                status, data = NO_ANSWER, None
            reply(status, data)


class ClientPool:
    """Threads that carry calls to many addresses over kept connections.

    A machine that hangs holds a thread for a whole timeout, so there are as many as may hang
    together while the others' calls go on.
    """

    def __init__(self, threads: int, connections: int, name: str) -> None:
        # (address, method, path, body, timeout, reply)
        self.jobs: queue.SimpleQueue[tuple[str, str, str, Any, float, Reply]] = queue.SimpleQueue()
        self.threads, self.max_idle = threads, connections
        self.idle: dict[
            str, Connection
        ] = {}  # address -> Connection; the one used longest ago gives way
        self.lock = threading.Lock()
        for number in range(threads):
            threading.Thread(target=self._run, name=f"{name}-{number}", daemon=True).start()

    def call(
        self, address: str, method: str, path: str, body: Any, timeout: float, reply: Reply
    ) -> None:
        """Queues a call to `address` (host:port); `reply(status, body)` follows on a pool thread.

        `timeout` is in seconds. Past four queued calls per thread the reply is NO_ANSWER at once.
        """
        if self.jobs.qsize() > 4 * self.threads:
            reply(NO_ANSWER, None)
            return
        self.jobs.put((address, method, path, body, timeout, reply))

    def _take(self, address: str) -> Connection:
        with self.lock:
            return self.idle.pop(address, None) or Connection(parse_address(address))

    def _keep(self, address: str, connection: Connection) -> None:
        with self.lock:
            spare = [self.idle.pop(address, None)]
            if connection.sock is not None:
                self.idle[address] = connection
            if len(self.idle) > self.max_idle:
                spare.append(self.idle.pop(next(iter(self.idle))))
        for old in spare:
            if old is not None:
                old.close()

    def _run(self) -> None:
        while True:
            address, method, path, body, timeout, reply = self.jobs.get()
            connection = self._take(address)
            try:
                status, data = connection.request(method, path, body, timeout)
            except (OSError, ValueError, IndexError) as error:
                log.debug("%s %s at %s: %s", method, path, address, error)
                connection.close()
                status, data = NO_ANSWER, None
            self._keep(address, connection)
            reply(status, data)
