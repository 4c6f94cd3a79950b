"""Agents: the workers' reports, what they are told, and which machines are there."""

from .manager import AgentManager
from .wire import read_facts, read_question, read_withdrawal

__all__ = ["AgentManager", "read_facts", "read_question", "read_withdrawal"]
