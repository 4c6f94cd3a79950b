"""Whole deployments in real time: controllers as processes, stand-ins over HTTP on loopback."""

from stand_ins.loopback import LoopbackCluster

from scenario_kinds.cluster import ClusterScenario

SWITCHES = ("--enable", "failure-detection")


class LoopbackScenario(ClusterScenario):
    """The verbs of cluster scenarios; times of takeovers are printed, bounds are generous."""

    def __init__(self, patch, tmp_path):
        super().__init__(patch, tmp_path)
        self.directory, self.switches = tmp_path, SWITCHES

    def make_cluster(self):
        return LoopbackCluster(self.directory, self.seed, self.switches, **self.limits)

    def play(self):
        if self.cluster is not None:
            return
        try:
            super().play()
        finally:
            if self.cluster is not None:
                self.cluster.stop()

    def expect_taken_over(self, node, since, seconds):
        print(f"{node}: taken over in {self.ownership.taken_over(self.node(node), float(since))} s")
        super().expect_taken_over(node, since, seconds)
