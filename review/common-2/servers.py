"""HTTP on loopback for the stand-ins, the record of a run, and a connection forwarder."""

import http.client
import http.server
import itertools
import json
import os
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

LOOPBACK = "127.0.0.1"
# Below the range from which clients get their ports. Each process has a part of it, so that cases
# that are run at the same time don't get in each other's way.
FIRST_PORT, PORTS_PER_PROCESS, PARTS = 20_000, 100, 100
NO_ANSWER = 0  # status of a request without a response

# handle(method, path, body) -> (status, body); status NO_ANSWER: the connection is closed.
Handler = Callable[[str, str, Any], tuple[int, Any]]


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        """Begins an empty record in the case's folder."""
        self.started_at = time.monotonic()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()

    def now(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Writes one line with the time."""
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{self.now():8.3f} {text}\n")
                self._file.flush()

    def close(self) -> None:
        """Closes the file; later lines are dropped."""
        with self._lock:
            self._file.close()


_candidates = itertools.count(os.getpid() % PARTS * PORTS_PER_PROCESS)


def free_port() -> int:
    """A free port that no client gets by chance, and that was not given to anybody before."""
    for _ in range(PORTS_PER_PROCESS * PARTS):
        port = FIRST_PORT + next(_candidates) % (PORTS_PER_PROCESS * PARTS)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return port
    raise OSError("no free port")


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores connections that clients closed."""


class HttpServer:
    """A server of a stand-in: passes each request to `handle`, on a thread per connection."""

    def __init__(self, handle: Handler, port: int | None = None) -> None:
        """Starts to serve at `port`, or at any free port."""

        class RequestHandler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args: Any) -> None:
                """Logs nothing."""

            def _serve(self) -> None:
                length = int(self.headers.get("Content-Length") or 0)
                data = self.rfile.read(length) if length else b""
                status, body = handle(self.command, self.path, json.loads(data) if data else None)
                if status == NO_ANSWER:
                    self.close_connection = True
                    return
                payload = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} {http.client.responses.get(status, 'Status')}\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
                )
                self.wfile.write(head.encode() + payload)

            do_GET = do_POST = do_DELETE = _serve  # noqa: N815

        self._server = _Server((LOOPBACK, port or free_port()), RequestHandler)
        self.address = f"{LOOPBACK}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def stop(self) -> None:
        """Stops to accept connections."""
        self._server.shutdown()
        self._server.server_close()


class Connection:
    """A client's connection that is kept open; a failure closes it."""

    def __init__(self, address: str) -> None:
        """Creates the connection; it is opened by the first request."""
        self.address = address
        self._connection: http.client.HTTPConnection | None = None

    def request(self, method: str, path: str, body: Any, timeout: float) -> tuple[int, Any]:
        """Returns (status, body) of the response; the status is NO_ANSWER if there is none."""
        payload = None if body is None else json.dumps(body).encode()
        try:
            if self._connection is None:
                host, _, port = self.address.partition(":")
                self._connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
                self._connection.connect()
                self._connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connection.sock.settimeout(timeout)
            headers = {"Content-Type": "application/json"}
            self._connection.request(method, path, payload, headers)
            response = self._connection.getresponse()
            data = response.read()
            if response.will_close:
                self.close()
            return response.status, json.loads(data) if data else None
        except (OSError, ValueError, http.client.HTTPException):
            self.close()
            return NO_ANSWER, None

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def request(
    address: str, method: str, path: str, body: Any = None, timeout: float = 2.0
) -> tuple[int, Any]:
    """Sends one request on a connection of its own."""
    connection = Connection(address)
    try:
        return connection.request(method, path, body, timeout)
    finally:
        connection.close()


class Forwarder:
    """Forwards connections to a port; while it is cut, it holds what either side sends."""

    def __init__(self, target: str) -> None:
        """Listens at a free port of its own."""
        self.target = target
        self._open = threading.Event()
        self._open.set()
        self._listener = socket.create_server((LOOPBACK, free_port()), backlog=64)
        self.address = f"{LOOPBACK}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Holds all packets from now on."""
        self._open.clear()

    def restore(self) -> None:
        """Delivers what was held, in order, and goes on."""
        self._open.set()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        self._open.wait()
        host, _, port = self.target.partition(":")
        try:
            far = socket.create_connection((host, int(port)), 5.0)
        except OSError:
            near.close()
            return
        for side in (near, far):
            side.settimeout(None)
            side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._copy, args=(near, far), daemon=True).start()
        self._copy(far, near)

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65_536):
                self._open.wait()
                sink.sendall(data)
        except OSError:
            pass
        self._open.wait()
        for side in (source, sink):
            try:
                side.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def stop(self) -> None:
        """Stops to accept connections."""
        self._listener.close()
