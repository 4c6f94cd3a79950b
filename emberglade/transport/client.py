"""The HTTP/1.1 client: kept-alive connections on blocking sockets, carried by a few threads.

It is thin on purpose: a controller has a fraction of a core (docs/design.md, "Libraries").
"""

import logging
import queue
import socket
import threading

import orjson

log = logging.getLogger("emberglade.transport")

NO_ANSWER = 0  # status given to the caller when no answer came


def parse_address(text):
    """(host, port) of a text like 10.0.0.1:8080."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Connection:
    """One kept-alive client connection."""

    def __init__(self, address):
        self.address = address
        self.sock = None
        self.reader = None

    def close(self):
        for part in (self.reader, self.sock):
            if part is not None:
                try:
                    part.close()
                except OSError:
                    log.debug("closing a connection to %s failed; it is dropped", self.address)
        self.sock = self.reader = None

    def request(self, method, path, body, timeout):
        """Returns (status, decoded body or None); raises OSError or ValueError."""
        payload = b"" if body is None else orjson.dumps(body)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
        )
        fresh = self.sock is None
        if fresh:
            self.sock = socket.create_connection(self.address, timeout)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.reader = self.sock.makefile("rb")
        try:
            self.sock.settimeout(timeout)
            self.sock.sendall(head.encode() + payload)
            return self._read_response()
        except (OSError, ValueError):
            self.close()
            raise

    def _read_response(self):
        line = self.reader.readline(1024)
        if not line:
            raise OSError("closed by the other side")
        status = int(line.split(None, 2)[1])
        length, close, chunked = 0, False, False
        while True:
            line = self.reader.readline(8192)
            if line in (b"\r\n", b"\n"):
                break
            if not line:
                raise OSError("closed within the headers")
            name, _, value = line.partition(b":")
            name, value = name.lower(), value.strip()
            if name == b"content-length":
                length = int(value)
            elif name == b"connection":
                close = value.lower() == b"close"
            elif name == b"transfer-encoding":
                chunked = b"chunked" in value.lower()
        data = self._read_chunks() if chunked else self.reader.read(length)
        if not chunked and len(data) < length:
            raise OSError("closed within the body")
        if close:
            self.close()
        try:
            decoded = orjson.loads(data) if data else None
        except ValueError:
            # An HTML error page or the like: the status still counts, the body does not.
            decoded = None
        return status, decoded

    def _read_chunks(self):
        parts = []
        while True:
            size = int(self.reader.readline(64).split(b";")[0], 16)
            if size == 0:
                while self.reader.readline(8192) not in (b"\r\n", b"\n", b""):
                    continue
                return b"".join(parts)
            parts.append(self.reader.read(size))
            self.reader.readline(8)


class Client:
    """A few threads that carry calls to one address; answers go to a callable.

    `call(method, path, body, timeout, reply)` ends in `reply(status, body)`, with status
    NO_ANSWER when the outcome is not known.
    """

    def __init__(self, address, threads, name, backlog=256):
        self.address = address
        self.jobs = queue.SimpleQueue()
        self.backlog = backlog
        for number in range(threads):
            threading.Thread(target=self._run, name=f"{name}-{number}", daemon=True).start()

    def call(self, method, path, body, timeout, reply):
        if self.jobs.qsize() > self.backlog:
            reply(NO_ANSWER, None)
            return
        self.jobs.put((method, path, body, timeout, reply))

    def _run(self):
        connection = Connection(self.address)
        while True:
            method, path, body, timeout, reply = self.jobs.get()
            try:
                status, data = connection.request(method, path, body, timeout)
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

    def __init__(self, threads, connections, name):
        self.jobs = queue.SimpleQueue()
        self.threads, self.most = threads, connections
        self.idle = {}  # address -> Connection; the one used longest ago gives way
        self.lock = threading.Lock()
        for number in range(threads):
            threading.Thread(target=self._run, name=f"{name}-{number}", daemon=True).start()

    def call(self, address, method, path, body, timeout, reply):
        if self.jobs.qsize() > 4 * self.threads:
            reply(NO_ANSWER, None)
            return
        self.jobs.put((address, method, path, body, timeout, reply))

    def _take(self, address):
        with self.lock:
            return self.idle.pop(address, None) or Connection(parse_address(address))

    def _keep(self, address, connection):
        with self.lock:
            spare = [self.idle.pop(address, None)]
            if connection.sock is not None:
                self.idle[address] = connection
            if len(self.idle) > self.most:
                spare.append(self.idle.pop(next(iter(self.idle))))
        for old in spare:
            if old is not None:
                old.close()

    def _run(self):
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
