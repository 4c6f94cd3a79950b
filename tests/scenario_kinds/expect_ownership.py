"""What a whole-cluster scenario expects of shards, of the leadership and of controllers."""

from stand_ins import state_wire

from emberglade.accounting import Accountant
from emberglade.actors import ThreadSystem

from .scenario_run import ScenarioRun

STARTUP_S = 10.0  # until then roles are taken for the first time


class IdleSystem(ThreadSystem):
    """An actor system without an account of messages: simulated actors keep none."""

    def take_account(self) -> dict:
        """No actor has handled a message."""
        return {}


class OwnershipExpectations:
    """The verbs after `expect` on who held what, and on the controllers themselves."""

    def __init__(self, run: ScenarioRun) -> None:
        self.run = run
        self.ownership = run.ownership

    def expect_failed_over(self, word: str, since: str, seconds: str) -> None:
        """All that the controller held then was others' that many seconds later."""
        took_s = self.run.failover_s(word, float(since))
        assert took_s <= float(seconds), took_s

    def expect_not_failed_over(self, word: str, since: str) -> None:
        """Others took nothing from the controller from then on."""
        losses = self.ownership.losses(self.run.resolve(word), float(since))
        assert not losses, losses

    def expect_shards_at_home(self) -> None:
        """In the end each shard is with its home."""
        away = self.ownership.away_from_home()
        assert not away, away

    def expect_handovers(self, minimum: str, maximum: str) -> None:
        """So often shards and the leadership changed hands once all had begun."""
        handovers = self.ownership.handovers(STARTUP_S)
        assert int(minimum) <= len(handovers) <= int(maximum), handovers

    def expect_shards_owned_at_most(self, word: str, maximum: str) -> None:
        """The controller never held more shards than that once all had begun."""
        held = self.ownership.most_shards_held(self.run.resolve(word), STARTUP_S)
        assert held <= int(maximum), held

    def expect_leadership_claims_at_least(self, minimum: str) -> None:
        """The leadership was claimed so often."""
        claims = self.run.state.write_counts.get(state_wire.LEADER_KEY, 0)
        assert claims >= int(minimum), claims

    def expect_calls(self, name: str, minimum: str, maximum: str) -> None:
        """A counted function was called so often, over all controllers."""
        assert int(minimum) <= self.run.call_counts[name] <= int(maximum), self.run.call_counts

    def expect_accounts_of_live_keys(self) -> None:
        """Each controller's account and its memory guard's line count the keys of its replica.

        Once broken: a field of the store was renamed, and not where accounts read it. The thread
        that writes accounts ended at its first one, and with it every later account.
        """
        for controller in self.run.cluster.controllers.values():
            live_keys = len(controller.store.replica)
            assert live_keys > 0
            assert Accountant(IdleSystem(), controller, ()).collect()["live_keys"] == live_keys
            assert controller.describe().startswith(f"{live_keys} live keys, ")
