"""What the committed copy wants on each machine, and what of it has just changed."""

import logging
from typing import NamedTuple

from ..actors import tell
from ..fleet.taints import Taints
from ..jobs.record import KEEP, read_part_key
from ..placement import read_machine_types
from .wire import records

log = logging.getLogger("emberglade.agents")


class Wanted(NamedTuple):
    """A task that the committed copy shows bound to a machine."""

    attempt: int
    stop: int  # KEEP, STOP or SAVE
    stop_seen: int  # revision at which the stop was seen
    agent_epoch: int  # of the machine


class Entry:
    """What the agents has of a live job: only what decides over commands."""

    __slots__ = ("spec", "generation", "cancelled", "cancelled_at", "parts")

    def __init__(self, spec, generation):
        # `cancelled_at`: the revision at which the cancellation was seen; `generation`: of the
        # layout of its parts
        self.spec, self.cancelled, self.cancelled_at, self.parts = spec, False, 0, {}
        self.generation = generation

    def bindings(self):
        """(task, row as kept) of all bound tasks."""
        for rows in self.parts.values():
            yield from rows.items()


class CommittedBindings:
    """The part of the agent manager that follows the copy."""

    def __init__(self):
        self.jobs = {}  # job -> Entry
        self.bindings = {}  # machine -> {(job, task): Wanted}
        # Machines whose bindings or taint changed since their last report here.
        self.touched = set()
        self.fresh = []  # bindings and stops that came with the change at hand
        self.loose = {}  # parts seen before their job, or of another layout than its own
        self.taints = Taints()
        self.holders = {}  # shard -> node
        self.machine_types = {}
        self.nodes = set()  # controllers whose keys are there
        self.revision = -1

    def on_changed(self, events, revision, whole):
        if whole:
            alive = {key for key, data, _ in events if data is not None}
            for job_id in [j for j in self.jobs if records.job_key(j) not in alive]:
                self.drop_job(job_id)
            self.nodes = set()
            self.taints.forget()
        tables = set()
        for key, data, mod_revision in events:
            self.absorb(key, data, mod_revision, tables)
        self.revision = max(self.revision, revision)
        self.evidence.compare_replicas(self.revision)
        if tables or whole:
            self.evidence.nodes(self.nodes, self.now())
        for node in tables:
            self.read_table(node)
        fresh, self.fresh = self.fresh, []
        if not whole:
            self.command_directly(fresh)

    def absorb(self, key, data, mod_revision, tables):
        if key.startswith(records.JOB_PREFIX):
            job_id = key[2:]
            if data is None:
                self.drop_job(job_id)
                return
            entry = self.jobs.get(job_id)
            generation = records.job_generation(data)
            if entry is None:
                entry = self.jobs[job_id] = Entry(records.job_spec(job_id, data), generation)
                if job_id in self.heard_cancelled:
                    self.see_cancellation(job_id, entry, self.heard_cancelled[job_id])
                for number, (part, part_mod_revision) in self.take_loose(
                    job_id, generation
                ).items():
                    self.put_part(job_id, entry, number, part, part_mod_revision)
            elif generation != entry.generation:
                self.change_layout(job_id, entry, data, mod_revision)
            if records.job_is_cancelled(data) and not entry.cancelled:
                self.see_cancellation(job_id, entry, mod_revision)
            self.put_part(job_id, entry, 0, records.first_chunk(data), mod_revision)
        elif key.startswith(records.CHUNK_PREFIX):
            self.absorb_part(key, data, mod_revision)
        elif key.startswith(records.TAINT_PREFIX):
            self.touched.update(self.taints.apply(key, data, mod_revision, self.now()))
        elif key.startswith(records.SHARD_PREFIX):
            if data is not None:
                self.holders[int(key[2:])] = records.shard_holder(data)
        elif key.startswith(records.NODE_PREFIX):
            node = key[2:]
            tables.add(node)
            if data is None:
                self.nodes.discard(node)
                self.tables.pop(node, None)
            else:
                self.nodes.add(node)
                self.tables.setdefault(node, {})[key] = data
        elif key.startswith(records.OVERFLOW_PREFIX):
            node = records.overflow_owner(key)
            if data is None:
                self.tables.get(node, {}).pop(key, None)
            else:
                self.tables.setdefault(node, {})[key] = data
                tables.add(node)
        elif key.startswith(records.UNDELIVERED_PREFIX):
            for update in records.read_undelivered(data, self.settings.node):
                tell(self.job_manager.on_task_update, update)
        elif key == records.CATALOG_KEY and data is not None:
            self.machine_types = read_machine_types(data)

    def absorb_part(self, key, data, mod_revision):
        job_id, generation, number = read_part_key(key)
        entry = self.jobs.get(job_id)
        if entry is not None and generation == entry.generation:
            self.put_part(job_id, entry, number, data or {}, mod_revision)
        elif data is not None:
            self.loose.setdefault(job_id, {})[(generation, number)] = (data, mod_revision)
        else:
            self.loose.get(job_id, {}).pop((generation, number), None)
            if not self.loose.get(job_id, True):
                del self.loose[job_id]

    def take_loose(self, job_id, generation):
        """{number: (data, stamp)} of the parts of this layout that were seen before the record
        named it.
        """
        loose = self.loose.get(job_id, {})
        taken = {number: loose.pop((of, number)) for of, number in list(loose) if of == generation}
        if not loose:
            self.loose.pop(job_id, None)
        return taken

    def change_layout(self, job_id, entry, data, mod_revision):
        """The record names other parts. The tasks that both show bound stay so, in one step."""
        old = dict(entry.bindings())
        parts = {
            number: records.bound_tasks(part)
            for number, (part, _) in self.take_loose(job_id, records.job_generation(data)).items()
        }
        parts[0] = records.bound_tasks(records.first_chunk(data))
        entry.generation, entry.parts = records.job_generation(data), parts
        self.rebind(job_id, old, dict(entry.bindings()), mod_revision)

    def drop_job(self, job_id):
        entry = self.jobs.pop(job_id, None)
        self.loose.pop(job_id, None)
        self.forget_cancellation(job_id)
        if entry is not None:
            for number in list(entry.parts):
                self.put_part(job_id, entry, number, {}, 0)

    def put_part(self, job_id, entry, number, data, mod_revision):
        """Takes over one part; costs little for the tasks whose binding is the same as before."""
        old, new = entry.parts.get(number, {}), records.bound_tasks(data)
        self.rebind(job_id, old, new, mod_revision)
        entry.parts[number] = new

    def rebind(self, job_id, old, new, mod_revision):
        """Makes the bound tasks `old` of a job `new`; only differences cost anything."""
        for task, row in old.items():
            if new.get(task) != row:
                here = self.bindings[row[1]]
                before = here.pop((job_id, task))
                if not here:
                    del self.bindings[row[1]]
                self.touched.add(row[1])
                if task in new and new[task][0] == row[0]:
                    # The same attempt: a stop counts from when it was first seen.
                    self.want(
                        job_id, task, new[task], before.stop_seen if before.stop else mod_revision
                    )
                    self.fresh.append((job_id, task, *new[task][:3]))
        for task, row in new.items():
            before = old.get(task)
            if before is None or before[0] != row[0]:
                self.want(job_id, task, row, mod_revision)
                self.fresh.append((job_id, task, *row[:3]))

    def want(self, job_id, task, row, since):
        attempt, machine, agent_epoch, *stop = row
        wanted = Wanted(attempt, stop[0] if stop else KEEP, since, agent_epoch)
        self.bindings.setdefault(machine, {})[(job_id, task)] = wanted
        self.touched.add(row[1])
