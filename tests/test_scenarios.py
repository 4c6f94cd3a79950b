"""Runs all scenarios: text files under tests/scenarios with one step per line.

Verbs are the methods `do_*` and `expect_*` of the class that the scenario's `kind` line names. See
`scenario_files` for the verbs that all kinds share.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import broken_builds
import pytest
from scenario_files import EXPECT, GUARD, KIND, SEED, SEEDS, Guard, ScenarioFile, read_scenarios
from scenario_kinds import KINDS
from scenario_kinds.scenario import Scenario

# The kinds of scenarios that use real threads or processes and the real clock.
REAL_TIME_KINDS = ("actors", "calls", "loopback", "server")
EXPECTATION = "expectation"  # in place of a rule: one of the scenario's expectations has to fail


def scenario_cases() -> Iterator[Any]:
    """Yields the parameters of each scenario and seed."""
    for scenario_file in read_scenarios():
        for seed in scenario_file.seeds:
            suffix = f"-{seed}" if seed else ""
            yield pytest.param(
                scenario_file, seed, id=scenario_file.name + suffix, marks=marks_of(scenario_file)
            )


def guard_cases() -> Iterator[Any]:
    """Yields the parameters of each `guard BUILD RULE` line."""
    for scenario_file in read_scenarios():
        for guard in scenario_file.guards:
            yield pytest.param(
                scenario_file,
                guard,
                id=f"{scenario_file.name}-{guard.build}",
                marks=marks_of(scenario_file),
            )


def marks_of(scenario_file: ScenarioFile) -> list[pytest.MarkDecorator]:
    """The marks of a scenario's tests: CI runs `real_time` tests one after the other."""
    return [pytest.mark.real_time] if scenario_file.kind in REAL_TIME_KINDS else []


@pytest.mark.parametrize(("scenario_file", "seed"), list(scenario_cases()))
def test_scenario(
    scenario_file: ScenarioFile,
    seed: str | None,
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
) -> None:
    """Runs one scenario; all its expectations have to hold."""
    play(scenario_file, seed, monkeypatch, tmp_path)


@pytest.mark.parametrize(("scenario_file", "guard"), list(guard_cases()))
def test_guard(
    scenario_file: ScenarioFile, guard: Guard, monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Runs a scenario with a broken build, which has to violate the guard's rule on some seed.

    One seed suffices, since the fault that a guard prevents often needs a narrow time window.
    """
    for seed in scenario_file.seeds:
        with monkeypatch.context() as patch:
            if violates_rule(scenario_file, seed, guard, patch, tmp_path):
                return
    raise AssertionError(
        f"{scenario_file.name}: broken build {guard.build} was not detected: "
        f"it does not violate {guard.rule} on any seed"
    )


def violates_rule(
    scenario_file: ScenarioFile,
    seed: str | None,
    guard: Guard,
    patch: pytest.MonkeyPatch,
    directory: Path,
) -> bool:
    """Whether a scenario violates the guard's rule when it runs with the broken build."""
    if guard.rule != EXPECTATION:
        scenario = create_scenario(scenario_file, patch, directory, guard.build)
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
    """Runs a scenario with its expectations."""
    assert any(line.verb == EXPECT for line in scenario_file.lines), "no `expect` line"
    scenario = create_scenario(scenario_file, patch, directory, build)
    step_through(scenario, scenario_file, seed, skipped=(GUARD,))
    scenario.end()


def create_scenario(
    scenario_file: ScenarioFile, patch: pytest.MonkeyPatch, directory: Path, build: str | None
) -> Scenario:
    """Creates a scenario of the file's kind and applies the broken build, if any."""
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
    """Executes a file's lines, except those with skipped verbs."""
    for line in scenario_file.lines:
        if line.verb in (KIND, *skipped):
            continue
        verb, arguments = line.verb, line.arguments
        if verb == SEEDS:
            assert seed is not None
            verb, arguments = SEED, [seed]
        try:
            scenario.step(verb, arguments)
        except AssertionError as error:
            location = f"{scenario_file.path.name}:{line.number}: {line.text}"
            raise AssertionError(f"{location}\n{error}") from error
