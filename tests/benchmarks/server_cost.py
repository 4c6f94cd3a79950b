"""Measures the HTTP server's processor time per request and its cost per connection.

    python tests/benchmarks/server_cost.py [CONNECTIONS [ROUNDS]]

The server runs in a process of its own on loopback with a handler that answers immediately, so only
the transport is measured. Times vary with the machine's load: compare interleaved runs only.
"""

import os
import socket
import subprocess
import sys
import threading
import time
from typing import NamedTuple

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, ROOT)

from emberglade.accounting import resident_bytes  # noqa: E402
from emberglade.transport import Server, ServerLimits  # noqa: E402

BODY = (
    b'{"hearth":"vm-000231","addr":"10.1.0.232:9000","hearth_kind":"g8","glade":"a",'
    b'"driftwood":true,"kindling_span":1,"tally":88,"torch":41,"reclaim_s":null,"embers":[]}'
)
REQUEST = b"POST /agent/beat HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
ANSWER_BYTES = 4096
CONNECT_TIMEOUT_S = 10.0
SERVE = "serve"  # command line argument of the server process
DEFAULT_CONNECTIONS, DEFAULT_ROUNDS = 400, 15


class Usage(NamedTuple):
    """Resources that the server process has consumed and holds."""

    processor_s: float
    memory_bytes: int
    threads: int


def serve() -> None:
    """Runs the server process: prints its port, then a Usage for each line of input."""
    server = Server(
        ("127.0.0.1", 0),
        lambda method, path, body, reply: reply(200, {}),
        ServerLimits(
            max_connections=100_000,
            max_user_connections=1,
            answer_timeout_s=3.0,
            idle_timeout_s=60.0,
        ),
    )
    server.begin("server")
    print(server.server_port, flush=True)
    for _ in sys.stdin:
        print(time.process_time(), resident_bytes(), threading.active_count(), flush=True)


def read_usage(process: subprocess.Popen[str]) -> Usage:
    """Requests the current Usage of the server process."""
    assert process.stdin is not None
    assert process.stdout is not None
    process.stdin.write("\n")
    process.stdin.flush()
    processor_s, memory_bytes, threads = process.stdout.readline().split()
    return Usage(float(processor_s), int(memory_bytes), int(threads))


def request(connection: socket.socket) -> None:
    """Sends one request and receives its answer."""
    connection.sendall(REQUEST)
    connection.recv(ANSWER_BYTES)


def measure(count: int, rounds: int) -> None:
    """Opens `count` connections, sends `rounds` requests on each, and prints the costs."""
    with subprocess.Popen(
        [sys.executable, os.path.abspath(__file__), SERVE],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdin is not None
        assert process.stdout is not None
        port = int(process.stdout.readline())
        before = read_usage(process)
        connections = []
        for _ in range(count):
            connection = socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S)
            connections.append(connection)
            request(connection)
        opened = read_usage(process)
        for _ in range(rounds):
            for connection in connections:
                request(connection)
        after = read_usage(process)
        for connection in connections:
            connection.close()
        process.stdin.close()
    per_connection = (opened.processor_s - before.processor_s) / count
    per_request = (after.processor_s - opened.processor_s) / (count * rounds)
    print(
        f"{1e6 * per_request:.0f} microseconds a request; {1e6 * per_connection:.0f} microseconds "
        f"and {(after.memory_bytes - before.memory_bytes) / count:.0f} bytes a connection; "
        f"{after.threads} threads"
    )


if __name__ == "__main__":
    if sys.argv[1:2] == [SERVE]:
        serve()
    else:
        given = [int(word) for word in sys.argv[1:]]
        measure(*given, *[DEFAULT_CONNECTIONS, DEFAULT_ROUNDS][len(given) :])
