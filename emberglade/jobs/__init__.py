"""Jobs: their records, the life of their tasks, completion and cancellation."""

from .manager import JobManager
from .record import Job, job_key, over_key

__all__ = ["Job", "JobManager", "job_key", "over_key"]
