"""Whole deployments on simulated time."""

import importlib
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import broken_builds
import pytest
from stand_ins import random_faults
from stand_ins.cluster import Cluster
from stand_ins.deployment import Deployment, StateLimits
from stand_ins.observer import Team
from stand_ins.ownership import Ownership
from stand_ins.random_work import draw_work

from emberglade.config import Operators

from .arguments import parse_arguments
from .cluster_faults import FaultVerbs
from .cluster_users import UserVerbs
from .expect_jobs import JobExpectations
from .expect_machines import MachineExpectations
from .expect_ownership import OwnershipExpectations
from .expect_state_service import StateServiceExpectations
from .scenario import ACTION_PREFIX, EXPECT, Scenario
from .scenario_run import ScenarioRun

ANNOUNCED = "next_"
AFTER_COMBINED_FAULTS_S = 130  # how long a scenario goes on once all faults are over


class ClusterScenario(Scenario):
    """What a deployment is like, what happens when, and what is expected in the end.

    `at T verb ...` happens at that simulated second; the first `expect` plays it all.
    """

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.seed = 1
        self.until = 100.0
        self.deployment = Deployment()
        self.teams: dict[str, Team] = {}
        self.operators = Operators(failure_detection=True)
        self.previous: tuple[str, ...] = ()
        self.watches_failovers = False
        self.plan: list[Callable[[], None]] = []  # in the order of the lines
        self.call_counts: dict[str, int] = {}
        self._run: ScenarioRun | None = None

    @property
    def run(self) -> ScenarioRun:
        """The deployment, once it is played."""
        assert self._run is not None, "nothing is played yet"
        return self._run

    def step(self, verb: str, words: list[str]) -> None:
        """Plays one line."""
        if verb == EXPECT:
            self.play()
        super().step(verb, words)

    # --- what the deployment is like

    def do_seed(self, seed: str) -> None:
        """The seed of all random draws."""
        self.seed = int(seed)

    def do_until(self, seconds: str) -> None:
        """When the scenario ends."""
        self.until = float(seconds)

    def do_deployment(self, *words: str) -> None:
        """Fields of a Deployment; those like `next_...` are announced for later."""
        fields: dict[str, Any] = parse_arguments(words)[1]
        announced = {
            name[len(ANNOUNCED) :]: fields.pop(name)
            for name in list(fields)
            if name.startswith(ANNOUNCED)
        }
        if announced:
            fields["next_limits"] = StateLimits(**announced)
        self.deployment = replace(self.deployment, **fields)

    def do_team(self, name: str, *words: str) -> None:
        """A team with its guarantee and quota; with one, only those named exist."""
        fields: dict[str, Any] = parse_arguments(words)[1]
        self.teams[name] = Team(**fields)
        self.deployment = replace(self.deployment, teams=self.teams)

    def do_operators(self, *words: str) -> None:
        """Fields of the operators' settings."""
        fields: dict[str, Any] = parse_arguments(words)[1]
        self.operators = replace(self.operators, **fields)

    def do_previous_version(self, *controllers: str) -> None:
        """These controllers begin with the version before; `all` of them."""
        self.previous = controllers

    def do_watch(self, what: str) -> None:
        """Also checks the rules on failovers."""
        assert what == "failovers", what
        self.watches_failovers = True

    def do_broken_build(self, name: str) -> None:
        """Plays with a broken build."""
        broken_builds.apply(name, self.patch)

    def do_count_calls(self, path: str) -> None:
        """Counts the calls of a function named like `placement.preempt.may_stop`."""
        module_name, _, name = path.rpartition(".")
        module = importlib.import_module("emberglade." + module_name)
        original = getattr(module, name)
        self.call_counts[name] = 0

        def counted(*args: Any) -> Any:
            self.call_counts[name] += 1
            return original(*args)

        self.patch.setattr(module, name, counted)

    # --- what happens

    def do_at(self, seconds: str, verb: str, *words: str) -> None:
        """Plans a verb of users or faults."""
        self.plan.append(
            lambda: self.run.cluster.world.at(
                float(seconds), self.find(ACTION_PREFIX, verb), *words
            )
        )

    def do_random(self, *words: str) -> None:
        """Draws jobs and faults: `jobs=`, `faults=`, `mass_faults=`, `needs_share=`.

        With `combined_faults=` it draws so many combinations of faults instead, and the scenario
        ends some time after the last of them.
        """
        fields: dict[str, Any] = parse_arguments(words)[1]
        if "combined_faults" in fields:
            self.plan.append(lambda: self.draw_combined_faults(**fields))
        else:
            self.plan.append(lambda: self.draw_faults(**fields))

    def draw_faults(
        self, jobs: int, faults: int, mass_faults: int = 0, needs_share: float = 0.0
    ) -> None:
        """Draws jobs, and faults one at a time."""
        cluster = self.run.cluster
        draw_work(cluster, jobs, self.until, needs_share)
        random_faults.draw_faults(cluster, faults, mass_faults, self.until)

    def draw_combined_faults(
        self, jobs: int, combined_faults: int, needs_share: float = 0.0
    ) -> None:
        """Draws jobs, and combinations of faults."""
        over = random_faults.draw_combined_faults(
            self.run.cluster, jobs, combined_faults, self.until, needs_share
        )
        self.until = over + AFTER_COMBINED_FAULTS_S

    # --- playing

    def make_cluster(self) -> Cluster:
        """The deployment, whose controllers start at once."""
        return Cluster(self.seed, self.deployment, self.previous, self.operators)

    def play(self) -> None:
        """Plays all that is planned, once."""
        if self._run is not None:
            return
        cluster = self.make_cluster()
        self._run = ScenarioRun(cluster, Ownership(cluster), self.call_counts)
        if self.watches_failovers:
            self.run.ownership.watch()
        self.verbs += [
            UserVerbs(self.run),
            FaultVerbs(self.run),
            JobExpectations(self.run),
            MachineExpectations(self.run),
            OwnershipExpectations(self.run),
            StateServiceExpectations(self.run),
        ]
        for begin in self.plan:
            begin()
        cluster.world.run(self.until)

    def broken_rules(self) -> set[str]:
        """The rules that were broken."""
        return self.run.cluster.observer.broken_rules()
