"""Scenarios of the HTTP server on loopback, with well-behaved and misbehaving clients."""

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
POLL_INTERVAL_S = 0.01
LARGE_BYTES = 8 * 1024 * 1024  # more than socket buffers hold
READ_BYTES = 65536
READ_LARGE_BYTES = 1 << 20


class ServerScenario(Scenario):
    """Runs a server; each `request` opens a connection of its own and leaves it open."""

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.server: Server  # started by `limits`
        self.threads_before: set[threading.Thread] = set()
        self.idle: list[Connection] = []  # open connections without a pending request
        self.raw: dict[str, socket.socket] = {}  # connections of misbehaving clients, by name
        self.pending: list[Callable[..., None]] = []  # reply callbacks of `/hold` requests
        self.pending_changed = threading.Condition()

    def do_limits(self, *arguments: str) -> None:
        """Starts the server with these fields of ServerLimits."""
        fields: dict[str, Any] = parse_arguments(arguments)[1]
        limits = ServerLimits(**{"answer_timeout_s": 30.0, "idle_timeout_s": 60.0, **fields})
        self.server = Server((LOOPBACK, 0), self.route, limits, is_user_path)
        self.threads_before = set(threading.enumerate())
        self.server.begin("test")

    def route(self, method: str, path: str, body: bytes, reply: Callable[..., None]) -> None:
        """Handles a request by the end of its path: `/hold`, `/large`, `/fail`, or any other."""
        if path.endswith("/hold"):
            with self.pending_changed:
                self.pending.append(reply)
                self.pending_changed.notify_all()
        elif path.endswith("/large"):
            reply(200, {"text": "x" * LARGE_BYTES})
        elif path.endswith("/fail"):
            raise RuntimeError("failure requested by the path /fail")
        else:
            reply(200, {"bytes": len(body)})

    def address(self) -> tuple[str, int]:
        """The server's host and port."""
        return LOOPBACK, self.server.server_port

    def end(self) -> None:
        """Stops the server and checks that all its threads end."""
        for connection in self.idle:
            connection.close()
        for sock in self.raw.values():
            sock.close()
        self.server.shutdown()
        self.wait_until(lambda: not self.new_threads())
        self.server.server_close()

    # --- well-behaved clients

    def connect(self) -> Connection:
        """Creates a client connection to the server."""
        return Connection(self.address())

    def do_request(self, path: str, status: str) -> None:
        """Sends one request on a new connection, which stays open unless the server closes it."""
        connection = self.connect()
        found, _ = connection.request("POST", path, {}, TIMEOUT_S)
        assert found == int(status), found
        if connection.sock is not None:
            self.idle.append(connection)

    def do_request_again(self, number: str, path: str, status: str) -> None:
        """Sends another request on an idle connection."""
        found, _ = self.idle[int(number)].request("POST", path, {}, TIMEOUT_S)
        assert found == int(status), found

    def do_burst(self, count: str, path: str) -> None:
        """Sends one request from each of `count` concurrent clients; all have to be answered."""
        found: list[int] = []

        def ask() -> None:
            found.append(self.connect().request("POST", path, {}, TIMEOUT_S)[0])

        threads = [threading.Thread(target=ask) for _ in range(int(count))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert found == [200] * int(count), found

    # --- misbehaving clients

    def do_hold(self, name: str, path: str = "/agent/hold") -> None:
        """Sends a request that stays unanswered until `answer`."""
        before = len(self.pending)
        self.do_send(name, f"POST {path} HTTP/1.1\\r\\nContent-Length: 0\\r\\n\\r\\n")
        with self.pending_changed:
            assert self.pending_changed.wait_for(lambda: len(self.pending) > before, TIMEOUT_S)

    def do_answer(self, number: str) -> None:
        """Answers the n-th held request; repeated calls answer it more than once."""
        self.pending[int(number)](200, {})

    def do_send(self, name: str, text: str) -> None:
        """Sends raw bytes on the connection of this name, which is opened if it does not exist."""
        if name not in self.raw:
            self.raw[name] = socket.create_connection(self.address(), TIMEOUT_S)
        self.raw[name].sendall(text.encode().decode("unicode_escape").encode())

    def do_disconnect(self, name: str) -> None:
        """Closes the connection of this name and waits until the server has closed it too."""
        self.raw.pop(name).close()
        self.wait_until(lambda: self.server.connection_count == len(self.raw) + len(self.idle))

    @staticmethod
    def wait_until(condition: Callable[[], bool]) -> None:
        """Waits until a condition holds.

        Raises:
            AssertionError: It does not hold within TIMEOUT_S.
        """
        end = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < end, f"condition not met within {TIMEOUT_S} s"
            time.sleep(POLL_INTERVAL_S)

    # --- expectations

    def expect_refused(self) -> None:
        """The server closes a new connection without an answer."""
        with pytest.raises(OSError):
            self.connect().request("POST", "/agent/beat", {}, TIMEOUT_S)

    def expect_evicted(self, number: str) -> None:
        """The server closes this idle connection and no other one."""
        index = int(number)
        self.wait_until(lambda: self.is_closed(self.idle[index]))
        del self.idle[index]
        assert not any(self.is_closed(connection) for connection in self.idle)

    @staticmethod
    def is_closed(connection: Connection) -> bool:
        """Whether the server has closed a connection."""
        sock = connection.sock
        assert sock is not None
        readable, _, _ = select.select([sock], [], [], 0)
        return bool(readable) and sock.recv(1, socket.MSG_PEEK) == b""

    def expect_received(self, name: str, text: str) -> None:
        """The next data on the connection of this name contains this text."""
        found = self.raw[name].recv(READ_BYTES).decode()
        assert text in found, found

    def expect_closed(self, name: str) -> None:
        """The server closes the connection of this name."""
        assert self.raw.pop(name).recv(READ_BYTES) == b""

    def expect_bytes(self, name: str, minimum: str) -> None:
        """At least this many bytes of an answer can be read."""
        count = 0
        while count < int(minimum):
            data = self.raw[name].recv(READ_LARGE_BYTES)
            assert data, f"closed after {count} bytes"
            count += len(data)

    def expect_connections(self, count: str) -> None:
        """The server reaches this number of open connections."""
        self.wait_until(lambda: self.server.connection_count == int(count))

    def expect_threads(self, count: str) -> None:
        """The server runs this many threads, independent of the number of connections."""
        assert len(self.new_threads()) == int(count), self.new_threads()

    def new_threads(self) -> set[threading.Thread]:
        """The threads that were started since the server was created and have not ended."""
        return set(threading.enumerate()) - self.threads_before

    def expect_response(self, status: str, *texts: str) -> None:
        """The encoded response with this status contains these texts."""
        encoded = encode_response(int(status), {}, 1, True).decode()
        assert all(text in encoded for text in texts), encoded
