"""A real server on loopback."""

import pytest

from emberglade.node import is_users
from emberglade.transport import Connection, Server
from scenario_kinds.words import split


class ServerScenario:
    """A real server on loopback; every `ask` opens a connection of its own and keeps it."""

    def __init__(self, patch, tmp_path):
        self.open, self.server, self.limits = [], None, {}

    def step(self, verb, words):
        if verb == "limits":
            self.limits = split(words)[1]
            self.server = Server(
                ("127.0.0.1", 0),
                lambda method, path, body, reply: reply(200, {}),
                3.0,
                30.0,
                self.limits["most"],
                is_users,
                self.limits["users"],
            )
            self.server.begin("test", 0.05)
        elif verb == "ask":
            connection = self.connect()
            status = self.request(connection, words[0])
            assert status == int(words[1]), status
            if status == 503:
                connection.close()
        elif verb == "close":
            # Closed by its client; the server's thread gives the place back a moment later.
            self.open.pop(int(words[0])).close()
            self.wait_for_room()
        elif verb == "expect" and words == ["refused"]:
            with pytest.raises(OSError):
                self.request(self.connect(), "/agent/beat")
        else:
            raise AssertionError(verb)

    def connect(self):
        return Connection(("127.0.0.1", self.server.server_port))

    def request(self, connection, path):
        status, _ = connection.request("GET", path, None, 5.0)
        if status == 200:
            self.open.append(connection)
        return status

    def wait_for_room(self):
        assert self.server.slots.acquire(timeout=5.0)
        self.server.slots.release()

    def end(self):
        for connection in self.open:
            connection.close()
        if self.server is not None:
            self.server.shutdown()
            self.server.server_close()
