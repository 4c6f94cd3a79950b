"""What a whole-cluster scenario expects of the state service, and of what is stored there."""

from stand_ins.state_wire import FORMAT_KEY, LIVE_PREFIX

from .scenario_run import ScenarioRun


class StateServiceExpectations:
    """The verbs after `expect` on keys, limits and transactions.

    A `kind` of keys is what stands after the prefix: `m` for those below `eg/l/m`.
    """

    def __init__(self, run: ScenarioRun) -> None:
        self.state = run.state
        self.previous = run.cluster.previous

    def expect_format_raised(self, word: str) -> None:
        """Whether the cluster's record format is raised by now: `true` or `false`."""
        assert (FORMAT_KEY in self.state.keys) == (word == "true")

    # --- limits

    def refused_sizes(self) -> list[tuple[str, str]]:
        """What controllers of the new version wrote too large once the limits had fallen."""
        assert self.state.limits_lowered
        return [row for row in self.state.refused_sizes if row[0] not in self.previous]

    def expect_within_state_limits(self) -> None:
        """Nothing was refused for its size."""
        assert not self.refused_sizes(), self.refused_sizes()[:3]

    def expect_exceeds_state_limits(self) -> None:
        """For broken builds: something was refused for its size."""
        assert self.refused_sizes()

    def expect_no_transaction_too_large(self) -> None:
        """No transaction was refused for its bytes."""
        assert not self.state.refused_transactions

    def expect_largest_value_at_least(self, kind: str, minimum: str) -> None:
        """Some value of this kind of keys was that large: the scenario came that far."""
        largest = self.state.largest_value
        assert largest.get(LIVE_PREFIX + kind, 0) >= int(minimum), largest

    # --- keys

    def expect_writes_at_least(self, kind: str, minimum: str) -> None:
        """So many keys of this kind were written: the scenario came that far."""
        counts = self.state.write_counts
        assert counts.get(LIVE_PREFIX + kind, 0) >= int(minimum), counts

    def expect_writes_at_most(self, kind: str, maximum: str) -> None:
        """No more keys of this kind were written."""
        counts = self.state.write_counts
        assert counts.get(LIVE_PREFIX + kind, 0) <= int(maximum), counts

    def expect_keys_left_at_most(self, kind: str, maximum: str) -> None:
        """No more keys of this kind are left."""
        left = [key for key in self.state.keys if key.startswith(f"{LIVE_PREFIX}{kind}/")]
        assert len(left) <= int(maximum), left[:5]

    def expect_leases_granted_at_most(self, maximum: str) -> None:
        """So many leases were ever asked for, at most."""
        assert self.state.lease_count <= int(maximum), self.state.lease_count

    def expect_late_transactions_applied(self, minimum: str) -> None:
        """So many transactions without an answer changed something later."""
        assert self.state.late_applied >= int(minimum), self.state.late_applied
