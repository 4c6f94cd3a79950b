"""What a whole-cluster scenario expects of jobs and of what users are told."""

from .scenario_run import ScenarioRun

STARVED_SHARE = 0.5  # a group of which less has begun is starved
MIN_RETRY_S = 1


class JobExpectations:
    """The verbs after `expect` on rules, jobs and answers."""

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
        assert rule in broken, f"caught {broken}, not {rule}"

    # --- states

    def expect_state(self, job_id: str, state: str) -> None:
        """A user was told that the job is in this final state."""
        final = self.observer.final.get(job_id)
        assert final is not None, f"{job_id} is not over"
        assert final.state == state, final

    def expect_unfinished(self, job_id: str) -> None:
        """For broken builds: the job is not over by now."""
        assert job_id in self.observer.accepted_at
        assert job_id not in self.observer.final

    def expect_accepted_within(self, job_id: str, seconds: str) -> None:
        """Its user was told so soon that the job is accepted."""
        waited = self.observer.accepted_at[job_id] - self.observer.submitted_at[job_id]
        assert waited <= float(seconds), waited

    def expect_begun_within(self, job_id: str, seconds: str) -> None:
        """A task of the job started so soon after the job was accepted."""
        assert job_id in self.observer.begun_at
        waited = self.observer.begun_at[job_id] - self.observer.accepted_at[job_id]
        assert waited <= float(seconds), waited

    def expect_starts_after(self, first: str, second: str, seconds: str) -> None:
        """The second job begins at most that long after the first is done, and not before."""
        waited = self.observer.begun_at[second] - self.observer.ended_at[first]
        assert 0 <= waited <= float(seconds), waited

    def expect_task_starts(self, minimum: str, maximum: str) -> None:
        """So many tasks started, those counted that started again."""
        count = self.observer.start_count
        assert int(minimum) <= count <= int(maximum), count

    def expect_all_groups_begun(self) -> None:
        """Of each class, team and of each class's largest jobs, at least half has begun."""
        shares = self.observer.liveness.begun_shares()
        assert shares, "no job was accepted"
        assert min(shares.values()) >= STARVED_SHARE, shares

    def expect_starved(self) -> None:
        """For broken builds: some class, team or class's largest jobs are starved."""
        shares = self.observer.liveness.begun_shares()
        assert min(shares.values()) < STARVED_SHARE, shares

    # --- cancellations

    def expect_cancellations_confirmed(self, minimum: str, before: str) -> None:
        """So many cancellations were told before that moment: the faults met them."""
        moments = sorted(self.observer.cancelled_at.values())
        assert sum(moment < float(before) for moment in moments) >= int(minimum), moments

    def expect_cancelled_on_completion(self, minimum: str) -> None:
        """So many arrays were cancelled at the moment of their end."""
        count = self.run.cluster.users.cancelled_on_completion
        assert count >= int(minimum), count

    def expect_stopped_within(self, prefix: str, seconds: str) -> None:
        """All cancelled jobs of that name had nothing left that long after users were told."""
        slow = self.slow_to_stop(prefix, float(seconds))
        assert not slow, slow

    def expect_not_stopped_within(self, prefix: str, seconds: str) -> None:
        """For broken builds: some of them had."""
        assert self.slow_to_stop(prefix, float(seconds))

    def slow_to_stop(self, prefix: str, seconds: float) -> dict[str, float]:
        """The cancelled jobs of that name whose tasks took longer to stop, and how long."""
        cancelled = {
            job_id: at
            for job_id, at in self.observer.cancelled_at.items()
            if job_id.startswith("job-" + prefix)
        }
        assert cancelled, f"no job of the name job-{prefix} was cancelled"
        took = {
            job_id: self.observer.last_left_at.get(job_id, 0) - at
            for job_id, at in cancelled.items()
        }
        return {job_id: round(took_s, 1) for job_id, took_s in took.items() if took_s > seconds}

    def expect_starts_after_cancel(self, minimum: str, maximum: str) -> None:
        """So many tasks started after their user was told that the job is cancelled."""
        count = self.observer.starts_after_cancel
        assert int(minimum) <= count <= int(maximum), count

    # --- answers

    def expect_answers(self, *statuses: str) -> None:
        """Raw requests were answered like this; refusals say why, and when to come back."""
        answers = self.run.answers
        assert [str(status) for status, _, _ in answers] == list(statuses), answers
        for status, body, retry in answers:
            if status >= 400:
                assert body["error"]
                assert "\n" not in body["error"]
            if status in (429, 503):
                assert retry is not None
                assert retry >= MIN_RETRY_S

    def expect_answer_count(self, status: str, minimum: str, maximum: str) -> None:
        """So many raw requests were answered with this status; 503 says when to come back."""
        answers = self.run.answers
        count = sum(found == int(status) for found, _, _ in answers)
        assert int(minimum) <= count <= int(maximum), count
        assert all(retry is not None for found, _, retry in answers if found == 503)

    def expect_invalid_refused(self, minimum: str) -> None:
        """So many jobs that can never run were refused for good."""
        assert self.observer.invalid_refused >= int(minimum), self.observer.invalid_refused
