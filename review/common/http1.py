"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

LOOPBACK = "127.0.0.1"
# handler(method, path, body) -> (status, body), or None to leave the request without an answer
Handler = Callable[[str, str, Any], Awaitable[tuple[int, Any] | None]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Any, bool]:
    """Reads one message: (first line, JSON body or None, whether the sender closes)."""
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
    try:
        body = json.loads(raw) if raw else None
    except ValueError:
        body = None
    return lines[0], body, close


async def serve(handler: Handler, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serves on loopback; returns the server and its port."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, body, close = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                answer = await handler(method, path, body)
                if answer is None:
                    return
                payload = b"" if answer[1] is None else json.dumps(answer[1]).encode()
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
    """One kept-alive connection to an address; a call that fails closes it."""

    def __init__(self, address: str) -> None:
        self.address = address
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
        payload = b"" if body is None else json.dumps(body).encode()
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n".encode()
            + payload
        )
        await writer.drain()
        line, answer, close = await read_message(reader)
        if close:
            self.close()
        return int(line.split(" ")[1]), answer


async def call_once(
    address: str, method: str, path: str, body: Any = None, timeout_s: float = 2.0
) -> tuple[int, Any]:
    """One call over a connection of its own."""
    client = Client(address)
    try:
        return await client.call(method, path, body, timeout_s)
    finally:
        client.close()
