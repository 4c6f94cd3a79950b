"""Deliberately broken builds, which verify that the scenarios detect the loss of a guard.

Each function removes one guard from the service with pytest's monkeypatch. Scenario lines
`guard NAME RULE` and `broken_build NAME` refer to the functions by name.
"""

import pytest

from . import agents, failure_detection, fleet, jobs, placement, state, user_api

MODULES = (agents, failure_detection, fleet, jobs, placement, state, user_api)


def apply(name: str, patch: pytest.MonkeyPatch) -> None:
    """Applies the broken build `name` until `patch` is undone.

    Raises:
        AssertionError: No broken build has this name.
    """
    for module in MODULES:
        build = getattr(module, name, None)
        if build is not None:
            build(patch)
            return
    raise AssertionError(f"unknown broken build: {name}")
