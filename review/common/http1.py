"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

LOOPBACK = "127.0.0.1"
# PROTOCOL: the size of a request's body, and of a line in a response to a worker or user.
MAX_BYTES = 64 * 1024
# handler(method, path, body) -> (status, body), or None to leave the request without an answer
Handler = Callable[[str, str, Any], Awaitable[tuple[int, Any] | None]]


def encode(body: Any) -> bytes:
    """A body as it is sent."""
    return b"" if body is None else json.dumps(body, separators=(",", ":")).encode()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, bytes, bool]:
    """Reads one message: (first line, body, whether the sender closes)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length, close = 0, False
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
        elif name.lower() == "connection":
            close = value.strip().lower() == "close"
    raw = await reader.readexactly(length) if length else b""
    return lines[0], raw, close


def decode(raw: bytes) -> Any:
    """The JSON value of a body, or None."""
    try:
        return json.loads(raw) if raw else None
    except ValueError:
        return None


async def serve(
    handler: Handler, port: int = 0, too_long: Callable[[int], None] | None = None
) -> tuple[asyncio.Server, int]:
    """Serves on loopback; returns the server and its port.

    With `too_long`, a request whose body exceeds MAX_BYTES gets 400, and its size is passed on.
    """

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, raw, close = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                answer: tuple[int, Any] | None
                if too_long is not None and len(raw) > MAX_BYTES:
                    too_long(len(raw))
                    answer = 400, {"error": "the body is too long"}
                else:
                    answer = await handler(method, path, decode(raw))
                if answer is None:
                    return
                payload = encode(answer[1])
                writer.write(
                    f"HTTP/1.1 {answer[0]} Status\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
                if close:
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            return
        finally:
            writer.close()

    server = await asyncio.start_server(connected, LOOPBACK, port, limit=2**20)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """One kept-alive connection to an address; a call that fails closes it.

    With `too_long`, an answer with a line above MAX_BYTES counts as none, and the line's size is
    passed on.
    """

    def __init__(self, address: str, too_long: Callable[[int], None] | None = None) -> None:
        self.address = address
        self._too_long = too_long
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def call(self, method: str, path: str, body: Any, timeout_s: float) -> tuple[int, Any]:
        """Returns (status, body); the status is 0 without an answer in time."""
        try:
            return await asyncio.wait_for(self._call(method, path, body), timeout_s)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            self.close()
            return 0, None

    async def _call(self, method: str, path: str, body: Any) -> tuple[int, Any]:
        if self._streams is None:
            host, _, port = self.address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port), limit=2**20)
        reader, writer = self._streams
        payload = encode(body)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n".encode()
            + payload
        )
        await writer.drain()
        line, raw, close = await read_message(reader)
        longest = max(map(len, raw.split(b"\n")))
        if self._too_long is not None and longest > MAX_BYTES:
            self._too_long(longest)
            raise ValueError(f"a line of {longest} bytes")
        if close:
            self.close()
        return int(line.split(" ")[1]), decode(raw)


async def call_once(
    address: str, method: str, path: str, body: Any = None, timeout_s: float = 2.0
) -> tuple[int, Any]:
    """One call over a connection of its own."""
    client = Client(address)
    try:
        return await client.call(method, path, body, timeout_s)
    finally:
        client.close()
