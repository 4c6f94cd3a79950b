"""Expectations of whole-cluster scenarios on the state service and its keys."""

from stand_ins.state_wire import (
    FORMAT_KEY,
    LIVE_PREFIX,
    chunk_size,
    is_rechunked,
    job_key,
)

from .scenario_run import ScenarioRun


class StateServiceExpectations:
    """Verbs after `expect` on keys, limits and transactions.

    The `kind` of a key is the part after the live prefix: `m` for keys below `eg/l/m`.
    """

    def __init__(self, run: ScenarioRun) -> None:
        self.state = run.state
        self.previous = run.cluster.previous

    def expect_format_raised(self, expected: str) -> None:
        """The cluster's record format has been raised, or has not, as `true` or `false` states."""
        assert (FORMAT_KEY in self.state.keys) == (expected == "true")

    # --- limits

    def refused_sizes(self) -> list[tuple[str, str]]:
        """Writes of new-version controllers that were refused for their size.

        The limits must have been lowered.
        """
        assert self.state.limits_lowered
        return [row for row in self.state.refused_sizes if row[0] not in self.previous]

    def expect_within_state_limits(self) -> None:
        """No write of a new-version controller was refused for its size."""
        assert not self.refused_sizes(), self.refused_sizes()[:3]

    def expect_exceeds_state_limits(self) -> None:
        """For broken builds: some write of a new-version controller was refused for its size."""
        assert self.refused_sizes()

    def expect_no_transaction_too_large(self) -> None:
        """No transaction was refused for its size, not even after the limits were lowered."""
        assert not self.state.refused_sizes, self.state.refused_sizes[:3]

    def expect_refused_sizes(self, minimum: str, maximum: str) -> None:
        """The number of new-version controllers' writes refused for their size is in this range."""
        count = len(self.refused_sizes())
        assert int(minimum) <= count <= int(maximum), count

    def expect_largest_value_at_least(self, kind: str, minimum: str) -> None:
        """The largest value of this kind of keys reached this size, so limits were exercised."""
        largest = self.state.largest_value
        assert largest.get(LIVE_PREFIX + kind, 0) >= int(minimum), largest

    def expect_transaction_bytes_at_least(self, kind: str, minimum: str) -> None:
        """A transaction that writes such keys reached this size, so its bound was exercised."""
        largest = self.state.largest_transaction
        assert largest.get(LIVE_PREFIX + kind, 0) >= int(minimum), largest

    # --- keys

    def expect_rechunked(self, job_id: str, tasks_per_chunk: str) -> None:
        """The stored record of the job has chunks of a new generation, with this many tasks."""
        record = self.state.keys[job_key(job_id)].data
        assert is_rechunked(record), chunk_size(record)
        assert chunk_size(record) == int(tasks_per_chunk), chunk_size(record)

    def expect_writes_at_least(self, kind: str, minimum: str) -> None:
        """At least this many keys of this kind were written, so such writes were exercised."""
        counts = self.state.write_counts
        assert counts.get(LIVE_PREFIX + kind, 0) >= int(minimum), counts

    def expect_writes_at_most(self, kind: str, maximum: str) -> None:
        """At most this many keys of this kind were written."""
        counts = self.state.write_counts
        assert counts.get(LIVE_PREFIX + kind, 0) <= int(maximum), counts

    def expect_keys_left_at_most(self, kind: str, maximum: str) -> None:
        """At most this many keys of this kind are left."""
        remaining = [key for key in self.state.keys if key.startswith(f"{LIVE_PREFIX}{kind}/")]
        assert len(remaining) <= int(maximum), remaining[:5]

    def expect_leases_granted_at_most(self, maximum: str) -> None:
        """At most this many leases were granted in total."""
        assert self.state.lease_count <= int(maximum), self.state.lease_count

    def expect_late_transactions_applied(self, minimum: str) -> None:
        """At least this many delayed, unanswered transactions were applied later."""
        assert self.state.late_applied >= int(minimum), self.state.late_applied
