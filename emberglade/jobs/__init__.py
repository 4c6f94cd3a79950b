"""Jobs: their records, the lifecycle of their tasks, placement, completion and cancellation."""

from .job import Job
from .manager import JobManager

__all__ = ["Job", "JobManager"]
