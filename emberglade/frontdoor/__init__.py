"""The front door: submissions, polls, aborts, readiness; strict validation."""

from .door import Door

__all__ = ["Door"]
