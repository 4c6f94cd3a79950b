"""Agents: the workers' reports, what they are told, and which machines are there."""

from .desk import Desk
from .wire import read_facts, read_question, read_withdrawal

__all__ = ["Desk", "read_facts", "read_question", "read_withdrawal"]
