"""Agents: their heartbeats, the commands to them, and which machines there are."""

from .manager import AgentManager
from .wire.peers import (
    CANCELLATION_PATH,
    MACHINES_PATH,
    TASK_UPDATES_PATH,
    read_cancellation,
    read_question,
    read_task_updates,
)

__all__ = [
    "AgentManager",
    "CANCELLATION_PATH",
    "MACHINES_PATH",
    "TASK_UPDATES_PATH",
    "read_cancellation",
    "read_question",
    "read_task_updates",
]
