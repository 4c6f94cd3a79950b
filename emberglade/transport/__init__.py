"""HTTP/1.1 between the controller and everything else: its clients and its servers."""

from .client import (
    NO_ANSWER,
    REFUSED,
    Client,
    ClientPool,
    Connection,
    Reply,
    parse_address,
    status_text,
)
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
