"""Enables pytest's assertion rewriting in the scenario kinds, for detailed failures."""

import pytest

pytest.register_assert_rewrite("scenario_kinds")
