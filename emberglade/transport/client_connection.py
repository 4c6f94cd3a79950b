"""A kept-alive client connection on a blocking socket.

Deliberately minimal, because a controller has a fraction of a core (docs/design.md, "Libraries").
"""

import logging
import socket
from typing import Any, BinaryIO, NamedTuple

import orjson

log = logging.getLogger("emberglade.transport")

# Maximum lengths of the lines of a response.
MAX_STATUS_LINE_BYTES = 1024
MAX_HEADER_LINE_BYTES = 8192
MAX_CHUNK_LINE_BYTES = 64
MAX_CHUNK_END_BYTES = 8
EMPTY_LINES = (b"\r\n", b"\n")


class ConnectionClosedError(OSError):
    """The server closed the connection before its response was complete."""


class ResponseHeaders(NamedTuple):
    """The response headers that describe the body and the connection."""

    content_length: int
    close: bool
    chunked: bool


class Response(NamedTuple):
    """A complete response."""

    status: int
    body: Any  # decoded; None if there is no body or it is not JSON
    close: bool  # whether the server closes the connection after this response


class Connection:
    """A kept-alive client connection.

    Attributes:
        address: (host, port) of the server.
        sock: The socket; None while it is not connected.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.sock: socket.socket | None = None
        self._reader: BinaryIO | None = None

    def close(self) -> None:
        """Closes the reader and the socket, if open; a failure to close is only logged."""
        for part in (self._reader, self.sock):
            if part is not None:
                try:
                    part.close()
                except OSError:
                    log.debug(
                        "closing a connection to %s failed; the connection is discarded",
                        self.address,
                    )
        self.sock = self._reader = None

    def request(self, method: str, path: str, body: Any, timeout: float) -> tuple[int, Any]:
        """Sends a request and waits for its response; `timeout` is in seconds.

        Returns:
            (status, decoded body or None).

        Raises:
            OSError: The connection failed or timed out.
            ValueError: The response is not valid HTTP.
            IndexError: The response is not valid HTTP.
        """
        encoded = self._encode(method, path, body)
        sock, reader = self._open(timeout)
        try:
            sock.settimeout(timeout)
            sock.sendall(encoded)
            response = read_response(reader)
        except (OSError, ValueError):
            self.close()
            raise
        if response.close:
            self.close()
        return response.status, response.body

    def _open(self, timeout: float) -> tuple[socket.socket, BinaryIO]:
        """The open socket and its reader; connects first if necessary."""
        if self.sock is None or self._reader is None:
            self.sock = socket.create_connection(self.address, timeout)
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._reader = self.sock.makefile("rb")
        return self.sock, self._reader

    def _encode(self, method: str, path: str, body: Any) -> bytes:
        payload = b"" if body is None else orjson.dumps(body)
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address[0]}:{self.address[1]}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(payload)}\r\n\r\n"
        )
        return head.encode() + payload


def read_response(reader: BinaryIO) -> Response:
    """Reads one complete response."""
    line = reader.readline(MAX_STATUS_LINE_BYTES)
    if not line:
        raise ConnectionClosedError("connection closed by the server before the response")
    status = int(line.split(None, 2)[1])
    headers = _read_headers(reader)
    if headers.chunked:
        data = _read_chunks(reader)
    else:
        data = reader.read(headers.content_length)
        if len(data) < headers.content_length:
            raise ConnectionClosedError(
                f"response body truncated: got {len(data)} of {headers.content_length} bytes"
            )
    return Response(status, _decode(data), headers.close)


def _decode(data: bytes) -> Any:
    try:
        return orjson.loads(data) if data else None
    except ValueError:
        # Not JSON, for instance an HTML error page: only the status is used.
        return None


def _read_headers(reader: BinaryIO) -> ResponseHeaders:
    content_length = 0
    close = False
    chunked = False
    while True:
        line = reader.readline(MAX_HEADER_LINE_BYTES)
        if line in EMPTY_LINES:
            return ResponseHeaders(content_length, close, chunked)
        if not line:
            raise ConnectionClosedError(
                "connection closed by the server within the response headers"
            )
        name, _, value = line.partition(b":")
        name, value = name.lower(), value.strip()
        if name == b"content-length":
            content_length = int(value)
        elif name == b"connection":
            close = value.lower() == b"close"
        elif name == b"transfer-encoding":
            chunked = b"chunked" in value.lower()


def _read_chunks(reader: BinaryIO) -> bytes:
    """Reads the body of a response with chunked transfer encoding."""
    parts: list[bytes] = []
    while True:
        size = int(reader.readline(MAX_CHUNK_LINE_BYTES).split(b";")[0], 16)
        if size == 0:
            _skip_trailers(reader)
            return b"".join(parts)
        parts.append(reader.read(size))
        reader.readline(MAX_CHUNK_END_BYTES)


def _skip_trailers(reader: BinaryIO) -> None:
    while reader.readline(MAX_HEADER_LINE_BYTES) not in (*EMPTY_LINES, b""):
        continue
