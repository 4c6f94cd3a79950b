"""Scenarios in real time: controllers as processes, stand-ins over HTTP on loopback."""

from stand_ins.cluster import Cluster
from stand_ins.loopback import LoopbackCluster

from .cluster import ClusterScenario

CONTROLLER_ARGUMENTS = ("--enable", "failure-detection")


class LoopbackScenario(ClusterScenario):
    """A cluster scenario with real processes.

    Times vary between runs in real time, so failover times are printed and the scenarios' bounds
    are wide.
    """

    def make_cluster(self) -> Cluster:
        """Creates the deployment; its controller processes start immediately."""
        return LoopbackCluster(self.directory, self.seed, CONTROLLER_ARGUMENTS, self.deployment)

    def stop(self) -> None:
        """Stops all processes of the deployment."""
        cluster = self.run.cluster
        assert isinstance(cluster, LoopbackCluster)
        cluster.stop()

    def play(self) -> None:
        """Runs all planned actions and then stops the processes."""
        if self._run is not None:
            return
        try:
            super().play()
        finally:
            if self._run is not None:
                self.stop()

    def expect_failed_over(self, controller: str, since: str, seconds: str) -> None:
        """Within this time other controllers own all roles that this one owned at `since`."""
        took_s = self.run.failover_s(controller, float(since))
        print(f"{controller}: failed over in {took_s} s")
        assert took_s <= float(seconds), took_s
