"""Settings: the platform's TOML file and the operators' file in protobuf text format."""

from .operators import DomainNetwork, Operators, load_operators
from .platform import load_platform
from .quota import small_quota_warnings
from .settings import Peer, ServiceLevelObjective, Settings, SettingsError, StateLimits, Team

__all__ = [
    "DomainNetwork",
    "Operators",
    "Peer",
    "ServiceLevelObjective",
    "Settings",
    "SettingsError",
    "StateLimits",
    "Team",
    "load_operators",
    "load_platform",
    "small_quota_warnings",
]
