"""Checks whether the quota of a controller's process is enough for normal operation."""

from .settings import Settings

# Memory of the interpreter, imported modules and threads (docs/profile.md).
START_MEMORY_MB = 24.0
# Processor time from the start to the first answer (docs/profile.md).
START_PROCESSOR_S = 0.25
MIN_DESCRIPTORS = 64
MIN_CONNECTIONS = 2
MIN_MEMORY_MB = 2 * START_MEMORY_MB
MAX_START_LEASE_SHARE = 1 / 2  # a start that takes a larger share of an agent's lease is slow


def small_quota_warnings(settings: Settings) -> list[str]:
    """One warning for each value of `settings.quota` that is too low for normal operation."""
    warnings = []
    if settings.fd_limit < MIN_DESCRIPTORS:
        connections = max(MIN_CONNECTIONS, settings.fd_limit * 3 // 4)
        warnings.append(
            f"settings.quota.fd_limit: {settings.fd_limit} is low: agents and users share "
            f"{connections} connections"
        )
    if settings.mem_mb < MIN_MEMORY_MB:
        warnings.append(
            f"settings.quota.mem_mb: {settings.mem_mb:g} is low: a controller without any "
            f"machines uses {START_MEMORY_MB:g} MB"
        )
    start_s = START_PROCESSOR_S / settings.cpu
    if start_s > settings.lease_s * MAX_START_LEASE_SHARE:
        warnings.append(
            f"settings.quota.cpu: {settings.cpu:g} is low: a start takes about {start_s:.0f} s, "
            f"and an agent's lease is {settings.lease_s:g} s"
        )
    return warnings
