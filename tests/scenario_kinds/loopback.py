"""Whole deployments in real time: controllers as processes, stand-ins over HTTP on loopback."""

from stand_ins.cluster import Cluster
from stand_ins.loopback import LoopbackCluster

from .cluster import ClusterScenario

ARGUMENTS = ("--enable", "failure-detection")


class LoopbackScenario(ClusterScenario):
    """The verbs of cluster scenarios; times of failovers are printed, bounds are generous."""

    def make_cluster(self) -> Cluster:
        """The deployment, whose controllers start at once."""
        return LoopbackCluster(self.directory, self.seed, ARGUMENTS, self.deployment)

    def stop(self) -> None:
        """Ends the processes."""
        cluster = self.run.cluster
        assert isinstance(cluster, LoopbackCluster)
        cluster.stop()

    def play(self) -> None:
        """Plays all that is planned, and ends the processes."""
        if self._run is not None:
            return
        try:
            super().play()
        finally:
            if self._run is not None:
                self.stop()

    def expect_failed_over(self, controller: str, since: str, seconds: str) -> None:
        """All that the controller held then was others' that many seconds later."""
        took_s = self.run.failover_s(controller, float(since))
        print(f"{controller}: failed over in {took_s} s")
        assert took_s <= float(seconds), took_s
