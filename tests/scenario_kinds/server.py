"""A real server on loopback."""

import select
import socket
import threading
import time

import pytest

from emberglade.transport import Connection, Server, ServerLimits
from emberglade.transport.messages import encode_response
from emberglade.user_api.wire import is_user_path
from scenario_kinds.words import split

TIMEOUT_S = 10.0
LARGE_BYTES = 8 * 1024 * 1024  # more than sockets hold


class ServerScenario:
    """A real server on loopback; every `ask` opens a connection of its own and keeps it."""

    def __init__(self, patch, tmp_path):
        self.server, self.threads_before = None, 0
        self.open = []  # kept connections on which nothing is asked
        self.raw = {}  # name -> socket of a client that behaves oddly
        self.held, self.holding = [], threading.Condition()  # replies that are not given yet

    def step(self, verb, words):
        if verb == "expect":
            getattr(self, "expect_" + words[0])(*words[1:])
        else:
            getattr(self, "do_" + verb)(*words)

    def route(self, method, path, body, reply):
        """What the server is to do stands in the path."""
        if path.endswith("/hold"):
            with self.holding:
                self.held.append(reply)
                self.holding.notify_all()
        elif path.endswith("/large"):
            reply(200, {"text": "x" * LARGE_BYTES})
        elif path.endswith("/fail"):
            raise RuntimeError("this request is to fail")
        else:
            reply(200, {"bytes": len(body)})

    def do_limits(self, *words):
        limits = split(words)[1]
        self.server = Server(
            ("127.0.0.1", 0),
            self.route,
            ServerLimits(
                limits["most"],
                limits["users"],
                limits.get("answer", 30.0),
                limits.get("idle", 60.0),
            ),
            is_user_path,
        )
        self.threads_before = threading.active_count()
        self.server.begin("test")

    # --- clients that behave

    def connect(self):
        return Connection(("127.0.0.1", self.server.server_port))

    def do_ask(self, path, status):
        """One request on a connection of its own, which stays open if the server lets it."""
        connection = self.connect()
        found, _ = connection.request("POST", path, {}, TIMEOUT_S)
        assert found == int(status), found
        if connection.sock is not None:
            self.open.append(connection)

    def do_ask_again(self, number, path, status):
        """One more request on a kept connection."""
        found, _ = self.open[int(number)].request("POST", path, {}, TIMEOUT_S)
        assert found == int(status), found

    def do_close(self, number):
        self.open.pop(int(number)).close()

    def do_storm(self, count, path):
        """So many clients connect at once, each with one request; all are answered."""
        found = []

        def ask():
            found.append(self.connect().request("POST", path, {}, TIMEOUT_S)[0])

        threads = [threading.Thread(target=ask) for _ in range(int(count))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert found == [200] * int(count), found

    # --- clients that don't

    def do_hold(self, name, path="/agent/hold"):
        """A request that waits for its answer."""
        before = len(self.held)
        self.do_send(name, f"POST {path} HTTP/1.1\\r\\nContent-Length: 0\\r\\n\\r\\n")
        with self.holding:
            assert self.holding.wait_for(lambda: len(self.held) > before, TIMEOUT_S)

    def do_send(self, name, text):
        """Raw bytes on the connection of this name."""
        if name not in self.raw:
            self.raw[name] = socket.create_connection(
                ("127.0.0.1", self.server.server_port), TIMEOUT_S
            )
        self.raw[name].sendall(text.encode().decode("unicode_escape").encode())

    def do_hang_up(self, name):
        self.raw.pop(name).close()
        self.wait_until(lambda: self.server.connection_count == len(self.raw) + len(self.open))

    def do_answer(self, number):
        self.held[int(number)](200, {})

    @staticmethod
    def wait_until(reached):
        end = time.monotonic() + TIMEOUT_S
        while not reached():
            assert time.monotonic() < end, "this did not come about"
            time.sleep(0.01)

    # --- expectations

    def expect_refused(self):
        """A new connection is closed without an answer."""
        with pytest.raises(OSError):
            self.connect().request("POST", "/agent/beat", {}, TIMEOUT_S)

    def expect_gave_way(self, number):
        """The server has closed this kept connection, and none of those after it."""
        number = int(number)
        self.wait_until(lambda: self.is_closed(self.open[number]))
        del self.open[number]
        assert not any(self.is_closed(connection) for connection in self.open)

    @staticmethod
    def is_closed(connection):
        readable, _, _ = select.select([connection.sock], [], [], 0)
        return bool(readable) and connection.sock.recv(1, socket.MSG_PEEK) == b""

    def expect_said(self, name, text):
        """What comes next on the connection of this name holds this text."""
        found = self.raw[name].recv(65536).decode()
        assert text in found, found

    def expect_closed(self, name):
        """The server closes the connection of this name."""
        assert self.raw.pop(name).recv(65536) == b""

    def expect_bytes(self, name, least):
        """So many bytes of an answer come when they are read at last."""
        count = 0
        while count < int(least):
            data = self.raw[name].recv(1 << 20)
            assert data, f"closed after {count} bytes"
            count += len(data)

    def expect_connections(self, count):
        self.wait_until(lambda: self.server.connection_count == int(count))

    def expect_threads(self, count):
        """So many threads serve, however many connections there are."""
        assert threading.active_count() - self.threads_before == int(count)

    def expect_response(self, status, *words):
        """The encoded answer of this status holds these words."""
        encoded = encode_response(int(status), {}, 1, True).decode()
        assert all(word in encoded for word in words), encoded

    def end(self):
        for connection in [*self.open, *self.raw.values()]:
            connection.close()
        self.server.shutdown()
        self.wait_until(lambda: threading.active_count() <= self.threads_before)
        self.server.server_close()
