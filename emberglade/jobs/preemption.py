"""The job manager's preemption: which running tasks are stopped so that pressing jobs find room."""

from .. import placement
from ..actors import tell
from .record import SAVE
from .task_updates import StopWanted

MAX_STOPS = 16  # in a round: each costs a look at all machines, and the next round comes soon
MAX_STOPS_FOR_JOB = 64
# A start that is stopped sooner does not count as one for its user (PROTOCOL, "How aims are
# counted").
FRESH_START_S = 30


class Preemption:
    """The part of the job manager that stops tasks for others, within a round of placing."""

    preempted_at = float("-inf")

    def __init__(self):
        self.asked = {}  # (job, task, attempt) -> when its holder was asked to stop it

    def late_start(self, job, binding, now):
        """Whether a task is the first sign of a job that waited that long: it is left alone for a
        while.

        Once broken: what had its turn was stopped for a higher rank before it began, had its turn
        again, and so on; neither ran (combined_faults/aging_and_preemption.txt).
        """
        age = self.system.wall() - job.spec.submitted_at - (now - binding.since)
        return now - binding.since < 4 * self.settings.lease_s < age / 2 and not job.done_count()

    def pressing(self, job, now):
        """Whether a waiting job may have others stopped now: a deadline allows patience."""
        spec = job.spec
        age = self.system.wall() - spec.submitted_at
        if spec.service:
            return age > 2 * self.settings.agent_heartbeat_s / 10
        if job.id in self.guaranteed and age > self.settings.agent_heartbeat_s:
            return True
        if spec.deadline_s is not None:
            return spec.deadline_s - age < spec.estimated_run_s * 1.5 + self.settings.lease_s
        return spec.priority < 2 and age > self.settings.lease_s

    def preempt(self, now, waiting, placement_round):
        """Stops what the pressing ones among the waiting jobs need to find room."""
        if now - self.preempted_at < self.settings.agent_heartbeat_s / 5:
            return
        pressing = self.jobs_worth_preempting_for(now, waiting)
        if not pressing:
            return
        self.preempted_at = now
        self.asked = {
            key: at
            for key, at in self.asked.items()
            if now - at < 2 * self.settings.agent_heartbeat_s
        }
        self.count_stopping_as_free(placement_round)
        self.preempt_for(now, pressing, self.stoppable_rows(now, pressing), placement_round)

    def jobs_worth_preempting_for(self, now, waiting):
        """Own pressing jobs for which some running job may be stopped at all."""
        pressing = [
            job
            for job in waiting
            if self.mine(job) and job.waiting_count() and self.pressing(job, now)
        ]
        if not pressing:
            return []
        rules = placement.preempt.StopRules(self.capacity, self.settings.teams)
        running = {
            placement.preempt.stop_class(job.spec): job.spec
            for job in self.jobs.values()
            if job.binding_count()
        }
        return [
            job
            for job in pressing
            if any(rules.may_stop(job.spec, victim) for victim in running.values())
        ]

    def count_stopping_as_free(self, placement_round):
        """What is being stopped already will be room; it is not stopped for twice."""
        for job in self.jobs.values():
            for binding in [
                binding for _, binding in job.bindings() if binding.stop or job.cancelled
            ]:
                placement_round.give(job.spec, binding.machine)
        for job_id, task, attempt in self.asked:
            job = self.jobs.get(job_id)
            binding = job.part(task).bindings.get(task) if job is not None else None
            if (
                binding is not None
                and binding.attempt == attempt
                and not binding.stop
                and not job.cancelled
            ):
                placement_round.give(job.spec, binding.machine)

    def stoppable_rows(self, now, pressing):
        """{machine: [(job, task, bound)]} of what may be stopped there, the cheapest first."""
        rules = placement.preempt.StopRules(self.capacity, self.settings.teams)
        kinds = list({(job.spec.priority, job.spec.team): job.spec for job in pressing}.values())
        rows = {}
        for job in self.jobs.values():
            if (
                job.cancelled
                or self.needs_relayout(job)
                or not any(rules.may_stop(spec, job.spec) for spec in kinds)
            ):
                continue
            for task, binding in job.bindings():
                if (
                    not binding.stop
                    and (job.id, task, binding.attempt) not in self.asked
                    and not self.late_start(job, binding, now)
                ):
                    rows.setdefault(binding.machine, []).append((job, task, binding))
        for there in rows.values():
            there.sort(key=lambda row: placement.preempt.turn_to_go(row, self.is_fresh(row, now)))
        return rows

    @staticmethod
    def is_fresh(row, now):
        """Whether a task has been bound too lately to count as a start once it is stopped."""
        return now - row[2].since < FRESH_START_S

    def preempt_for(self, now, pressing, rows, placement_round):
        """Picks victims for one task after the other, and asks for their stop."""
        stops_left = MAX_STOPS
        for job in pressing:
            for _ in range(min(job.waiting_count(), MAX_STOPS_FOR_JOB)):
                victims = self.victims_for(now, job, rows, placement_round)
                if victims is None:
                    break
                if not victims:
                    continue
                for row in victims:
                    rows[row[2].machine].remove(row)
                    placement_round.give(row[0].spec, row[2].machine)
                    self.ask_stop(now, row, f"room for {job.id}")
                placement_round.fill(job, 1)
                stops_left -= 1
                if stops_left <= 0:
                    return

    def victims_for(self, now, job, rows, placement_round):
        """What to stop for one more task: nothing if it has found room; None if nothing helps."""
        capacity, teams = self.capacity, self.settings.teams

        def fresh(row):
            return self.is_fresh(row, now)

        if not capacity.tasks_within_quota(job.spec):
            victims = placement.preempt.victims_for_quota(job.spec, rows, capacity, teams, fresh)
            helps = victims and placement.preempt.has_fit(job, victims, placement_round)
            return victims if helps else None
        if placement_round.fill(job, 1):
            return []
        return placement.preempt.victims_for_capacity(job, rows, placement_round, teams, fresh)

    def ask_stop(self, now, row, reason):
        job, task, binding = row
        if self.mine(job):
            self.stop(job, task, SAVE, reason)
        else:
            self.asked[(job.id, task, binding.attempt)] = now
            update = StopWanted(job.id, task, binding.attempt, SAVE, reason)
            tell(self.agents.on_ask_stop, update)
