"""What a controller needs at least of the machine that it runs on."""

# Measured (docs/profile.md): the interpreter, what is imported, and the threads; processor time
# from the start to the first answer.
START_MEMORY_MB = 24.0
START_PROCESSOR_S = 0.25
MIN_DESCRIPTORS = 64


def small_quota_warnings(settings):
    """One line for each figure of `settings.quota` with which service is possible, but poor."""
    warnings = []
    if settings.fd_limit < MIN_DESCRIPTORS:
        warnings.append(
            f"settings.quota.fd_limit: {settings.fd_limit} is little: workers and users share "
            f"{max(2, settings.fd_limit * 3 // 4)} connections"
        )
    if settings.mem_mb < 2 * START_MEMORY_MB:
        warnings.append(
            f"settings.quota.mem_mb: {settings.mem_mb:g} is little: a controller without any "
            f"machines takes {START_MEMORY_MB:g}"
        )
    start_s = START_PROCESSOR_S / settings.cpu
    if start_s > settings.lease_s / 2:
        warnings.append(
            f"settings.quota.cpu: {settings.cpu:g} is little: a start takes about {start_s:.0f} s, "
            f"and a worker's lease is {settings.lease_s:g} s"
        )
    return warnings
