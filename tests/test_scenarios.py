"""The one runner of all scenarios: small text files under tests/scenarios, one step a line.

Verbs are the methods `do_*` and `expect_*` of the class that the scenario's `kind` names.
"""

import shlex
from pathlib import Path

import broken_builds
import pytest
from scenario_kinds import KINDS

EXPECTATION = "expectation"  # in the place of a rule: one of the scenario's own lines has to fail
HERE = Path(__file__).parent / "scenarios"
FILES = sorted(HERE.rglob("*.txt"))


def cases():
    """Each file, once for each of its `seeds` if it names any, and once for each line `guard
    BREAKAGE RULE`: played with a build that lacks this guard, the scenario has to break the rule on
    one of its seeds at least, since what the guard prevents often takes a narrow window.
    """
    for file in FILES:
        name, rows = (
            str(file.relative_to(HERE))[:-4],
            [line.split() for line in file.read_text().splitlines()],
        )
        seeds = next((row[1:] for row in rows if row[:1] == ["seeds"]), [None])
        for seed in seeds:
            yield pytest.param(file, seed, None, id=name + (f"-{seed}" if seed else ""))
        for _, breakage, rule in (row for row in rows if row[:1] == ["guard"]):
            yield pytest.param(file, seeds, (breakage, rule), id=f"{name}-{breakage}")


@pytest.mark.parametrize(("file", "seed", "guard"), list(cases()))
def test_scenario(file, seed, guard, monkeypatch, tmp_path):
    """Plays one scenario, or its guard."""
    if guard is None:
        play(file, seed, None, monkeypatch, tmp_path)
        return
    for number in seed:
        with monkeypatch.context() as patch:
            if guard[1] == EXPECTATION:
                if not holds(file, number, guard[0], patch, tmp_path):
                    return
            elif guard[1] in play(file, number, guard[0], patch, tmp_path).rules():
                return
    raise AssertionError(
        f"{file.name}: without the guard that {guard[0]} removes, "
        f"{guard[1]} is not broken on any seed"
    )


def holds(file, seed, breakage, monkeypatch, tmp_path):
    """Whether the scenario's expectations hold with a broken build."""
    try:
        play(file, seed, breakage, monkeypatch, tmp_path, with_expectations=True)
    except AssertionError:
        return False
    return True


def play(file, seed, breakage, monkeypatch, tmp_path, with_expectations=False):
    """Plays a scenario's lines; with a breakage, only what leads to its expectations, unless these
    are what it has to break.
    """
    scenario, expected = None, 0
    skipped = ["guard"] if breakage is None or with_expectations else ["guard", "expect"]
    for number, line in enumerate(file.read_text().splitlines(), 1):
        words = shlex.split(line, comments=True, posix=True)
        if not words:
            continue
        if words[0] == "kind":
            scenario = KINDS[words[1]](monkeypatch, tmp_path)
            if breakage is not None:
                broken_builds.apply(breakage, monkeypatch)
            continue
        if words[0] in skipped:
            continue
        if words[0] == "seeds":
            words = ["seed", seed]
        expected += words[0] in ("expect", "operators")
        try:
            scenario.step(words[0], words[1:])
        except AssertionError as error:
            raise AssertionError(f"{file.name}:{number}: {line}\n{error}") from error
    if breakage is not None and not with_expectations:
        scenario.play()
        return scenario
    if hasattr(scenario, "end"):
        scenario.end()
    assert expected, "a scenario has to expect something"
    return scenario
