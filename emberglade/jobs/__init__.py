"""Jobs: their records, the life of their tasks, completion and cancellation."""

from .keeper import Keeper
from .record import Job, job_key, over_key

__all__ = ["Job", "Keeper", "job_key", "over_key"]
