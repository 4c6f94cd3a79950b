"""What a whole-cluster scenario expects in the end."""

from emberglade.accounting import Accountant


class IdleSystem:
    """An actor system without an account of messages: simulated actors keep none."""

    @staticmethod
    def take_account():
        """No actor has handled a message."""
        return {}


class Expectations:
    """The verbs after `expect`; `cluster` has been played, `ownership` and `answers` kept."""

    def expect_calls(self, name, least, most):
        """A counted function was called so often, over all controllers."""
        assert int(least) <= self.calls[name] <= int(most), self.calls

    def expect_accounts_of_live_keys(self):
        """Each controller's account and its memory guard's line count the keys of its replica.

        Once broken: a field of the store was renamed, and not where accounts read it. The thread
        that writes accounts ended at its first one, and with it every later account.
        """
        for node in self.cluster.nodes.values():
            live_keys = len(node.store.replica)
            assert live_keys > 0
            assert Accountant(IdleSystem(), node, ()).take()["live_keys"] == live_keys
            assert node.describe().startswith(f"{live_keys} live keys, ")

    def expect_answered(self, status, least, most):
        count = sum(found == int(status) for found, _, _ in self.answers)
        assert int(least) <= count <= int(most), count
        assert all(retry is not None for found, _, retry in self.answers if found == 503)

    def expect_raised(self, word):
        """Whether the cluster's record format is raised by now."""
        assert ("eg/l/format" in self.cluster.state.keys) == (word == "true")

    def refused_sizes(self):
        """What controllers of the new version wrote too large once the limits had fallen."""
        assert self.cluster.state.fallen
        return [
            row for row in self.cluster.state.refused_sizes if row[0] not in self.cluster.production
        ]

    def expect_within_limits(self):
        assert not self.refused_sizes(), self.refused_sizes()[:3]

    def expect_no_transaction_too_large(self):
        """No transaction was refused for its bytes."""
        assert not self.cluster.state.refused_transactions

    def expect_beyond_limits(self):
        """For broken builds: something was refused for its size."""
        assert self.refused_sizes()

    def expect_largest_was(self, kind, least):
        """Some value below eg/l/<kind> was that large: the meeting took place."""
        assert self.cluster.state.largest_of.get("eg/l/" + kind, 0) >= int(least), (
            self.cluster.state.largest_of
        )

    def expect_wrote(self, kind, least):
        """At least so many keys were written below eg/l/<kind>: the meeting took place."""
        assert self.cluster.state.written.get("eg/l/" + kind, 0) >= int(least), (
            self.cluster.state.written
        )

    def expect_left(self, kind, most):
        """At most so many keys are left below eg/l/<kind>."""
        left = [key for key in self.cluster.state.keys if key.startswith(f"eg/l/{kind}/")]
        assert len(left) <= int(most), left[:5]

    def expect_order(self, first, second, seconds):
        """The second job begins at most that long after the first is done."""
        observer = self.cluster.observer
        waited = observer.begun[second] - observer.ended[first]
        assert 0 <= waited <= float(seconds), waited

    def expect_kept(self):
        assert not self.cluster.observer.broken and not self.cluster.observer.rules(), (
            self.cluster.observer.broken[:5]
        )

    def expect_broken(self, rule):
        assert rule in self.cluster.observer.rules(), (
            f"caught {self.cluster.observer.rules()}, not {rule}"
        )

    def expect_state(self, job_id, state):
        assert self.cluster.observer.final.get(job_id, [None])[0] == state

    def slow(self, prefix, seconds):
        observer = self.cluster.observer
        told = {
            job: at
            for job, at in observer.cancelled_told.items()
            if job.startswith("job-" + prefix)
        }
        assert told
        return {
            job: round(observer.cancelled_off.get(job, 0) - at, 1)
            for job, at in told.items()
            if observer.cancelled_off.get(job, 0) - at > float(seconds)
        }

    def expect_off(self, prefix, seconds):
        """All cancelled jobs of that name had nothing left that long after users were told."""
        assert not self.slow(prefix, seconds), self.slow(prefix, seconds)

    def expect_not_off(self, prefix, seconds):
        """For broken builds: some of them had."""
        assert self.slow(prefix, seconds)

    def expect_told(self, least, before):
        """So many cancellations were told before that moment: the meeting took place."""
        told = sorted(self.cluster.observer.cancelled_told.values())
        assert sum(at < float(before) for at in told) >= int(least), told

    def expect_starts_after_cancel(self, least, most):
        """Tasks that started after their user was told that the job is cancelled."""
        assert int(least) <= self.cluster.observer.starts_after_cancel <= int(most), (
            self.cluster.observer.starts_after_cancel
        )

    def expect_late_applied(self, least):
        assert self.cluster.state.late_applied >= int(least), self.cluster.state.late_applied

    def expect_taken_over(self, node, since, seconds):
        """All that the controller held then was others' that many seconds later."""
        took = self.ownership.taken_over(self.node(node), float(since))
        assert took <= float(seconds), took

    def expect_not_taken(self, node, since):
        """Nothing of the controller was taken over by others from then on."""
        taken = self.ownership.losses(self.node(node), float(since))
        assert not taken, taken

    def expect_held_at_home(self):
        """In the end each home shard is with its home."""
        away = self.ownership.away_from_home()
        assert not away, away

    def expect_moves(self, least, most):
        """So often shards and the lead changed hands after the first 10 s."""
        count = len(self.ownership.moves(10.0))
        assert int(least) <= count <= int(most), self.ownership.moves(10.0)

    def expect_most_held(self, node, most):
        """No more shards than that were ever held by this controller after the first 10 s."""
        held = self.ownership.most_held(self.node(node), 10.0)
        assert held <= int(most), held

    def expect_led(self, least):
        """The lead was taken so often."""
        assert self.cluster.state.written.get("eg/l/lead", 0) >= int(least), (
            self.cluster.state.written
        )

    def expect_asked_at_end(self, least):
        assert self.cluster.asked_at_end >= int(least), self.cluster.asked_at_end

    def expect_odd_answers(self, least):
        assert self.cluster.observer.odd_answered >= int(least), self.cluster.observer.odd_answered

    def expect_unfinished(self, job_id):
        """For broken builds: the job is not over by now."""
        assert (
            job_id in self.cluster.observer.accepted and job_id not in self.cluster.observer.final
        )

    def expect_running(self, job_id, count, where=None):
        on = [
            m
            for name, places in self.cluster.observer.on.items()
            if name.rpartition("/")[0] == job_id
            for m in places
        ]
        assert len(on) == int(count), on
        if where is not None:
            assert all(self.cluster.cloud.machines[m].zone == where or m == where for m in on), on

    def expect_served(self):
        served = self.cluster.observer.served()
        assert served and min(served.values()) >= 0.5, served

    def expect_starved(self):
        """For broken builds: some class, team or class's largest jobs are not served."""
        assert min(self.cluster.observer.served().values()) < 0.5, self.cluster.observer.served()

    def expect_begun(self, job_id, seconds):
        observer = self.cluster.observer
        assert job_id in observer.begun and observer.begun[job_id] - observer.accepted[
            job_id
        ] <= float(seconds), observer.begun.get(job_id)

    def expect_starts(self, least, most):
        assert int(least) <= self.cluster.observer.starts <= int(most), self.cluster.observer.starts

    def expect_sessions(self, most):
        """No worker's lease ran out more often than this."""
        sessions = {m.name: m.agent_epoch for m in self.cluster.cloud.machines.values() if m.up}
        assert max(sessions.values(), default=1) <= int(most), sessions

    def expect_running_all(self, prefix, count):
        on = sum(
            len(places)
            for name, places in self.cluster.observer.on.items()
            if name.startswith("job-" + prefix)
        )
        assert on == int(count), on

    def expect_running_at_least(self, prefix, count):
        """So many tasks of these jobs are on machines."""
        on = sum(
            len(places)
            for name, places in self.cluster.observer.on.items()
            if name.startswith("job-" + prefix)
        )
        assert on >= int(count), on

    def expect_written(self, kind, most):
        """No more keys than that were written below eg/l/<kind>."""
        assert self.cluster.state.written.get("eg/l/" + kind, 0) <= int(most), (
            self.cluster.state.written
        )

    def expect_accepted(self, job_id, seconds):
        observer = self.cluster.observer
        assert observer.accepted[job_id] - observer.submitted_at[job_id] <= float(seconds), (
            observer.accepted[job_id]
        )

    def expect_leases(self, most):
        """So many leases of the state service were ever asked for, at most."""
        assert self.cluster.state.next_lease <= int(most), self.cluster.state.next_lease

    def expect_listed(self, machine):
        assert self.cluster.cloud.machines[machine].listed

    def expect_returned(self, machine):
        assert not self.cluster.cloud.machines[machine].listed

    def expect_machines(self, least, most):
        count = sum(m.listed for m in self.cluster.cloud.machines.values())
        assert int(least) <= count <= int(most), count

    def expect_answers(self, *statuses):
        assert [str(status) for status, _, _ in self.answers] == list(statuses), self.answers
        for status, body, retry in self.answers:
            if status >= 400:
                assert "\n" not in body["error"] and body["error"]
            if status in (429, 503):
                assert retry is not None and retry >= 1
