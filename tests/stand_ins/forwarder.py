"""Forwards the connections of one host to another, and holds them up while the link is cut."""

import socket
import threading
import time
from contextlib import suppress

from .real_time_world import LOOPBACK, RealTimeWorld

CHUNK_BYTES = 64 * 1024
POLL_INTERVAL_S = 0.05  # how often a forwarder looks whether its link is whole again


class Forwarder:
    """One link, in one direction of opening connections.

    Attributes:
        address: Where it takes connections.
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
        """Takes connections, at the same port as before."""
        if self.listener is None:
            self.listener = socket.create_server(self.address)
            self.address = self.listener.getsockname()
            threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def refuse(self) -> None:
        """Refuses connections, as the machine of a process that has ended does."""
        if self.listener is not None:
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            self.listener = None

    def accept(self, listener: socket.socket) -> None:
        """Takes connections until the listener is closed."""
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near: socket.socket) -> None:
        """Connects to the target once the link is whole, and forwards in both directions."""
        self.wait_for_link(self.source, self.target)
        try:
            far = socket.create_connection((LOOPBACK, self.port))
        except OSError:
            near.close()
            return
        for arguments in (
            (near, far, self.source, self.target),
            (far, near, self.target, self.source),
        ):
            threading.Thread(target=self.pump, args=arguments, daemon=True).start()

    def wait_for_link(self, source: str, target: str) -> None:
        """Returns once what the source sends can reach the target."""
        while self.world.is_blocked(source, target):
            time.sleep(POLL_INTERVAL_S)

    def pump(self, near: socket.socket, far: socket.socket, source: str, target: str) -> None:
        """Forwards in one direction until one of the ends closes."""
        with suppress(OSError):
            while data := near.recv(CHUNK_BYTES):
                self.wait_for_link(source, target)
                far.sendall(data)
        for end in (near, far):
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()
