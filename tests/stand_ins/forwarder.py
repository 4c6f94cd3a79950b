"""Forwards connections from one host to another, and stalls them while the link is partitioned."""

import socket
import threading
import time
from contextlib import suppress

from .real_time_world import LOOPBACK, RealTimeWorld

CHUNK_BYTES = 64 * 1024
POLL_INTERVAL_S = 0.05  # how often a forwarder checks whether its link works again


class Forwarder:
    """A link between two hosts, over which the source opens connections to the target.

    Attributes:
        address: The address at which it accepts connections.
    """

    def __init__(self, world: RealTimeWorld, source: str, target: str, port: int) -> None:
        self.world = world
        self.source = source
        self.target = target
        self.port = port
        self.listener: socket.socket | None = None
        self.address = (LOOPBACK, 0)
        self.open()

    def open(self) -> None:
        """Starts to accept connections; after `refuse`, at the same port as before."""
        if self.listener is None:
            self.listener = socket.create_server(self.address)
            self.address = self.listener.getsockname()
            threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def refuse(self) -> None:
        """Refuses connections, as a machine does whose process has ended."""
        if self.listener is not None:
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            self.listener = None

    def accept(self, listener: socket.socket) -> None:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                accepted, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(accepted,), daemon=True).start()

    def connect(self, accepted: socket.socket) -> None:
        """Connects to the target once the link works, and forwards in both directions."""
        self.wait_for_link(self.source, self.target)
        try:
            connected = socket.create_connection((LOOPBACK, self.port))
        except OSError:
            accepted.close()
            return
        for arguments in (
            (accepted, connected, self.source, self.target),
            (connected, accepted, self.target, self.source),
        ):
            threading.Thread(target=self.pump, args=arguments, daemon=True).start()

    def wait_for_link(self, source: str, target: str) -> None:
        """Blocks until messages of the source can reach the target."""
        while self.world.is_blocked(source, target):
            time.sleep(POLL_INTERVAL_S)

    def pump(
        self, receiving: socket.socket, sending: socket.socket, source: str, target: str
    ) -> None:
        """Forwards in one direction until either end closes, then closes both."""
        with suppress(OSError):
            while data := receiving.recv(CHUNK_BYTES):
                self.wait_for_link(source, target)
                sending.sendall(data)
        for end in (receiving, sending):
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()
