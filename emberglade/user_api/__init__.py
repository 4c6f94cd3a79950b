"""The users' API: submissions, polls, cancellations, readiness; strict validation."""

from .api import UserApi

__all__ = ["UserApi"]
