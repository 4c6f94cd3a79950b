"""Expectations of whole-cluster scenarios on shards, leadership and controllers."""

from stand_ins import state_wire

from emberglade.accounting import Accountant
from emberglade.actors import ThreadSystem

from .scenario_run import ScenarioRun

STARTUP_S = 10.0  # by then all shards and the leadership have their first owners


class IdleSystem(ThreadSystem):
    """An actor system without message accounts, which simulated actors don't keep."""

    def take_account(self) -> dict:
        """Returns an empty account."""
        return {}


class OwnershipExpectations:
    """Verbs after `expect` on the owners of shards, on leadership and on controllers."""

    def __init__(self, run: ScenarioRun) -> None:
        self.run = run
        self.ownership = run.ownership

    def expect_failed_over(self, name: str, since: str, seconds: str) -> None:
        """Within this time other controllers own all roles that this one owned at `since`."""
        took_s = self.run.failover_s(name, float(since))
        assert took_s <= float(seconds), took_s

    def expect_not_failed_over(self, name: str, since: str) -> None:
        """From `since` on, the controller lost no role, except shards to their home controllers."""
        losses = self.ownership.losses(self.run.resolve(name), float(since))
        assert not losses, losses

    def expect_shards_at_home(self) -> None:
        """Each shard is owned by its home controller at the end."""
        away = self.ownership.away_from_home()
        assert not away, away

    def expect_handovers(self, minimum: str, maximum: str) -> None:
        """The number of ownership changes after STARTUP_S is in this range."""
        handovers = self.ownership.handovers(STARTUP_S)
        assert int(minimum) <= len(handovers) <= int(maximum), handovers

    def expect_shards_owned_at_most(self, name: str, maximum: str) -> None:
        """After STARTUP_S the controller never owned more shards than this."""
        shard_count = self.ownership.most_shards_owned(self.run.resolve(name), STARTUP_S)
        assert shard_count <= int(maximum), shard_count

    def expect_leadership_claims_at_least(self, minimum: str) -> None:
        """Leadership was claimed at least this often."""
        claims = self.run.state.write_counts.get(state_wire.LEADER_KEY, 0)
        assert claims >= int(minimum), claims

    def expect_calls(self, name: str, minimum: str, maximum: str) -> None:
        """The number of calls of a function named by `count_calls` is in this range.

        Calls of all controllers are counted together.
        """
        assert int(minimum) <= self.run.call_counts[name] <= int(maximum), self.run.call_counts

    def expect_accounts_of_live_keys(self) -> None:
        """Each controller's account and its memory guard's log line count the keys of its replica.

        Guards against a field of the store being renamed without the code that reads it for
        accounts: the first account then fails and ends the thread that writes them all.
        """
        for controller in self.run.cluster.controllers.values():
            live_keys = len(controller.store.replica)
            assert live_keys > 0
            assert Accountant(IdleSystem(), controller, ()).collect()["live_keys"] == live_keys
            assert controller.describe().startswith(f"{live_keys} live keys, ")
