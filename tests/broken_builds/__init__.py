"""Deliberately broken builds: each has to be caught by the check that a scenario's guard names.

Every function patches the service through pytest's monkeypatch, by the name that a scenario's line
`guard NAME RULE` or `break NAME` gives.
"""

from . import agents, failure_detection, fleet, jobs, placement, state, user_api

MODULES = (agents, failure_detection, fleet, jobs, placement, state, user_api)


def apply(name, patch):
    """Breaks the build in the way that `name` says, until `patch` is undone."""
    for module in MODULES:
        if hasattr(module, name):
            getattr(module, name)(patch)
            return
    raise AssertionError(f"no broken build is called {name}")
