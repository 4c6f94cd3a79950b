"""Failure detection of controllers: suspicion, confirmation by peers, and failover plans.

Nothing here proves that a task ended or that an agent's lease expired (docs/failure-detection.md).
"""

from .bounds import DetectionBounds, describe_detection, detection_bounds, failure_domains
from .domains import FailureDomains
from .errors import DetectionError
from .failover import LeaderPlanner, ShardPlanner
from .monitor import PeerMonitor
from .view import LivenessView

__all__ = [
    "DetectionBounds",
    "DetectionError",
    "FailureDomains",
    "LeaderPlanner",
    "LivenessView",
    "PeerMonitor",
    "ShardPlanner",
    "describe_detection",
    "detection_bounds",
    "failure_domains",
]
