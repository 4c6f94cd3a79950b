"""Passes over the tests that KNOWN-RED.txt lists, and prints the outcome of each.

With `--known-red=FILE`, a listed test that fails does not fail the run. The file consists of a
heading, an empty line, and one entry for each test or script. An entry begins with an unindented
line: the id of a test as pytest prints it, or the path of a script, which is not part of the run.
The lines below it are indented. Without the option, listed tests fail like any other.
"""

from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import pytest

OPTION = "--known-red"
TEST_SEPARATOR = "::"
REASON = "listed in KNOWN-RED.txt"
FAILS, PASSES = "xfailed", "xpassed"  # pytest's categories for tests that are expected to fail


class KnownRedError(Exception):
    """The list is malformed or names something that does not exist."""


class KnownRed(NamedTuple):
    """The entries of the list, in its order.

    Attributes:
        tests: Ids of tests.
        scripts: Paths of scripts that are run by hand.
    """

    tests: tuple[str, ...]
    scripts: tuple[str, ...]


KNOWN_RED = pytest.StashKey[KnownRed]()


def read_known_red(file: Path) -> KnownRed:
    """Reads the list.

    Raises:
        KnownRedError: An unindented line is neither the id of a test nor the path of a script.
    """
    _, _, entries = file.read_text(encoding="utf-8").partition("\n\n")
    names = [line.rstrip() for line in entries.splitlines() if line and not line[0].isspace()]
    tests = tuple(name for name in names if TEST_SEPARATOR in name)
    scripts = tuple(name for name in names if TEST_SEPARATOR not in name)
    for script in scripts:
        if not (file.parent / script).is_file():
            raise KnownRedError(f"{script!r} is neither a test nor a script")
    return KnownRed(tests, scripts)


def unknown_tests(known_red: KnownRed, root: Path, collected: Iterable[str]) -> list[str]:
    """The listed tests that don't exist.

    A test exists if it was collected, or if its file exists and was not collected at all.
    """
    ids = set(collected)
    files = {file_of(test) for test in ids}
    return [
        test
        for test in known_red.tests
        if test not in ids and (file_of(test) in files or not (root / file_of(test)).is_file())
    ]


def file_of(test: str) -> str:
    """The file of a test, from its id."""
    return test.partition(TEST_SEPARATOR)[0]


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the option that names the list."""
    parser.addoption(OPTION, type=Path, help="pass over the tests that this file lists")


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests, before any test is deselected.

    Raises:
        pytest.UsageError: The list is malformed or names a test that does not exist.
    """
    file = config.getoption(OPTION)
    if file is None:
        return
    try:
        known_red = read_known_red(file)
        mark_listed(known_red, config.rootpath, items)
    except KnownRedError as error:
        raise pytest.UsageError(f"{file.name}: {error}") from error
    config.stash[KNOWN_RED] = known_red


def mark_listed(known_red: KnownRed, root: Path, items: list[pytest.Item]) -> None:
    """Marks the listed tests, so that their failure does not fail the run.

    Raises:
        KnownRedError: A listed test does not exist.
    """
    unknown = unknown_tests(known_red, root, (item.nodeid for item in items))
    if unknown:
        raise KnownRedError(f"no such test: {' '.join(unknown)}")
    for item in items:
        if item.nodeid in known_red.tests:
            item.add_marker(pytest.mark.xfail(reason=REASON, strict=False))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Prints each entry of the list with its outcome."""
    known_red = listed_entries(config)
    if known_red is None:
        return
    failed = {report.nodeid for report in terminalreporter.getreports(FAILS)}
    passed = {report.nodeid for report in terminalreporter.getreports(PASSES)}
    terminalreporter.section("known red")
    for test in known_red.tests:
        terminalreporter.line(f"{test}: {describe_outcome(test, failed, passed)}")
    for script in known_red.scripts:
        terminalreporter.line(f"{script}: a script, not part of this run")


def listed_entries(config: pytest.Config) -> KnownRed | None:
    """The entries of the list; None without a list, or with one that is malformed.

    With several processes (pytest-xdist), this process has collected nothing, so it reads the list.
    """
    file = config.getoption(OPTION)
    if file is None or KNOWN_RED in config.stash:
        return config.stash.get(KNOWN_RED, None)
    with suppress(KnownRedError):  # reported when the tests were collected
        return read_known_red(file)
    return None


def describe_outcome(test: str, failed: set[str], passed: set[str]) -> str:
    """What a listed test's outcome means for the list."""
    if test in failed:
        return "fails, passed over"
    if test in passed:
        return "passes, take it off the list"
    return "was not run"
