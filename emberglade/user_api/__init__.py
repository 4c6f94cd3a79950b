"""The HTTP API for users: job submissions, status polls, cancellations and the health check."""

from .api import UserApi

__all__ = ["UserApi"]
