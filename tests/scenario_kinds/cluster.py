"""Scenarios of a whole deployment on simulated time."""

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
from stand_ins.view_checks import ViewChecks

from emberglade.config import Operators
from emberglade.jobs import dependencies

from .arguments import parse_arguments
from .cluster_faults import FaultVerbs
from .cluster_users import UserVerbs
from .expect_jobs import JobExpectations
from .expect_machines import MachineExpectations
from .expect_ownership import OwnershipExpectations
from .expect_state_service import StateServiceExpectations
from .scenario import ACTION_PREFIX, EXPECT, Scenario
from .scenario_run import ScenarioRun

VIEWS = "views"
ANNOUNCED_LIMIT_PREFIX = "next_"
COMBINED_FAULTS_RECOVERY_S = 130  # simulated time between the last fault and the end


class ClusterScenario(Scenario):
    """Configures a deployment, schedules actions on it and checks the outcome.

    `at T verb ...` schedules an action for simulated second T; the first `expect` runs the
    simulation to its end.
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
        self.plan: list[Callable[[], None]] = []  # in line order, which fixes the order of draws
        self.call_counts: dict[str, int] = {}
        self._run: ScenarioRun | None = None

    @property
    def run(self) -> ScenarioRun:
        """The run, available once `play` has been called."""
        assert self._run is not None, "the deployment does not exist before `play`"
        return self._run

    def step(self, verb: str, arguments: list[str]) -> None:
        """Executes one line; the first expectation runs the simulation."""
        if verb == EXPECT:
            self.play()
        super().step(verb, arguments)

    # --- configuration

    def do_seed(self, seed: str) -> None:
        """Sets the seed of all random draws."""
        self.seed = int(seed)

    def do_until(self, seconds: str) -> None:
        """Sets the simulated second at which the scenario ends."""
        self.until = float(seconds)

    def do_deployment(self, *arguments: str) -> None:
        """Sets fields of the Deployment.

        `next_<field>` sets a field of the state service limits that are announced from the start
        and come into force with `lower_state_limits`.
        """
        fields: dict[str, Any] = parse_arguments(arguments)[1]
        announced = {
            name[len(ANNOUNCED_LIMIT_PREFIX) :]: fields.pop(name)
            for name in list(fields)
            if name.startswith(ANNOUNCED_LIMIT_PREFIX)
        }
        if announced:
            fields["next_limits"] = StateLimits(**announced)
        self.deployment = replace(self.deployment, **fields)

    def do_team(self, name: str, *arguments: str) -> None:
        """Adds a team with its guarantee and quota; the default teams are dropped."""
        fields: dict[str, Any] = parse_arguments(arguments)[1]
        self.teams[name] = Team(**fields)
        self.deployment = replace(self.deployment, teams=self.teams)

    def do_operators(self, *arguments: str) -> None:
        """Sets fields of the operators' settings."""
        fields: dict[str, Any] = parse_arguments(arguments)[1]
        self.operators = replace(self.operators, **fields)

    def do_previous_version(self, *controllers: str) -> None:
        """Starts these controllers, or `all`, with the previous version."""
        self.previous = controllers

    def do_watch(self, what: str) -> None:
        """Enables the checks of the failover rules, or of job managers' views (`views`)."""
        if what == VIEWS:
            self.plan.append(lambda: ViewChecks(self.run.cluster).begin())
            return
        assert what == "failovers", what
        self.watches_failovers = True

    def do_broken_build(self, name: str) -> None:
        """Applies a broken build."""
        broken_builds.apply(name, self.patch)

    def do_outcomes_kept(self, count: str) -> None:
        """Sets how many outcomes of finished jobs controllers keep in memory."""
        self.patch.setattr(dependencies, "MAX_OUTCOMES", int(count))

    def do_count_calls(self, path: str) -> None:
        """Counts calls of a function, e.g. `placement.preemption_rules.may_preempt`."""
        module_name, _, name = path.rpartition(".")
        module = importlib.import_module("emberglade." + module_name)
        original = getattr(module, name)
        self.call_counts[name] = 0

        def counted(*args: Any) -> Any:
            self.call_counts[name] += 1
            return original(*args)

        self.patch.setattr(module, name, counted)

    # --- actions

    def do_at(self, seconds: str, verb: str, *arguments: str) -> None:
        """Schedules a user action or a fault."""
        self.plan.append(
            lambda: self.run.cluster.world.at(
                float(seconds), self.find(ACTION_PREFIX, verb), *arguments
            )
        )

    def do_random(self, *arguments: str) -> None:
        """Draws jobs and faults: `jobs=`, `faults=`, `mass_faults=`, `needs_share=`.

        With `combined_faults=` it draws that many combinations of faults instead, and the
        scenario ends COMBINED_FAULTS_RECOVERY_S after the last of them.
        """
        fields: dict[str, Any] = parse_arguments(arguments)[1]
        if "combined_faults" in fields:
            self.plan.append(lambda: self.draw_combined_faults(**fields))
        else:
            self.plan.append(lambda: self.draw_faults(**fields))

    def draw_faults(
        self, jobs: int, faults: int, mass_faults: int = 0, needs_share: float = 0.0
    ) -> None:
        """Draws jobs, and faults that are injected independently."""
        cluster = self.run.cluster
        draw_work(cluster, jobs, self.until, needs_share)
        random_faults.draw_faults(cluster, faults, mass_faults, self.until)

    def draw_combined_faults(
        self, jobs: int, combined_faults: int, needs_share: float = 0.0
    ) -> None:
        """Draws jobs and combinations of faults, and sets the end of the scenario."""
        faults_end = random_faults.draw_combined_faults(
            self.run.cluster, jobs, combined_faults, self.until, needs_share
        )
        self.until = faults_end + COMBINED_FAULTS_RECOVERY_S

    # --- execution

    def make_cluster(self) -> Cluster:
        """Creates the deployment; its controllers start immediately."""
        return Cluster(self.seed, self.deployment, self.previous, self.operators)

    def play(self) -> None:
        """Runs the simulation with all planned actions; further calls do nothing."""
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
        for schedule in self.plan:
            schedule()
        cluster.world.run(self.until)

    def broken_rules(self) -> set[str]:
        """Returns the names of the rules that were broken."""
        return self.run.cluster.observer.broken_rules()
