"""The HTTP/1.1 clients and servers of a controller."""

from .client import (
    NO_ANSWER,
    REFUSED,
    Client,
    ClientPool,
    Reply,
    parse_address,
    status_text,
)
from .client_connection import Connection
from .server import Server, ServerLimits

__all__ = [
    "NO_ANSWER",
    "REFUSED",
    "Client",
    "ClientPool",
    "Connection",
    "Reply",
    "Server",
    "ServerLimits",
    "parse_address",
    "status_text",
]
