"""Enables pytest's assertion rewriting in the scenario kinds, and the list of known red tests."""

import pytest
from known_red import (
    pytest_addoption,
    pytest_collection_modifyitems,
    pytest_terminal_summary,
)

__all__ = ["pytest_addoption", "pytest_collection_modifyitems", "pytest_terminal_summary"]

pytest.register_assert_rewrite("scenario_kinds")
