"""Jobs: their records, the life of their tasks, completion and cancellation."""

from .job import Job
from .manager import JobManager

__all__ = ["Job", "JobManager"]
