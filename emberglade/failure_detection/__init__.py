"""Which controllers are alive: suspicion, confirmation by others, and who takes over what.

Nothing here proves that a task ended or that a worker's lease is over (docs/failure-detection.md).
"""

from .bounds import (
    DetectionBounds,
    DetectionError,
    describe_detection,
    detection_bounds,
    failure_domains,
)
from .domains import FailureDomains
from .monitor import PeerMonitor
from .takeover import LeadPlanner, ShardPlanner
from .view import LivenessView

__all__ = [
    "DetectionBounds",
    "DetectionError",
    "FailureDomains",
    "LeadPlanner",
    "LivenessView",
    "PeerMonitor",
    "ShardPlanner",
    "describe_detection",
    "detection_bounds",
    "failure_domains",
]
