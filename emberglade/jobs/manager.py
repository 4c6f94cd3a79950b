"""The job manager: every controller's view of all live jobs, and the decisions on those it holds.

What is decided here is only wished for until the commit has succeeded; nothing leaves for a worker
from here. Workers are commanded by the agents slice, out of the committed copy.
"""

import logging

from .. import placement
from ..actors import tell_after
from ..state import ReplicaSubscriber
from .cleanup import Cleanup
from .commits import Commits
from .committed import CommittedJobs
from .preemption import Preemption
from .record import (
    KEEP,
    SAVE,
    STOP,
    part_size,
    task_name,
)
from .relayout import Relayout
from .releases import Releases
from .scheduler import Scheduler
from .task_updates import StopWanted, TaskExited, TaskGone

log = logging.getLogger("emberglade.jobs")


# Leases that a machine rests after errors, or a job that fails everywhere: nobody may wait beside
# free room for much longer than a minute.
MAX_REST_LEASES = 4


class JobManager(
    CommittedJobs, Scheduler, Preemption, Commits, Releases, Relayout, Cleanup, ReplicaSubscriber
):
    """Every controller's view of all live jobs, and the decisions on those that it holds."""

    def __init__(self, settings, store):
        self.settings, self.store = settings, store
        CommittedJobs.__init__(self, settings)
        Scheduler.__init__(self, settings)
        Preemption.__init__(self)
        Commits.__init__(self, settings)
        Releases.__init__(self)
        Relayout.__init__(self)
        Cleanup.__init__(self)
        self.size = part_size(settings.value_bytes)
        self.inventory = {}  # machine -> placement.Machine
        self.errors = {}  # job -> machines on which a task of it ended in error
        self.agents = None  # set when the node is put together

    def on_begin(self):
        super().on_begin()
        tell_after(0.5, self.on_tick)

    # --- what the agents saw: stable facts about one attempt on one machine

    def on_inventory(self, machines):
        self.inventory = machines
        self.open_machines = {name for name, machine in machines.items() if machine.open}
        self.capacity.inventory(machines)
        self.images.keep_only(machines)
        self.soon_place()

    def on_task_update(self, update):
        """Handles `task_update(update)` from the agent manager, or from a peer's through the wire.

        Updates on jobs that this controller does not hold, or may not change now, are left out:
        workers' reports repeat them.
        """
        job = self.jobs.get(update.job_id)
        if job is None or not self.decides(job) or not 0 <= update.task < job.spec.tasks:
            return
        binding = job.part(update.task).bindings.get(update.task)
        match update:
            case TaskExited():
                self.task_exited(job, binding, update)
            case TaskGone():
                self.release(job, update.task, update.attempt, update.machine)
                self.settle(job)
            case StopWanted():
                if binding is not None and (binding.attempt, binding.stop) == (
                    update.attempt,
                    KEEP,
                ):
                    self.stop(job, update.task, update.mode, update.reason)

    def task_exited(self, job, binding, update):
        """Records the end of an attempt, unless another attempt is bound by now."""
        if binding is None or (binding.attempt, binding.machine) != (
            update.attempt,
            update.machine,
        ):
            return
        task, part = update.task, job.part(update.task)
        self.unbind(job, task)
        if update.reason == "done" and not job.spec.service:
            part.done.add(task)
        else:
            part.tried[task] = update.attempt
            self.failed(job, task, update.machine, update.reason)
        self.touch(job, task, soon=False)
        self.settle(job)
        self.soon_place()

    def failed(self, job, task, machine, exit_reason):
        now = self.now()
        lease = self.settings.lease_s
        if exit_reason == "error":
            # Mostly the machine is faulty, so it rests; a job that fails everywhere is slowed.
            machines = self.errors.setdefault(job.id, set())
            machines.add(machine)
            broken_job = len(machines) >= 3
            if not broken_job:
                _, count = self.suspects.get(machine, (0, 0))
                self.suspects[machine] = (now + lease * min(2**count, MAX_REST_LEASES), count + 1)
            job.not_before[task] = now + (
                lease * min(len(machines), MAX_REST_LEASES) if broken_job else 0
            )
            log.info(
                "%s ended in error on %s; %s",
                task_name(job.id, task),
                machine,
                "the job fails everywhere and is slowed" if broken_job else "the machine rests",
            )
        elif exit_reason in ("full", "busy"):
            self.suspects[machine] = (
                now + self.settings.agent_heartbeat_s * 2,
                self.suspects.get(machine, (0, 0))[1],
            )
        elif exit_reason in ("incomplete", "mates_gone"):
            job.not_before[task] = now + self.settings.agent_heartbeat_s
        elif exit_reason == "no_such":
            job.not_before[task] = now + lease / 2
        elif exit_reason == "done":
            job.not_before[task] = now + self.settings.agent_heartbeat_s

    def release(self, job, task, attempt, machine):
        part = job.part(task)
        binding = part.bindings.get(task)
        if binding is not None and (binding.attempt, binding.machine) == (attempt, machine):
            self.unbind(job, task)
            part.tried[task] = attempt
            self.touch(job, task)

    def obey_taints(self, machines):
        """Moves own tasks off machines whose leases are proven over, and stops them where it
        drains.
        """
        moved = {}
        for machine in machines:
            taint = self.taints.get(machine)
            for (_, task), (job, binding) in list(self.capacity.on.get(machine, {}).items()):
                if not self.decides(job):
                    continue
                if taint in ("ended", "gone"):
                    moved.setdefault(machine, []).append(task_name(job.id, task))
                    self.release(job, task, binding.attempt, machine)
                    self.settle(job)
                elif taint == "drain" and binding.stop == KEEP:
                    self.stop(job, task, SAVE, "its machine is drained")
        if moved:
            log.info(
                "%d tasks of %d machines move, whose leases are over: %s",
                sum(map(len, moved.values())),
                len(moved),
                ", ".join(
                    f"{machine} ({' '.join(names)})" for machine, names in list(moved.items())[:4]
                )
                + (" and more" if len(moved) > 4 else ""),
            )

    def stop(self, job, task, how, reason):
        binding = job.part(task).bindings[task]
        log.info("stopping %s on %s: %s", task_name(job.id, task), binding.machine, reason)
        binding.stop = SAVE if how == SAVE and job.spec.checkpoint_interval_s > 0 else STOP
        self.touch(job, task)

    # --- now and then

    def on_tick(self):
        tell_after(0.5, self.on_tick)
        for job in list(self.jobs.values()):
            self.settle(job)
        # Once broken: the stops for a drained machine went with a commit that was not carried out,
        # and nobody asked for them again; its tasks neither ran nor moved
        # (protocol_rules/random_combined_faults_small_values.txt, 39).
        self.obey_taints(
            [
                machine
                for machine, taint in self.taints.items()
                if taint in ("ended", "gone", "drain") and machine in self.capacity.on
            ]
        )
        self.sweep()
        self.sweep_layouts()
        self.sweep_lists()
        if self.flight is None:
            self.drop_remains()
        self.soon_release()
        self.soon_relayout()
        self.soon_place()

    # --- questions of other slices

    def on_demand(self, reply):
        """`reply({pool: machines}, {(type, spot, zone): machines})`: what own jobs ask for, in
        whole machines, and what of it has no room in the only zone where it can run.
        """
        own = [job for job in self.jobs.values() if self.mine(job) and not job.cancelled]
        reply(
            placement.demand(
                own,
                placement.capacity_buffer(
                    own, self.settings.objectives, self.machine_types, self.system.wall()
                ),
                self.machine_types,
                self.settings.teams,
            ),
            placement.zone_shortage(
                own,
                self.capacity,
                self.open_machines.difference(self.taints.of),
                self.machine_types,
            ),
        )

    def on_occupied(self, reply):
        """`reply(machines that any bound task names)`."""
        reply(set(self.capacity.on))

    def on_replicas(self, reply):
        reply(sum(self.capacity.replicas.values()))
