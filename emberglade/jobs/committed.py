"""The job manager's view of the live jobs, kept in step with the committed copy."""

import logging

from .. import placement
from ..fleet.taints import Taints
from ..membership import FORMAT_KEY, is_raised, shard_count
from ..state import LIVE_PREFIX
from .record import (
    Binding,
    Job,
    job_key,
    read_part_key,
    shard_of,
)

log = logging.getLogger("emberglade.jobs")


class CommittedJobs:
    """The part of the job manager that follows the copy and says who holds what."""

    def __init__(self, settings):
        self.format_raised = False  # whether every controller reads the new record format
        self.loaded = False
        self.shards = shard_count(settings)
        self.jobs = {}
        # Parts seen before their job, or of another layout than its own:
        # {job: {(generation, number): (data, stamp)}}
        self.loose_parts = {}
        self.holders = {}  # shard -> (node, incarnation, stamp)
        self.taints = Taints()
        self.fresh_taints = set()  # machines whose taints came with the change at hand
        self.machine_types = {}

    def on_changed(self, events, revision, whole):
        self.loaded = True
        if whole:
            seen = {key for key, data, _ in events if data is not None}
            for job_id in [j for j in self.jobs if job_key(j) not in seen]:
                self.drop(job_id)
            self.taints.forget()
        for event in events:
            if event[0] in self.deferred:
                self.deferred[event[0]].append(event)
            else:
                self.absorb(*event)
        self.follow_dependencies(events, whole)
        if self.fresh_taints:
            machines, self.fresh_taints = self.fresh_taints, set()
            self.obey_taints(machines)
        self.soon_place()

    def absorb(self, key, data, mod_revision):
        if key.startswith("j/"):
            job_id = key[2:]
            job = self.jobs.get(job_id)
            if data is None:
                self.drop(job_id)
                return
            if job is not None and job.mod_revision() >= mod_revision:
                return
            if job is None:
                job = self.jobs[job_id] = Job.decode(job_id, data)
                job.borrow_urgency(self.graph.urgency.get(job_id))
                self.adopt_parts(job)
            elif data.get("g", "") != job.generation:
                self.change_layout(job, data)
            job.cancelled = bool(data.get("w"))
            self.dirty.pop(key, None)
            self.merge(job, 0, data.get("p", {}), mod_revision)
            self.settle(job)
        elif key.startswith("t/"):
            self.absorb_part(key, data, mod_revision)
        elif key.startswith("s/"):
            if data is None:
                self.holders.pop(int(key[2:]), None)
            else:
                self.holders[int(key[2:])] = (data.get("node"), data.get("inc"), mod_revision)
        elif key.startswith("m/"):
            self.fresh_taints.update(self.taints.apply(key, data, mod_revision, self.now()))
        elif key == "catalog" and data is not None:
            self.machine_types = placement.read_machine_types(data)
        elif key == FORMAT_KEY:
            self.format_raised = self.format_raised or is_raised(data)

    def absorb_part(self, key, data, mod_revision):
        job_id, generation, number = read_part_key(key)
        job = self.jobs.get(job_id)
        if job is None or generation != job.generation:
            loose = self.loose_parts.setdefault(job_id, {})
            if data is not None:
                loose[(generation, number)] = (data, mod_revision)
            else:
                loose.pop((generation, number), None)
                self.remains.pop(key, None)
            if not loose:
                del self.loose_parts[job_id]
        elif data is None:
            self.merge(job, number, {}, mod_revision)
            job.parts.pop(number, None)
        elif number not in job.parts or job.parts[number].mod_revision < mod_revision:
            self.dirty.pop(key, None)
            self.merge(job, number, data, mod_revision)
            self.settle(job)

    def adopt_parts(self, job):
        """Takes over the parts of the job's layout that were seen before its record named them."""
        loose = self.loose_parts.pop(job.id, {})
        others = {}
        for (generation, number), (data, mod_revision) in loose.items():
            if generation == job.generation:
                self.merge(job, number, data, mod_revision)
            else:
                others[(generation, number)] = (data, mod_revision)
        if others:
            self.loose_parts[job.id] = others

    def change_layout(self, job, data):
        """The job's record names another layout of its parts; they were written before it."""
        since = {task: binding.since for task, binding in job.bindings()}
        loose = self.loose_parts.setdefault(job.id, {})
        for task in list(since):
            self.unbind(job, task)
        for number, part in job.parts.items():
            self.dirty.pop(job.part_key(number), None)
            if number:
                loose[(job.generation, number)] = ({}, part.mod_revision)
        job.size, job.generation, job.parts = data["z"], data.get("g", ""), {}
        self.adopt_parts(job)
        self.merge(job, 0, data.get("p", {}), 0)
        for task, binding in job.bindings():
            binding.since = since.get(task, binding.since)

    def merge(self, job, number, data, mod_revision):
        """Makes one part of the view what was committed; only differences cost anything."""
        part = job.part(number * job.size)
        rows = part.binding_rows(data)
        for task in [task for task in part.bindings if task not in rows]:
            self.unbind(job, task)
        for task, row in rows.items():
            binding = part.bindings.get(task)
            if binding is None or binding.row() != row:
                if binding is not None:
                    self.unbind(job, task)
                self.bind(job, task, Binding(*row))
        part.take_over(data, mod_revision)

    def bind(self, job, task, binding):
        binding.since = job.last_bound_at = self.now()
        job.part(task).bindings[task] = binding
        self.capacity.add(job, task, binding)
        machine = self.inventory.get(binding.machine)
        if machine is not None:
            self.images.add(
                binding.machine, job.spec.image, job.spec.image_gb, machine.type.cache_gb
            )

    def unbind(self, job, task):
        binding = job.part(task).bindings.pop(task)
        self.capacity.remove(job, task, binding)
        return binding

    def drop(self, job_id):
        job = self.jobs.pop(job_id, None)
        self.errors.pop(job_id, None)
        if job is not None:
            for task, _ in list(job.bindings()):
                self.unbind(job, task)

    def holder(self, job):
        return self.holders.get(shard_of(job.spec, self.settings.teams, self.shards))

    def mine(self, job):
        holder = self.holder(job)
        return (
            holder is not None
            and self.incarnation is not None
            and holder[:2] == (self.settings.node, self.incarnation)
        )

    def decides(self, job):
        """Whether this controller holds the job, and may change it now."""
        return self.mine(job) and not self.needs_relayout(job)

    def epoch_of(self, spec):
        """The condition that this controller still holds a job's shard: (key, stamp)."""
        shard = shard_of(spec, self.settings.teams, self.shards)
        return f"{LIVE_PREFIX}s/{shard}", self.holders[shard][2]

    def holds_first_shard(self):
        """Whether this controller is the one that removes what others left behind."""
        return self.holders.get(0, (None, None))[:2] == (self.settings.node, self.incarnation)
