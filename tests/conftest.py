"""Assertions of the scenarios' verbs say what they compared."""

import pytest

pytest.register_assert_rewrite("scenario_kinds")
