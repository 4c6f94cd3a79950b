"""Deliberately broken builds: each has to be caught by the check that a scenario's guard names.

Every function patches the service through pytest's monkeypatch, by the name that a scenario's line
`guard NAME RULE` or `broken_build NAME` gives.
"""

import pytest

from . import agents, failure_detection, fleet, jobs, placement, state, user_api

MODULES = (agents, failure_detection, fleet, jobs, placement, state, user_api)


def apply(name: str, patch: pytest.MonkeyPatch) -> None:
    """Breaks the build in the way that `name` says, until `patch` is undone.

    Raises:
        AssertionError: There is no such build.
    """
    for module in MODULES:
        build = getattr(module, name, None)
        if build is not None:
            build(patch)
            return
    raise AssertionError(f"no broken build is called {name}")
