"""HTTP/1.1 over blocking sockets: the client side and the server side.

Both are thin on purpose: the controllers have a third of a core (docs/design.md, "Libraries").
"""

import logging
import queue
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import orjson

log = logging.getLogger("emberglade.transport")

BODY_LIMIT = 64 * 1024
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


class Link:
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


class Pool:
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


REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


WANTED = b"cCtT"  # first letters of the headers that matter


class Handler(BaseHTTPRequestHandler):
    """Feeds requests to `server.route(method, path, body, reply)` and waits for its answer."""

    protocol_version = "HTTP/1.1"
    counted = False  # among the connections of the server's `sparing` kind
    disable_nagle_algorithm = True
    wbufsize = 0

    def setup(self):
        self.timeout = self.server.idle_s
        super().setup()

    def finish(self):
        if self.counted:
            self.server.leave()
        super().finish()

    def handle_one_request(self):
        # http.server parses headers with the e-mail package, which costs more than all the
        # rest of a report; only two headers matter here.
        self.close_connection = True
        try:
            line = self.rfile.readline(4096)
            if not line:
                return
            words = line.decode("latin-1").split()
            if len(words) != 3 or not words[2].startswith("HTTP/1."):
                self._answer(400, {"error": "malformed request line"}, None)
                return
            method, path, version = words
            length, keep = 0, version != "HTTP/1.0"
            for _ in range(100):
                line = self.rfile.readline(8192)
                if line in (b"\r\n", b"\n"):
                    break
                if not line:
                    return
                if line[0] not in WANTED:
                    continue
                name, _, value = line.partition(b":")
                name = name.lower()
                if name == b"content-length":
                    length = int(value) if value.strip().isdigit() else -1
                elif name == b"connection":
                    keep = value.strip().lower() != b"close"
                elif name == b"transfer-encoding":
                    length = -1
            else:
                length = -1
            if length < 0 or length > BODY_LIMIT:
                self._answer(
                    400,
                    {"error": "a body of at most 64 KiB with its Content-Length is needed"},
                    None,
                )
                return
            body = self.rfile.read(length) if length else b""
            if len(body) < length:
                return
            if not self.counted and self.server.sparing(path):
                if not self.server.enter():
                    self._answer(503, {"error": "too many connections here; ask again"}, 1)
                    return
                self.counted = True
            status, data, retry = self.server.serve(method, path, body)
            self.close_connection = not keep
            self._answer(status, data, retry)
        except OSError:
            self.close_connection = True

    def _answer(self, status, data, retry):
        payload = b"" if data is None else orjson.dumps(data)
        extra = f"Retry-After: {retry}\r\n" if retry is not None else ""
        close = "Connection: close\r\n" if self.close_connection else ""
        head = (
            f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(payload)}\r\n{extra}{close}\r\n"
        )
        self.wfile.write(head.encode() + payload)


class Server(ThreadingHTTPServer):
    """`route(method, path, body, reply)` must lead to one `reply(status, data, retry_after)`.

    At most `most` connections are open. Those on which a path came that is `sparing` are at most
    `most_sparing` of them: past that they are told so and closed, and the rest stays for the
    others.
    """

    daemon_threads = True
    allow_reuse_address = True

    def __init__(
        self, address, route, patience, idle_s, most, sparing=lambda path: False, most_sparing=0
    ):
        self.route = route
        self.patience, self.idle_s = patience, idle_s
        self.slots = threading.BoundedSemaphore(most)
        self.sparing = sparing
        self.sparing_slots = threading.BoundedSemaphore(most_sparing)
        # After the end of another controller all its workers come at once.
        self.request_queue_size = max(16, most // 2)
        super().__init__(address, Handler)

    def enter(self):
        return self.sparing_slots.acquire(blocking=False)

    def leave(self):
        self.sparing_slots.release()

    def server_bind(self):
        # Without HTTPServer's name look-up: there is no name service.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        if not self.server_address[1]:
            self.server_address = self.socket.getsockname()
        self.server_name, self.server_port = self.server_address[:2]

    def process_request(self, request, client_address):
        # Sockets are capped: past the cap a connection is closed at once, not left hanging.
        if not self.slots.acquire(blocking=False):
            self.shutdown_request(request)
            return
        super().process_request(request, client_address)

    def process_request_thread(self, request, client_address):
        try:
            super().process_request_thread(request, client_address)
        finally:
            self.slots.release()

    def handle_error(self, request, client_address):
        log.exception("a request from %s failed; its connection is closed", client_address)

    def serve(self, method, path, body):
        answers = queue.SimpleQueue()
        self.route(
            method,
            path,
            body,
            lambda status, data=None, retry=None: answers.put((status, data, retry)),
        )
        try:
            return answers.get(timeout=self.patience)
        except queue.Empty:
            return 503, {"error": "no decision in time; ask again"}, 1

    def begin(self, name, poll_interval=3600):
        threading.Thread(
            target=self.serve_forever,
            kwargs={"poll_interval": poll_interval},
            name=name,
            daemon=True,
        ).start()
