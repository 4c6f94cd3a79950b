"""The arithmetic of sizing."""

import random

import pytest

from emberglade.sizing import Expert, Sizer


class SizingScenario:
    """`expert`, `record`, `round`; figures worked out by hand in the scenario's comments."""

    def __init__(self, patch, tmp_path):
        self.experts = []
        self.sizer = None
        self.draw = None
        self.options = {
            "epsilon": 0.1,
            "round": 5,
            "premium": 6.0,
            "boot": 10.0,
            "spread": 2.0,
            "share": 0.1,
        }

    def step(self, verb, words):
        if verb == "expert":
            self.experts.append(Expert(int(words[0]), int(words[1]), float(words[2])))
        elif verb == "set":
            self.options[words[0]] = float(words[1])
        elif verb == "record":
            self.make()
            for demand in words[1:]:
                self.sizer.record(float(demand), float(words[0]))
        elif verb == "round":
            self.make()
            self.draw = self.sizer.run_cost_round(self.options["boot"])
        elif verb == "expect":
            getattr(self, "expect_" + words[0])(*words[1:])

    def make(self):
        if self.sizer is None:
            self.sizer = Sizer(
                tuple(self.experts),
                self.options["epsilon"],
                self.options["round"],
                self.options["premium"],
                self.options["spread"],
                self.options["share"],
                random.Random(1),
            )

    def expect_targets(self, *targets):
        assert self.sizer.target_history[-1] == [int(t) for t in targets]

    def expect_costs(self, *costs):
        assert self.sizer.costs(self.options["boot"]) == pytest.approx([float(c) for c in costs])

    def expect_weights(self, *weights):
        assert self.sizer.weights == pytest.approx([float(w) for w in weights])

    def expect_drawn(self, *targets):
        assert self.draw.target in [int(t) for t in targets]
