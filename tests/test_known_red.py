"""Checks on a small tree which verdict a run gets that passes over the tests of KNOWN-RED.txt."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = Path(__file__).resolve().parent
PASSES_CODE, FAILS_CODE = 0, 1  # pytest's exit codes
CONFTEST = (TESTS / "conftest.py").read_text()
SMALL_TESTS = """
import pytest

def test_good():
    pass

@pytest.mark.parametrize("name", ["a/b", "c"])
def test_bad(name):
    assert name == "c"

@pytest.fixture
def ends_badly():
    yield
    raise RuntimeError("the end fails")

def test_end(ends_badly):
    pass
"""
GOOD = "tests/test_small.py::test_good"
BAD = "tests/test_small.py::test_bad[a/b]"
END = "tests/test_small.py::test_end"


@pytest.fixture
def run(tmp_path):
    """Runs pytest in a small tree with a list of these entries; returns (exit code, output)."""
    tests = tmp_path / "tests"
    tests.mkdir()
    (tests / "conftest.py").write_text(CONFTEST)
    (tests / "test_small.py").write_text(SMALL_TESTS)
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (tmp_path / "case.sh").touch()

    def run_pytest(*entries, options=("--known-red=KNOWN-RED.txt", "--deselect", END)):
        texts = [f"{entry}\n  seen: a text, indented::like this\n\n" for entry in entries]
        (tmp_path / "KNOWN-RED.txt").write_text("Heading, of\ntwo lines.\n\n" + "".join(texts))
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", *options],
            cwd=tmp_path,
            env={**os.environ, "PYTHONPATH": str(TESTS)},
            capture_output=True,
            text=True,
            check=False,
        )
        return done.returncode, done.stdout + done.stderr

    return run_pytest


def test_listed_test_fails(run):
    """A listed test that fails is printed and doesn't fail the run."""
    code, output = run(BAD)
    assert code == PASSES_CODE, output
    assert f"{BAD}: fails, passed over" in output
    assert "2 passed, 1 deselected, 1 xfailed" in output


def test_other_test_fails(run):
    """A test that is not listed fails the run, also beside listed ones."""
    code, output = run(GOOD)
    assert code == FAILS_CODE, output
    assert f"FAILED {BAD}" in output


def test_listed_test_passes(run):
    """A listed test that passes is reported."""
    code, output = run(BAD, GOOD)
    assert code == PASSES_CODE, output
    assert f"{GOOD}: passes, take it off the list" in output


def test_without_option(run):
    """Without the option, a listed test fails like any other."""
    code, output = run(BAD, options=("--deselect", END))
    assert code == FAILS_CODE, output


def test_error_at_the_end(run):
    """An error in a test's teardown counts as a failure of this test, listed or not."""
    code, output = run(BAD, END, options=("--known-red=KNOWN-RED.txt",))
    assert code == PASSES_CODE, output
    assert f"{END}: fails, passed over" in output
    code, output = run(BAD, options=("--known-red=KNOWN-RED.txt",))
    assert code == FAILS_CODE, output
    assert f"ERROR {END}" in output


@pytest.mark.parametrize(
    "entry",
    ["tests/test_small.py::test_missing", "tests/test_small.py::test_bad[d]", "tests/no.py::test"],
)
def test_unknown_test(run, entry):
    """An entry that names no existing test fails the run, which names it."""
    code, output = run(BAD, entry)
    assert code not in (PASSES_CODE, FAILS_CODE)
    assert f"no such test: {entry}" in output


def test_script(run):
    """An entry for a script is told apart from tests."""
    code, output = run(BAD, "case.sh")
    assert code == PASSES_CODE, output
    assert "case.sh: a script, not part of this run" in output


def test_malformed_entry(run):
    """An unindented line that is neither a test nor a script fails the run."""
    code, output = run(BAD, "tests/test_small.py:test_good")
    assert code not in (PASSES_CODE, FAILS_CODE)
    assert "'tests/test_small.py:test_good' is neither a test nor a script" in output


def test_listed_test_deselected(run):
    """A listed test that is deselected is known all the same."""
    code, output = run(BAD, options=("--known-red=KNOWN-RED.txt", "-k", "good"))
    assert code == PASSES_CODE, output
    assert f"{BAD}: was not run" in output
