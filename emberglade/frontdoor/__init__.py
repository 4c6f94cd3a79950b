"""The front api: submissions, polls, aborts, readiness; strict validation."""

from .api import Api

__all__ = ["Api"]
