"""Agents: their heartbeats, the commands to them, and which machines there are."""

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
