"""Scenarios of the sizer's arithmetic; their comments derive the expected figures."""

import random
from functools import cached_property
from pathlib import Path

import pytest

from emberglade.sizing import Expert, Sizer

from .scenario import Scenario

SEED = 1


class SizingScenario(Scenario):
    """Configures experts, records demand and runs rounds that draw one of their targets."""

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.experts: list[Expert] = []
        self.options = {
            "epsilon": 0.1,
            "round": 5,
            "premium": 6.0,
            "boot": 10.0,
            "spread": 2.0,
            "share": 0.1,
        }

    @cached_property
    def sizer(self) -> Sizer:
        """The sizer, created on first use with the experts and options given so far."""
        return Sizer(
            tuple(self.experts),
            self.options["epsilon"],
            self.options["round"],
            self.options["premium"],
            self.options["spread"],
            self.options["share"],
            random.Random(SEED),
        )

    def do_expert(self, window_s: str, percentile: str, factor: str) -> None:
        """Adds an expert: a percentile of the demand in a window, times a factor."""
        self.experts.append(Expert(int(window_s), int(percentile), float(factor)))

    def do_set(self, option: str, value: str) -> None:
        """Sets an option of the sizer."""
        self.options[option] = float(value)

    def do_record(self, price: str, *demands: str) -> None:
        """Records the demand of one second after the other, all at one price."""
        for demand in demands:
            self.sizer.record(float(demand), float(price))

    def do_round(self) -> None:
        """Runs a cost round."""
        self.draw = self.sizer.run_cost_round(self.options["boot"])

    def expect_targets(self, *targets: str) -> None:
        """The latest targets of the experts are these."""
        assert self.sizer.target_history[-1] == [int(target) for target in targets]

    def expect_costs(self, *costs: str) -> None:
        """The costs that each expert's targets would have caused are these."""
        expected = [float(cost) for cost in costs]
        assert self.sizer.costs(self.options["boot"]) == pytest.approx(expected)

    def expect_weights(self, *weights: str) -> None:
        """The weights of the experts are these."""
        assert self.sizer.weights == pytest.approx([float(weight) for weight in weights])

    def expect_drawn(self, *targets: str) -> None:
        """The last round drew one of these targets."""
        assert self.draw.target in [int(target) for target in targets]
