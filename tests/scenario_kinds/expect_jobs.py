"""Expectations of whole-cluster scenarios on rules, jobs and answers to users."""

from .scenario_run import ScenarioRun

STARVED_SHARE = 0.5  # a group is starved if a smaller share of its jobs has started
MIN_RETRY_AFTER_S = 1


class JobExpectations:
    """Verbs after `expect` on rules, jobs and answers to users."""

    def __init__(self, run: ScenarioRun) -> None:
        self.run = run
        self.observer = run.observer

    # --- rules

    def expect_no_violations(self) -> None:
        """No rule was broken."""
        assert not self.observer.violations, self.observer.violations[:5]
        assert not self.observer.broken_rules(), self.observer.broken_rules()

    def expect_violation(self, rule: str) -> None:
        """For broken builds: this rule was broken."""
        broken = self.observer.broken_rules()
        assert rule in broken, f"expected a violation of {rule}, found {broken}"

    # --- states

    def expect_state(self, job_id: str, state: str) -> None:
        """A user received this final state of the job."""
        final = self.observer.final.get(job_id)
        assert final is not None, f"{job_id} is not finished"
        assert final.state == state, final

    def expect_unfinished(self, job_id: str) -> None:
        """For broken builds: the job was accepted and is not finished yet."""
        assert job_id in self.observer.accepted_at
        assert job_id not in self.observer.final

    def expect_accepted_within(self, job_id: str, seconds: str) -> None:
        """The submission was acknowledged within this time."""
        waited = self.observer.accepted_at[job_id] - self.observer.submitted_at[job_id]
        assert waited <= float(seconds), waited

    def expect_begun_within(self, job_id: str, seconds: str) -> None:
        """A task of the job started within this time after the job was accepted."""
        assert job_id in self.observer.begun_at
        waited = self.observer.begun_at[job_id] - self.observer.accepted_at[job_id]
        assert waited <= float(seconds), waited

    def expect_starts_after(self, first: str, second: str, seconds: str) -> None:
        """The second job starts after the first has finished, and within this time."""
        waited = self.observer.begun_at[second] - self.observer.ended_at[first]
        assert 0 <= waited <= float(seconds), waited

    def expect_task_starts(self, minimum: str, maximum: str) -> None:
        """The number of task starts, restarts included, is in this range."""
        count = self.observer.start_count
        assert int(minimum) <= count <= int(maximum), count

    def expect_all_groups_begun(self) -> None:
        """At least STARVED_SHARE of the jobs of each group have started.

        Groups: each class, each team and the largest jobs of each class.
        """
        shares = self.observer.liveness.begun_shares()
        assert shares, "no job was accepted"
        assert min(shares.values()) >= STARVED_SHARE, shares

    def expect_starved(self) -> None:
        """For broken builds: fewer than STARVED_SHARE of the jobs of some group have started."""
        shares = self.observer.liveness.begun_shares()
        assert min(shares.values()) < STARVED_SHARE, shares

    # --- cancellations

    def expect_cancellations_confirmed(self, minimum: str, before: str) -> None:
        """At least this many cancellations were confirmed before this time, when faults begin."""
        moments = sorted(self.observer.cancelled_at.values())
        assert sum(moment < float(before) for moment in moments) >= int(minimum), moments

    def expect_cancelled_on_completion(self, minimum: str) -> None:
        """At least this many job arrays were cancelled at the moment they finished."""
        count = self.run.cluster.users.cancelled_on_completion
        assert count >= int(minimum), count

    def expect_stopped_within(self, prefix: str, seconds: str) -> None:
        """All tasks of the cancelled jobs ended within this time after users were notified."""
        slow = self.slow_to_stop(prefix, float(seconds))
        assert not slow, slow

    def expect_not_stopped_within(self, prefix: str, seconds: str) -> None:
        """For broken builds: some tasks of the cancelled jobs took longer."""
        assert self.slow_to_stop(prefix, float(seconds))

    def slow_to_stop(self, prefix: str, seconds: float) -> dict[str, float]:
        """Maps each cancelled job whose tasks took longer than `seconds` to the time they took."""
        cancelled = {
            job_id: at
            for job_id, at in self.observer.cancelled_at.items()
            if job_id.startswith("job-" + prefix)
        }
        assert cancelled, f"no job with the prefix job-{prefix} was cancelled"
        took = {
            job_id: self.observer.last_left_at.get(job_id, 0) - at
            for job_id, at in cancelled.items()
        }
        return {job_id: round(took_s, 1) for job_id, took_s in took.items() if took_s > seconds}

    def expect_starts_after_cancel(self, minimum: str, maximum: str) -> None:
        """The number of task starts after a confirmed cancellation is in this range."""
        count = self.observer.starts_after_cancel
        assert int(minimum) <= count <= int(maximum), count

    # --- answers

    def expect_answers(self, *statuses: str) -> None:
        """Raw requests were answered with these statuses, in this order.

        Errors have a one-line message, and statuses 429 and 503 a Retry-After.
        """
        answers = self.run.answers
        assert [str(status) for status, _, _ in answers] == list(statuses), answers
        for status, body, retry_after_s in answers:
            if status >= 400:
                assert body["error"]
                assert "\n" not in body["error"]
            if status in (429, 503):
                assert retry_after_s is not None
                assert retry_after_s >= MIN_RETRY_AFTER_S

    def expect_answer_count(self, status: str, minimum: str, maximum: str) -> None:
        """The number of raw requests answered with this status is in this range.

        Every 503 has a Retry-After.
        """
        answers = self.run.answers
        count = sum(found == int(status) for found, _, _ in answers)
        assert int(minimum) <= count <= int(maximum), count
        assert all(retry_after_s is not None for found, _, retry_after_s in answers if found == 503)

    def expect_invalid_refused(self, minimum: str) -> None:
        """At least this many jobs that can never run were refused permanently."""
        assert self.observer.invalid_refused >= int(minimum), self.observer.invalid_refused
