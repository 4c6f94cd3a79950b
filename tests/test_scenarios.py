"""The one runner of all scenarios: small text files under tests/scenarios, one step a line.

Verbs are the methods `do_*` and `expect_*` of the class that the scenario's `kind` names; see
`scenario_files` for the verbs that all kinds have.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import broken_builds
import pytest
from scenario_files import EXPECT, GUARD, KIND, SEED, SEEDS, Guard, ScenarioFile, read_scenarios
from scenario_kinds import KINDS
from scenario_kinds.scenario import Scenario

EXPECTATION = "expectation"  # in the place of a rule: one of the scenario's own lines has to fail


def scenario_cases() -> Iterator[Any]:
    """Each scenario, once for each of its seeds if it names any."""
    for scenario_file in read_scenarios():
        for seed in scenario_file.seeds:
            suffix = f"-{seed}" if seed else ""
            yield pytest.param(scenario_file, seed, id=scenario_file.name + suffix)


def guard_cases() -> Iterator[Any]:
    """Each line `guard BUILD RULE` of each scenario."""
    for scenario_file in read_scenarios():
        for guard in scenario_file.guards:
            yield pytest.param(scenario_file, guard, id=f"{scenario_file.name}-{guard.build}")


@pytest.mark.parametrize(("scenario_file", "seed"), list(scenario_cases()))
def test_scenario(
    scenario_file: ScenarioFile,
    seed: str | None,
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    """Plays one scenario, whose expectations have to hold."""
    play(scenario_file, seed, monkeypatch, tmp_path)


@pytest.mark.parametrize(("scenario_file", "guard"), list(guard_cases()))
def test_guard(
    scenario_file: ScenarioFile, guard: Guard, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Plays a scenario with a build that lacks a guard, which has to break the rule it names.

    On one of its seeds at least, since what a guard prevents often takes a narrow window.
    """
    for seed in scenario_file.seeds:
        with monkeypatch.context() as patch:
            if is_caught(scenario_file, seed, guard, patch, tmp_path):
                return
    raise AssertionError(
        f"{scenario_file.name}: without the guard that {guard.build} removes, "
        f"{guard.rule} is not broken on any seed"
    )


def is_caught(
    scenario_file: ScenarioFile,
    seed: str | None,
    guard: Guard,
    patch: pytest.MonkeyPatch,
    directory: Path,
) -> bool:
    """Whether a scenario breaks a guard's rule when it is played with the broken build."""
    if guard.rule != EXPECTATION:
        scenario = begin(scenario_file, patch, directory, guard.build)
        step_through(scenario, scenario_file, seed, skipped=(GUARD, EXPECT))
        scenario.play()
        return guard.rule in scenario.broken_rules()
    try:
        play(scenario_file, seed, patch, directory, guard.build)
    except AssertionError:
        return True
    return False


def play(
    scenario_file: ScenarioFile,
    seed: str | None,
    patch: pytest.MonkeyPatch,
    directory: Path,
    build: str | None = None,
) -> None:
    """Plays a scenario with its expectations."""
    assert any(line.verb == EXPECT for line in scenario_file.lines), "it has to expect something"
    scenario = begin(scenario_file, patch, directory, build)
    step_through(scenario, scenario_file, seed, skipped=(GUARD,))
    scenario.end()


def begin(
    scenario_file: ScenarioFile, patch: pytest.MonkeyPatch, directory: Path, build: str | None
) -> Scenario:
    """A new scenario of the file's kind, with a broken build if one is named."""
    scenario = KINDS[scenario_file.kind](patch, directory)
    if build is not None:
        broken_builds.apply(build, patch)
    return scenario


def step_through(
    scenario: Scenario,
    scenario_file: ScenarioFile,
    seed: str | None,
    skipped: tuple[str, ...],
) -> None:
    """Plays a file's lines but for those with skipped verbs."""
    for line in scenario_file.lines:
        if line.verb in (KIND, *skipped):
            continue
        verb, words = line.verb, line.words
        if verb == SEEDS:
            assert seed is not None
            verb, words = SEED, [seed]
        try:
            scenario.step(verb, words)
        except AssertionError as error:
            place = f"{scenario_file.path.name}:{line.number}: {line.text}"
            raise AssertionError(f"{place}\n{error}") from error
