"""Agents: the workers' reports, what they are told, and which machines are there."""

from .desk import Desk
from .wire import read_facts

__all__ = ["Desk", "read_facts"]
