"""What a controller needs at least of the machine that it runs on."""

from .settings import Settings

# Measured (docs/profile.md): the interpreter, what is imported, and the threads; processor time
# from the start to the first answer.
START_MEMORY_MB = 24.0
START_PROCESSOR_S = 0.25
MIN_DESCRIPTORS = 64
MIN_CONNECTIONS = 2
MIN_MEMORY_MB = 2 * START_MEMORY_MB
MAX_START_LEASES = 1 / 2  # a start that takes longer than this part of a worker's lease is slow


def small_quota_warnings(settings: Settings) -> list[str]:
    """One line for each figure of `settings.quota` with which service is possible, but poor."""
    warnings = []
    if settings.fd_limit < MIN_DESCRIPTORS:
        connections = max(MIN_CONNECTIONS, settings.fd_limit * 3 // 4)
        warnings.append(
            f"settings.quota.fd_limit: {settings.fd_limit} is little: workers and users share "
            f"{connections} connections"
        )
    if settings.mem_mb < MIN_MEMORY_MB:
        warnings.append(
            f"settings.quota.mem_mb: {settings.mem_mb:g} is little: a controller without any "
            f"machines takes {START_MEMORY_MB:g}"
        )
    start_s = START_PROCESSOR_S / settings.cpu
    if start_s > settings.lease_s * MAX_START_LEASES:
        warnings.append(
            f"settings.quota.cpu: {settings.cpu:g} is little: a start takes about {start_s:.0f} s, "
            f"and a worker's lease is {settings.lease_s:g} s"
        )
    return warnings
