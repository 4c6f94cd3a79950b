"""The job_manager's rounds of placing: what runs where, and what is stopped to make room."""

import logging
import math

from .. import placement
from ..actors import tell_after
from .record import Binding

log = logging.getLogger("emberglade.jobs")


class Scheduler:
    """The part of the job_manager that places; a round is played on its room and leaves only
    bindings.
    """

    place_due = False
    placed_at = float("-inf")

    def __init__(self, settings):
        self.capacity = placement.ClusterCapacity(settings.teams)
        self.images = placement.ImageCaches()
        self.open_machines = set()
        self.guaranteed = (
            set()
        )  # jobs within their team's guarantee, worked out a few times a report interval
        self.guaranteed_at = float("-inf")
        self.suspects = {}  # machine -> (until, errors)

    def soon_place(self):
        if not self.place_due:
            self.place_due = True
            tell_after(
                max(self.settings.agent_heartbeat_s / 50, self.placed_at - self.now()),
                self.on_place,
            )

    def on_place(self):
        if not self.place_due:
            return  # played already, before a flush
        self.place_due = False
        now = self.now()
        if not self.loaded or not self.machine_types or self.flight is not None:
            return
        waiting = [
            job
            for job in self.jobs.values()
            if not job.cancelled and job.waiting_count() and not self.needs_relayout(job)
        ]
        if not any(self.mine(job) for job in waiting):
            return
        usable = self.open_machines.difference(self.taints.of)
        usable.difference_update(
            [name for name, (until, _) in self.suspects.items() if until > now]
        )
        placement_round = placement.PlacementRound(self.capacity, usable, self.images)
        try:
            self.play(now, waiting, placement_round)
        finally:
            placement_round.undo()

    def play(self, now, waiting, placement_round):
        """One round: takes room for everybody's waiting tasks in order, and binds its own.

        Every holder plays the round through for all jobs, in the same order: room that a free
        machine offers is not fought over by several nodes.
        """
        wall = self.system.wall()
        teams = self.settings.teams
        starving = {job.id for job in waiting if self.starves(job, wall)}
        waiting.sort(
            key=lambda job: (
                job.id not in starving,
                placement.placement_order(job.spec, self.settings.objectives, wall),
            )
        )
        if now - self.guaranteed_at > self.settings.agent_heartbeat_s / 5:
            self.guaranteed_at = now
            self.guaranteed = placement.preempt.guaranteed(
                (job for job in self.jobs.values() if not job.cancelled), teams
            )
        ahead = placement.capacity_buffer(
            self.jobs.values(), self.settings.objectives, self.machine_types, wall
        )
        budget = self.settings.txn_ops * 4 * self.size
        played = {}  # other holders' jobs -> tasks that room was taken for
        # First what each team is guaranteed: that is not to wait for what others run beyond theirs.
        for within in (
            (True, False)
            if any(team.guaranteed_cpus or team.guaranteed_gpus for team in teams.values())
            else (False,)
        ):
            for job in waiting:
                for row in [row for row in ahead if row[0].spec.priority < job.spec.priority]:
                    ahead.remove(row)
                    placement_round.fill(row[0], math.ceil(row[1]))
                most = min(job.waiting_count(), placement_round.most(job.spec), 256)
                if within and job.spec.priority:
                    most = min(most, self.capacity.tasks_within_guarantee(job.spec))
                if job.id in starving:
                    # Enough to begin; the rest takes its place in the ordinary order.
                    most = min(most, math.ceil(job.spec.tasks / 8))
                if most <= 0:
                    continue
                if not self.mine(job):
                    # What was often tried, of a job that gets nothing done, its holder may well be
                    # holding back. Others are tried as often on a rough day; their room was given
                    # away, and made for them again and again
                    # (protocol_rules/random_combined_faults_small_values.txt, 39).
                    past = played.get(job.id, 0)
                    hopeful = job.binding_count() or job.done_count()
                    tasks = [
                        task
                        for task in job.waiting(now, most + past)
                        if hopeful or job.part(task).tried.get(task, 0) <= 3
                    ]
                    played[job.id] = past + len(placement_round.fill(job, len(tasks) - past))
                elif budget > 0:
                    budget -= self.place(job, job.waiting(now, most), placement_round, wall)
        self.preempt(now, waiting, placement_round)
        # A round costs more the more there is; so that rounds leave time for reports, the next one
        # comes no sooner than a few times what this one took, and a tenth of a report interval.
        self.placed_at = self.now() + max(
            3 * (self.now() - now), self.settings.agent_heartbeat_s / 10
        )

    def place(self, job, tasks, placement_round, wall):
        """Binds as many of the tasks as find room; returns how many."""
        found = placement_round.fill(job, len(tasks))
        placement_round.forget(len(found))
        if not found or (
            job.spec.gang and not job.binding_count() and len(found) < job.waiting_count()
        ):
            return 0
        missing = 0
        for task, machine in zip(tasks, found, strict=False):
            missing += not self.images.has(machine, job.spec.image)
            part = job.part(task)
            self.bind(
                job,
                task,
                Binding(part.tried.pop(task, 0) + 1, machine, self.inventory[machine].agent_epoch),
            )
            self.touch(job, task)
        log.info(
            "placing %d tasks of %s after %.1f s on %s%s",
            len(found),
            job.id,
            wall - job.spec.submitted_at,
            " ".join(sorted(set(found))),
            f", image {job.spec.image} not cached for {missing}" if missing else "",
        )
        return len(found)

    def starves(self, job, wall):
        """Whether a job that has not begun at all has waited so long that it goes first.

        A line by rank and due time alone leaves the largest and lowest jobs waiting for ever when
        more keeps coming than can be served.
        """
        return (
            wall - job.spec.submitted_at > 8 * self.settings.lease_s
            and not job.binding_count()
            and not job.done_count()
            and self.now() - job.last_bound_at > 8 * self.settings.lease_s
        )

    def on_thin_machine(self, type_name, most, reply):
        """`reply(machine, count)`: one that only holds up to `most` replicas, all of which would
        find room with their image on other machines in use; `reply(None, 0)` if there is none.
        """
        replicas = self.capacity.replicas
        rows = []
        for name, machine in self.inventory.items():
            on = self.capacity.on.get(name, {})
            if (
                machine.type.name == type_name
                and not machine.spot
                and machine.open
                and name not in self.taints
                and 0 < len(on) <= most
                and all(
                    job.spec.service and not binding.stop and not job.cancelled
                    for job, binding in on.values()
                )
            ):
                rows.append((len(on), name))
        usable = {
            name
            for name, machine in self.inventory.items()
            if machine.open and name not in self.taints and replicas.get(name)
        }
        for count, name in sorted(rows)[:8]:
            placement_round = placement.PlacementRound(self.capacity, usable - {name}, self.images)
            fits = True
            for job, _ in self.capacity.on[name].values():
                found = placement_round.fill(job, 1)
                if not found or not self.images.has(found[0], job.spec.image):
                    fits = False
                    break
            placement_round.undo()
            if fits:
                reply(name, count)
                return
        reply(None, 0)
