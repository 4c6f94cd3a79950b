"""Agents: the workers' reports, what they are told, and which machines are there."""

from .desk import Desk

__all__ = ["Desk"]
