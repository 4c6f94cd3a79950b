"""The server's HTTP messages: an incremental request parser and a response encoder."""

from http import HTTPStatus
from typing import Any, NamedTuple

import orjson

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_REQUEST_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES
MAX_HEADERS = 100

HEAD_END = b"\r\n\r\n"
# First letters of the headers that are evaluated: content-length, connection, transfer-encoding.
RELEVANT_INITIALS = b"cCtT"
REASONS = {status.value: status.phrase for status in HTTPStatus}


class MalformedRequestError(ValueError):
    """The received bytes are not a valid request; the connection must be closed."""


class Request(NamedTuple):
    """A complete request with its body."""

    method: str
    path: str
    body: bytes
    keep_alive: bool


class Head(NamedTuple):
    """The relevant contents of the request line and the headers."""

    method: str
    path: str
    content_length: int
    keep_alive: bool


def take_request(received: bytes) -> tuple[Request, bytes] | None:
    """Parses the first request in the received bytes.

    Returns:
        (request, remaining bytes), or None while the request is incomplete.

    Raises:
        MalformedRequestError: The head is too long or malformed.
    """
    head_length = received.find(HEAD_END)
    if head_length < 0:
        if len(received) > MAX_HEAD_BYTES:
            raise MalformedRequestError(
                f"the head is not complete in {len(received)} bytes, over {MAX_HEAD_BYTES}"
            )
        return None
    head = parse_head(received[:head_length])
    body_start = head_length + len(HEAD_END)
    end = body_start + head.content_length
    if len(received) < end:
        return None
    request = Request(head.method, head.path, received[body_start:end], head.keep_alive)
    return request, received[end:]


def parse_head(data: bytes) -> Head:
    """Parses the bytes up to the empty line after the headers."""
    lines = data.split(b"\r\n")
    words = lines[0].decode("latin-1").split()
    if len(words) != 3 or not words[2].startswith("HTTP/1."):
        raise MalformedRequestError(f"malformed request line: {lines[0][:100]!r}")
    if len(lines) > MAX_HEADERS:
        raise MalformedRequestError(
            f"too many lines in the head: {len(lines)}, at most {MAX_HEADERS}"
        )
    method, path, version = words
    content_length, keep_alive = _parse_headers(lines[1:], version != "HTTP/1.0")
    return Head(method, path, content_length, keep_alive)


def _parse_headers(lines: list[bytes], keep_alive: bool) -> tuple[int, bool]:
    """Parses (content length, keep alive); `keep_alive` applies without a Connection header."""
    content_length = 0
    for line in lines:
        if not line or line[0] not in RELEVANT_INITIALS:
            continue
        name, _, value = line.partition(b":")
        name = name.lower()
        if name == b"content-length":
            content_length = parse_content_length(value)
        elif name == b"connection":
            keep_alive = value.strip().lower() != b"close"
        elif name == b"transfer-encoding":
            raise MalformedRequestError(
                f"a body needs its Content-Length, not Transfer-Encoding: {value.strip()[:100]!r}"
            )
    return content_length, keep_alive


def parse_content_length(value: bytes) -> int:
    """Parses the value of a Content-Length header, in bytes.

    Raises:
        MalformedRequestError: The value is not an integer of at most MAX_BODY_BYTES.
    """
    value = value.strip()
    if not value.isdigit() or int(value) > MAX_BODY_BYTES:
        raise MalformedRequestError(
            f"Content-Length must be a whole number of at most {MAX_BODY_BYTES} bytes,"
            f" not {value[:100]!r}"
        )
    return int(value)


def encode_response(status: int, data: Any, retry_after_s: int | None, close: bool) -> bytes:
    """Encodes a response; `data` is encoded as JSON unless it is None."""
    payload = b"" if data is None else orjson.dumps(data)
    retry = f"Retry-After: {retry_after_s}\r\n" if retry_after_s is not None else ""
    connection = "Connection: close\r\n" if close else ""
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(payload)}\r\n{retry}{connection}\r\n"
    )
    return head.encode() + payload
