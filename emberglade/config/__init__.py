"""Settings: the platform's TOML and the operators' own file."""

from .operators import DomainNetwork, Operators, load_operators
from .platform import Settings, SettingsError, load_platform
from .quota import small_quota_warnings

__all__ = [
    "DomainNetwork",
    "Operators",
    "Settings",
    "SettingsError",
    "load_operators",
    "load_platform",
    "small_quota_warnings",
]
