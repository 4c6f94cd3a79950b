"""HTTP/1.1 between the controller and everything else: its clients and its servers."""

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
