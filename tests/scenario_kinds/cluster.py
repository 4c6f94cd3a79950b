"""Whole deployments on simulated time."""

import importlib
from dataclasses import replace

import broken_builds
from stand_ins import faults
from stand_ins.cluster import Cluster
from stand_ins.ownership import Ownership

from emberglade.config import Operators
from scenario_kinds.cluster_actions import UserActions
from scenario_kinds.cluster_expectations import Expectations
from scenario_kinds.cluster_faults import FaultActions
from scenario_kinds.words import split, value


class ClusterScenario(UserActions, FaultActions, Expectations):
    """Verbs of whole-cluster scenarios; `at T verb ...` happens at that simulated second."""

    def __init__(self, patch, tmp_path):
        self.patch = patch
        self.seed, self.teams, self.plan, self.until, self.limits = 1, {}, [], 100.0, {}
        self.production = ()
        self.watch_takeovers = False
        self.operators = Operators(failure_detection=True)
        self.cluster, self.answers, self.named = None, [], {}
        self.calls = {}  # functions that are counted -> calls

    def step(self, verb, words):
        if verb in ("seed", "until"):
            setattr(self, verb, value(words[0]))
        elif verb == "capacity":
            self.limits[verb] = value(words[0])
        elif verb == "limits":
            self.limits.update(split(words)[1])
        elif verb == "team":
            plain, named = split(words)
            self.teams[plain[0]] = {"cpus": 0.0, "cpus_max": 0.0, **named}
        elif verb == "operators":
            self.operators = replace(self.operators, **split(words)[1])
        elif verb == "watch":
            self.watch_takeovers = True
        elif verb == "production":
            self.production = words
        elif verb == "break":
            broken_builds.apply(words[0], self.patch)
        elif verb == "count":
            self.count_calls(words[0])
        elif verb in ("at", "random"):
            self.plan.append((verb, words))
        elif verb == "expect":
            self.play()
            getattr(self, "expect_" + words[0])(*words[1:])
        else:
            raise AssertionError(f"no verb {verb}")

    def count_calls(self, path):
        """Counts the calls of a function named like `placement.preemption_rules.may_preempt`."""
        module_name, _, name = path.rpartition(".")
        module = importlib.import_module("emberglade." + module_name)
        original = getattr(module, name)
        self.calls[name] = 0

        def counted(*args):
            self.calls[name] += 1
            return original(*args)

        self.patch.setattr(module, name, counted)

    def play(self):
        if self.cluster is not None:
            return
        self.cluster = self.make_cluster()
        self.ownership = Ownership(self.cluster)
        if self.watch_takeovers:
            self.ownership.watch()
        for verb, words in self.plan:
            if verb == "random" and "meetings" in split(words)[1]:
                named = split(words)[1]
                self.until = (
                    faults.draw_meetings(
                        self.cluster,
                        named["jobs"],
                        named["meetings"],
                        self.until,
                        named.get("pipelines", 0.0),
                    )
                    + 130
                )
            elif verb == "random":
                _, named = split(words)
                faults.draw(
                    self.cluster,
                    named["jobs"],
                    named["faults"],
                    self.until,
                    named.get("mass", 0),
                    named.get("pipelines", 0.0),
                )
            else:
                self.cluster.world.at(float(words[0]), getattr(self, "do_" + words[1]), *words[2:])
        self.cluster.world.run(self.until)

    def rules(self):
        """The rules that were broken."""
        return self.cluster.observer.rules()

    def make_cluster(self):
        return Cluster(
            self.seed,
            teams=self.teams or None,
            production=self.production,
            operators=self.operators,
            **self.limits,
        )

    def node(self, word):
        """A controller by name, or one that `at T name WORD leader+N` has named."""
        return self.named.get(word, word)
