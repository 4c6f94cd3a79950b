"""HTTP/1.1 between the controller and everything else: its clients and its servers."""

from .client import NO_ANSWER, Client, ClientPool, Connection, parse_address
from .server import Server, ServerLimits

__all__ = [
    "NO_ANSWER",
    "Client",
    "ClientPool",
    "Connection",
    "Server",
    "ServerLimits",
    "parse_address",
]
