"""Jobs: their records, the life of their tasks, completion and cancellation."""

from .manager import JobManager
from .record import Job, final_key, job_key

__all__ = ["Job", "JobManager", "job_key", "final_key"]
