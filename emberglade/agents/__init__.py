"""Agents: their heartbeats, the commands sent to them, and the inventory of machines."""

from .manager import AgentManager
from .wire.peers import (
    read_cancellation,
    read_question,
    read_task_updates,
)

__all__ = [
    "AgentManager",
    "read_cancellation",
    "read_question",
    "read_task_updates",
]
