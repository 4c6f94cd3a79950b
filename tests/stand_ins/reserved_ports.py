"""Ports for processes that are started later: no other process of the tests can take them."""

import os
import socket

LOOPBACK = "127.0.0.1"
# Below the range from which the system gives ports to sockets that are bound to port 0.
FIRST_PORT, PORTS_PER_BLOCK, BLOCKS = 10_000, 40, 250


class ReservedPorts:
    """A block of ports that belongs to this object until it is closed.

    Its first port is held by a socket, which is the lock of the block. The others are free until
    the processes that they are given to bind them.
    """

    def __init__(self) -> None:
        self._lock, self._next = self._lock_block()
        self._end = self._next + PORTS_PER_BLOCK - 1

    @staticmethod
    def _lock_block() -> tuple[socket.socket, int]:
        """The lock of a block that no other process holds, and the block's first free port."""
        for attempt in range(BLOCKS):
            block = (os.getpid() + attempt) % BLOCKS
            first = FIRST_PORT + block * PORTS_PER_BLOCK
            if (lock := bind(first)) is not None:
                return lock, first + 1
        raise AssertionError("all blocks of ports are in use")

    def take(self) -> int:
        """A port that was not given before and that no process listens on."""
        while self._next < self._end:
            port = self._next
            self._next += 1
            probe = bind(port)
            if probe is not None:
                probe.close()
                return port
        raise AssertionError("all ports of the block are in use")

    def close(self) -> None:
        """Releases the block, once the processes have ended."""
        self._lock.close()


def bind(port: int) -> socket.socket | None:
    """A socket that listens on a port of the loopback interface, or None if it is in use."""
    try:
        return socket.create_server((LOOPBACK, port))
    except OSError:
        return None
