"""A real server on loopback, with clients that behave and clients that don't."""

import select
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from emberglade.transport import Connection, Server, ServerLimits
from emberglade.transport.messages import encode_response
from emberglade.user_api.wire import is_user_path

from .arguments import parse_arguments
from .scenario import Scenario

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 10.0
POLL_S = 0.01
LARGE_BYTES = 8 * 1024 * 1024  # more than sockets hold
READ_BYTES = 65536
READ_LARGE_BYTES = 1 << 20


class ServerScenario(Scenario):
    """A real server on loopback; every `request` opens a connection of its own and keeps it."""

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.server: Server  # begun by `limits`
        self.threads_before = 0
        self.open: list[Connection] = []  # kept connections on which nothing is asked
        self.raw: dict[str, socket.socket] = {}  # of clients that behave oddly, by their names
        self.pending: list[Callable[..., None]] = []  # replies that are not given yet
        self.pending_changed = threading.Condition()

    def do_limits(self, *words: str) -> None:
        """Fields of ServerLimits; the server begins with them."""
        fields: dict[str, Any] = parse_arguments(words)[1]
        limits = ServerLimits(**{"answer_timeout_s": 30.0, "idle_timeout_s": 60.0, **fields})
        self.server = Server((LOOPBACK, 0), self.route, limits, is_user_path)
        self.threads_before = threading.active_count()
        self.server.begin("test")

    def route(self, method: str, path: str, body: bytes, reply: Callable[..., None]) -> None:
        """What the server is to do stands in the path."""
        if path.endswith("/hold"):
            with self.pending_changed:
                self.pending.append(reply)
                self.pending_changed.notify_all()
        elif path.endswith("/large"):
            reply(200, {"text": "x" * LARGE_BYTES})
        elif path.endswith("/fail"):
            raise RuntimeError("this request is to fail")
        else:
            reply(200, {"bytes": len(body)})

    def address(self) -> tuple[str, int]:
        """Where the server is."""
        return LOOPBACK, self.server.server_port

    def end(self) -> None:
        """Ends the server; none of its threads is left."""
        for connection in self.open:
            connection.close()
        for sock in self.raw.values():
            sock.close()
        self.server.shutdown()
        self.wait_until(lambda: threading.active_count() <= self.threads_before)
        self.server.server_close()

    # --- clients that behave

    def connect(self) -> Connection:
        """A new connection."""
        return Connection(self.address())

    def do_request(self, path: str, status: str) -> None:
        """One request on a connection of its own, which stays open if the server lets it."""
        connection = self.connect()
        found, _ = connection.request("POST", path, {}, TIMEOUT_S)
        assert found == int(status), found
        if connection.sock is not None:
            self.open.append(connection)

    def do_request_again(self, number: str, path: str, status: str) -> None:
        """One more request on a kept connection."""
        found, _ = self.open[int(number)].request("POST", path, {}, TIMEOUT_S)
        assert found == int(status), found

    def do_burst(self, count: str, path: str) -> None:
        """So many clients connect at once, each with one request; all are answered."""
        found: list[int] = []

        def ask() -> None:
            found.append(self.connect().request("POST", path, {}, TIMEOUT_S)[0])

        threads = [threading.Thread(target=ask) for _ in range(int(count))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert found == [200] * int(count), found

    # --- clients that don't

    def do_hold(self, name: str, path: str = "/agent/hold") -> None:
        """A request that waits for its answer."""
        before = len(self.pending)
        self.do_send(name, f"POST {path} HTTP/1.1\\r\\nContent-Length: 0\\r\\n\\r\\n")
        with self.pending_changed:
            assert self.pending_changed.wait_for(lambda: len(self.pending) > before, TIMEOUT_S)

    def do_answer(self, number: str) -> None:
        """Gives the answer that the n-th held request waits for, once more if it had it."""
        self.pending[int(number)](200, {})

    def do_send(self, name: str, text: str) -> None:
        """Raw bytes on the connection of this name."""
        if name not in self.raw:
            self.raw[name] = socket.create_connection(self.address(), TIMEOUT_S)
        self.raw[name].sendall(text.encode().decode("unicode_escape").encode())

    def do_disconnect(self, name: str) -> None:
        """The client closes the connection of this name, and the server sees it."""
        self.raw.pop(name).close()
        self.wait_until(lambda: self.server.connection_count == len(self.raw) + len(self.open))

    @staticmethod
    def wait_until(reached: Callable[[], bool]) -> None:
        """Waits for something to come about."""
        end = time.monotonic() + TIMEOUT_S
        while not reached():
            assert time.monotonic() < end, "this did not come about"
            time.sleep(POLL_S)

    # --- expectations

    def expect_refused(self) -> None:
        """A new connection is closed without an answer."""
        with pytest.raises(OSError):
            self.connect().request("POST", "/agent/beat", {}, TIMEOUT_S)

    def expect_evicted(self, number: str) -> None:
        """The server has closed this kept connection, and none of those after it."""
        place = int(number)
        self.wait_until(lambda: self.is_closed(self.open[place]))
        del self.open[place]
        assert not any(self.is_closed(connection) for connection in self.open)

    @staticmethod
    def is_closed(connection: Connection) -> bool:
        """Whether the server has closed a connection."""
        sock = connection.sock
        assert sock is not None
        readable, _, _ = select.select([sock], [], [], 0)
        return bool(readable) and sock.recv(1, socket.MSG_PEEK) == b""

    def expect_received(self, name: str, text: str) -> None:
        """What comes next on the connection of this name holds this text."""
        found = self.raw[name].recv(READ_BYTES).decode()
        assert text in found, found

    def expect_closed(self, name: str) -> None:
        """The server closes the connection of this name."""
        assert self.raw.pop(name).recv(READ_BYTES) == b""

    def expect_bytes(self, name: str, minimum: str) -> None:
        """So many bytes of an answer come when they are read at last."""
        count = 0
        while count < int(minimum):
            data = self.raw[name].recv(READ_LARGE_BYTES)
            assert data, f"closed after {count} bytes"
            count += len(data)

    def expect_connections(self, count: str) -> None:
        """So many connections are open."""
        self.wait_until(lambda: self.server.connection_count == int(count))

    def expect_threads(self, count: str) -> None:
        """So many threads serve, however many connections there are."""
        assert threading.active_count() - self.threads_before == int(count)

    def expect_response(self, status: str, *words: str) -> None:
        """The encoded answer of this status holds these words."""
        encoded = encode_response(int(status), {}, 1, True).decode()
        assert all(word in encoded for word in words), encoded
