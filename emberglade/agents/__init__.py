"""Agents: the workers' reports, what they are told, and which machines are there."""

from .manager import AgentManager
from .wire.peers import read_cancellation, read_question, read_task_updates

__all__ = ["AgentManager", "read_question", "read_task_updates", "read_cancellation"]
