"""The front api: submissions, polls, aborts, readiness; strict validation."""

from .api import UserApi

__all__ = ["UserApi"]
