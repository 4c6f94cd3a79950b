"""The keeper of the jobs: every node's view of all live jobs, and the decisions on those it holds.

What is decided here is only wished for until the commit has succeeded; nothing leaves for a
worker from here. Workers are commanded by the agents slice, out of the committed copy.
"""

import logging
import math

from .. import placement
from ..membership import shard_count
from ..state import LIVE, OVER, Follower
from ..state import wire as state_wire
from ..state.ledger import DECISIONS
from ..transport import NO_ANSWER
from .record import (
    KEEP,
    SAVE,
    STOP,
    Bound,
    Job,
    Part,
    job_key,
    over_key,
    part_key,
    part_size,
    shard_of,
    task_name,
)

log = logging.getLogger("emberglade.jobs")


class Keeper(Follower):
    def __init__(self, settings, ledger):
        self.settings, self.ledger = settings, ledger
        self.size = part_size(settings.value_bytes)
        self.shards = shard_count(settings)
        self.jobs = {}
        self.loose_parts = {}  # parts seen before their job
        self.holders = {}  # shard -> (node, incarnation, stamp)
        self.marks = {}  # machine -> mark
        self.types = {}
        self.inventory = {}  # machine -> placement.Machine
        self.images = placement.ImageCaches()
        self.dirty = set()
        self.flight = None
        self.deferred = {}
        self.flush_due = False
        self.place_due = False
        self.suspects = {}  # machine -> (until, errors)
        self.errors = {}  # job -> machines on which a task of it ended in error
        self.loaded = False
        self.desk = None  # set when the node is put together
        self.bound_at = {}  # (job, task, attempt) -> when it was first seen bound here
        self.asked = {}  # the same -> when its holder was asked to stop it

    def on_begin(self):
        super().on_begin()
        self.after(0.5, "tick")

    # --- the committed copy

    def on_changed(self, events, revision, whole):
        self.loaded = True
        if whole:
            seen = {key for key, data, _ in events if data is not None}
            for job_id in [j for j in self.jobs if job_key(j) not in seen]:
                del self.jobs[job_id]
        for event in events:
            if event[0] in self.deferred:
                self.deferred[event[0]].append(event)
            else:
                self.absorb(*event)
        self.soon_place()

    def absorb(self, key, data, stamp):
        if key.startswith("j/"):
            job_id = key[2:]
            old = self.jobs.get(job_id)
            if data is None:
                if old is not None:
                    del self.jobs[job_id]
                    self.errors.pop(job_id, None)
                return
            if old is not None and old.stamp() >= stamp:
                return
            job = Job.decode(job_id, data, stamp)
            if old is not None:
                job.hold = old.hold
                for number, part in old.parts.items():
                    if number:
                        job.parts[number] = part
            for number, part in self.loose_parts.pop(job_id, {}).items():
                job.parts.setdefault(number, part)
            self.jobs[job_id] = job
            self.dirty.discard(key)
            self.note_images(job)
            self.settle(job)
        elif key.startswith("t/"):
            _, job_id, number = key.split("/")
            number, job = int(number), self.jobs.get(job_id)
            parts = job.parts if job is not None else self.loose_parts.setdefault(job_id, {})
            if data is None:
                parts.pop(number, None)
                if job is None and not parts:
                    self.loose_parts.pop(job_id, None)
            elif number not in parts or parts[number].stamp < stamp:
                parts[number] = Part.decode(data, stamp)
                self.dirty.discard(key)
                if job is not None:
                    self.note_images(job)
                    self.settle(job)
        elif key.startswith("s/"):
            if data is None:
                self.holders.pop(int(key[2:]), None)
            else:
                self.holders[int(key[2:])] = (data.get("node"), data.get("inc"), stamp)
        elif key.startswith("m/"):
            if data is None:
                self.marks.pop(key[2:], None)
            else:
                self.marks[key[2:]] = data.get("mark")
                self.marked(key[2:])
        elif key == "catalog" and data is not None:
            self.types = placement.read_types(data)

    def note_images(self, job):
        for _, bound in job.bound():
            machine = self.inventory.get(bound.machine)
            if machine is not None:
                self.images.note(bound.machine, job.spec.image, job.spec.image_gb, machine.type.cache_gb)

    def holder(self, job):
        return self.holders.get(shard_of(job.spec, self.settings.teams, self.shards))

    def mine(self, job):
        holder = self.holder(job)
        return holder is not None and self.incarnation is not None and holder[:2] == (self.settings.node, self.incarnation)

    # --- what the agents saw: stable facts about one attempt on one machine

    def on_inventory(self, machines):
        self.inventory = machines
        self.images.keep_only(machines)
        self.soon_place()

    def on_exited(self, job_id, task, attempt, machine, why, saved):
        job = self.jobs.get(job_id)
        if job is None or not self.mine(job) or not 0 <= task < job.spec.tasks:
            return
        part = job.part(task)
        bound = part.bound.get(task)
        if bound is None or (bound.attempt, bound.machine) != (attempt, machine):
            return
        del part.bound[task]
        if why == "done" and not job.spec.service:
            part.done.add(task)
        else:
            part.tried[task] = attempt
            self.failed(job, task, machine, why)
        self.touch(job, task)
        self.settle(job)

    def failed(self, job, task, machine, why):
        now = self.now()
        lease = self.settings.lease_s
        if why == "error":
            # Mostly the machine is faulty, so it rests; a job that fails everywhere is slowed.
            machines = self.errors.setdefault(job.id, set())
            machines.add(machine)
            broken_job = len(machines) >= 3
            if not broken_job:
                _, count = self.suspects.get(machine, (0, 0))
                self.suspects[machine] = (now + lease * 2 ** min(count, 5), count + 1)
            job.hold[task] = now + (lease * min(len(machines), 8) if broken_job else 0)
            log.info("%s ended in error on %s; %s", task_name(job.id, task), machine,
                     "the job fails everywhere and is slowed" if broken_job else "the machine rests")
        elif why in ("full", "busy"):
            self.suspects[machine] = (now + self.settings.report_s * 2, self.suspects.get(machine, (0, 0))[1])
        elif why in ("incomplete", "mates_gone"):
            job.hold[task] = now + self.settings.report_s
        elif why == "no_such":
            job.hold[task] = now + lease / 2
        elif why == "done":
            job.hold[task] = now + self.settings.report_s

    def on_gone(self, job_id, task, attempt, machine):
        """Proof that this attempt is not on its machine and never will be again."""
        job = self.jobs.get(job_id)
        if job is None or not self.mine(job) or not 0 <= task < job.spec.tasks:
            return
        self.release(job, task, attempt, machine)
        self.settle(job)

    def release(self, job, task, attempt, machine):
        part = job.part(task)
        bound = part.bound.get(task)
        if bound is not None and (bound.attempt, bound.machine) == (attempt, machine):
            del part.bound[task]
            part.tried[task] = attempt
            self.touch(job, task)

    def marked(self, machine):
        mark = self.marks.get(machine)
        for job in list(self.jobs.values()):
            if not self.mine(job):
                continue
            for task, bound in list(job.bound()):
                if bound.machine != machine:
                    continue
                if mark in ("ended", "gone"):
                    log.info("%s moves: %s is %s", task_name(job.id, task), machine, mark)
                    self.release(job, task, bound.attempt, machine)
                elif mark == "drain" and bound.stop == KEEP:
                    self.stop(job, task, SAVE, "its machine is drained")
            self.settle(job)

    def on_stop(self, job_id, task, attempt, how, reason):
        """Another slice or node wants this attempt stopped: a spot notice, or room for others."""
        job = self.jobs.get(job_id)
        if job is None or not self.mine(job) or not 0 <= task < job.spec.tasks:
            return
        bound = job.part(task).bound.get(task)
        if bound is not None and bound.attempt == attempt and bound.stop == KEEP:
            self.stop(job, task, how, reason)

    def stop(self, job, task, how, reason):
        bound = job.part(task).bound[task]
        log.info("stopping %s on %s: %s", task_name(job.id, task), bound.machine, reason)
        bound.stop = SAVE if how == SAVE and job.spec.checkpoint_s > 0 else STOP
        self.touch(job, task)

    # --- writing

    def touch(self, job, task):
        number = task // job.size
        self.dirty.add(part_key(job.id, number) if number else job_key(job.id))
        self.soon_flush()

    def settle(self, job):
        """Marks a job for its end when nothing more is to come of it."""
        if not self.mine(job):
            return
        if job.over():
            self.dirty.add(job_key(job.id))
            self.soon_flush()

    def soon_flush(self):
        if not self.flush_due and self.flight is None:
            self.flush_due = True
            self.after(0.02, "flush")

    def on_flush(self):
        self.flush_due = False
        if self.flight is not None or not self.dirty:
            return
        conditions, writes, keys, shards, size = {}, [], {}, set(), 0
        ends = []
        for key in sorted(self.dirty):
            job_id = key.split("/")[1]
            job = self.jobs.get(job_id)
            if job is None or not self.mine(job):
                self.dirty.discard(key)
                continue
            holder = self.holder(job)
            ended = job.over()
            if len(writes) + (2 if ended else 1) > self.settings.txn_ops or size > 40_000:
                break
            conditions[f"{LIVE}s/{shard_of(job.spec, self.settings.teams, self.shards)}"] = holder[2]
            if key.startswith("j/"):
                part = job.part(0)
                conditions[LIVE + key] = part.stamp
                if ended and self.other_parts_clean(job):
                    # The final state outlives the job: polls and retries may come at any time.
                    end = {"glow": "withdrawn" if job.withdrawn else "done", "n": job.spec.tasks, "d": job.done_count()}
                    writes += [state_wire.put(OVER + over_key(job_id), end), state_wire.remove(LIVE + key)]
                    ends.append((job_id, end["glow"]))
                else:
                    data = job.encode()
                    size += 400 + 48 * len(part.bound)
                    writes.append(state_wire.put(LIVE + key, data))
            else:
                number = int(key.split("/")[2])
                part = job.parts[number]
                conditions[LIVE + key] = part.stamp
                size += 48 * len(part.bound)
                writes.append(state_wire.put(LIVE + key, part.encode()))
            keys[key] = part
            self.dirty.discard(key)
            shards.add(key)
        if not writes:
            return
        self.flight = keys
        self.deferred = {key: [] for key in keys}
        self.ledger.tell("commit", DECISIONS, list(conditions.items()), writes, self.then("flushed", ends))

    def other_parts_clean(self, job):
        return not any(part_key(job.id, number) in self.dirty for number in job.parts if number)

    def on_flushed(self, ends, status, revision, failed):
        if status == 200 and revision is not None:
            keys, self.flight = self.flight, None
            for part in keys.values():
                part.stamp = revision
            for job_id, glow in ends:
                job = self.jobs.pop(job_id, None)
                log.info("%s is %s after %.1f s", job_id, glow, self.system.wall() - job.spec.submitted if job else 0)
                if job is not None and len(job.parts) > 1:
                    self.drop_parts(job)
            deferred, self.deferred = self.deferred, {}
            for events in deferred.values():
                for event in events:
                    if event[2] > revision:
                        self.absorb(*event)
        else:
            if status in (503, 429):
                # Not executed: the same wish is written again a little later.
                keys, self.flight = self.flight, None
                deferred, self.deferred = self.deferred, {}
                self.dirty.update(keys)
                for events in deferred.values():
                    for event in events:
                        self.absorb(*event)
                self.flush_due = True
                self.after(0.2, "flush")
                return
            log.info("a commit of %d keys got %s (%s); they are read again", len(self.flight),
                     "no answer" if status == NO_ANSWER else status, failed)
            self.ledger.tell("sync", self.then("resync"))
            return
        if self.dirty:
            self.soon_flush()
        self.soon_place()

    def on_resync(self, revision):
        if revision is None:
            self.after(0.5, "retry_sync")
            return
        self.ledger.tell("look", list(self.flight), self.then("looked"))

    def on_retry_sync(self):
        self.ledger.tell("sync", self.then("resync"))

    def on_looked(self, found):
        keys, self.flight = self.flight, None
        self.deferred = {}
        for key in keys:
            self.dirty.discard(key)
            # Forget the wish: the view falls back to what is committed.
            job_id = key.split("/")[1]
            job = self.jobs.get(job_id)
            if key.startswith("j/"):
                if job is not None:
                    job.part(0).stamp = 0
            elif job is not None:
                job.parts.pop(int(key.split("/")[2]), None)
            if found[key] is None:
                self.absorb(key, None, 0)
            else:
                self.absorb(key, *found[key])
        self.soon_place()
        if self.dirty:
            self.soon_flush()

    def drop_parts(self, job):
        keys = [part_key(job.id, number) for number in job.parts if number]
        for first in range(0, len(keys), self.settings.txn_ops):
            some = keys[first:first + self.settings.txn_ops]
            self.ledger.tell("commit", DECISIONS, [], [state_wire.remove(LIVE + key) for key in some],
                             lambda status, revision, failed: None)

    # --- placing

    def soon_place(self):
        if not self.place_due:
            self.place_due = True
            self.after(0.05, "place")

    def on_tick(self):
        self.after(0.5, "tick")
        for job in list(self.jobs.values()):
            self.settle(job)
            if self.mine(job):
                for task, bound in list(job.bound()):
                    if self.marks.get(bound.machine) in ("ended", "gone"):
                        self.release(job, task, bound.attempt, bound.machine)
        self.soon_place()

    def on_place(self):
        self.place_due = False
        now = self.now()
        if not self.loaded or not self.types or self.flight is not None:
            return
        waiting = [job for job in self.jobs.values() if not job.withdrawn and job.waiting_count()]
        if not any(self.mine(job) for job in waiting):
            return
        room = placement.Room(
            self.inventory,
            [name for name, machine in self.inventory.items()
             if name not in self.marks and self.suspects.get(name, (0, 0))[0] <= now and machine.open],
            self.jobs.values(), self.settings.teams, self.images)
        wall = self.system.wall()
        waiting.sort(key=lambda job: placement.order(job.spec, self.settings.objectives, wall))
        budget = self.settings.txn_ops * 4 * self.size
        spare = placement.headroom(self.jobs.values(), self.settings.objectives, self.types, wall)
        for job in waiting:
            for ahead, tasks in [row for row in spare if row[0].spec.rank < job.spec.rank]:
                spare.remove((ahead, tasks))
                for _ in range(math.ceil(tasks)):
                    machine = room.choose(ahead)
                    if machine is not None:
                        room.take(ahead, machine)
            # Every holder plays the round through for all jobs, in the same order, and binds only
            # its own tasks: room that a free machine offers is not fought over by three nodes.
            mine = self.mine(job)
            if budget <= 0 and mine:
                continue
            if job.spec.together and not job.bound_count() and not room.holds_all(job, job.waiting_count()):
                continue
            for task in job.waiting(now, min(job.waiting_count(), 256)):
                if not mine and job.part(task).tried.get(task, 0) > 3:
                    continue  # its holder may well be holding it back
                machine = room.choose(job)
                if machine is None:
                    break
                if not mine:
                    room.take(job, machine)
                    continue
                log.info("placing %s on %s after %.1f s%s", task_name(job.id, task), machine,
                         self.system.wall() - job.spec.submitted,
                         "" if self.images.has(machine, job.spec.image) else f", image {job.spec.image} not cached")
                self.images.note(machine, job.spec.image, job.spec.image_gb, self.inventory[machine].type.cache_gb)
                part = job.part(task)
                attempt = part.tried.pop(task, 0) + 1
                part.bound[task] = Bound(attempt, machine, self.inventory[machine].session)
                room.take(job, machine)
                self.touch(job, task)
                budget -= 1
        self.preempt(now, waiting, room)

    def pressing(self, job, now):
        """Whether a waiting job may have others stopped now: a deadline leaves room for patience."""
        spec = job.spec
        age = self.system.wall() - spec.submitted
        if spec.service:
            return age > 2 * self.settings.report_s / 10
        if spec.deadline_s is not None:
            return spec.deadline_s - age < spec.estimate_s * 1.5 + self.settings.lease_s
        return spec.rank < 2 and age > self.settings.lease_s

    def preempt(self, now, waiting, room):
        keys = set()
        bound = []
        for job in self.jobs.values():
            for task, b in job.bound():
                key = (job.id, task, b.attempt)
                keys.add(key)
                self.bound_at.setdefault(key, now)
                bound.append((job, task, b))
        self.bound_at = {key: at for key, at in self.bound_at.items() if key in keys}
        self.asked = {key: at for key, at in self.asked.items() if key in keys and now - at < 2 * self.settings.report_s}
        own = [job for job in waiting if self.mine(job) and job.waiting_count() and self.pressing(job, now)]
        if not own:
            return

        def stopping(row):
            return row[2].stop != KEEP or row[0].withdrawn or (row[0].id, row[1], row[2].attempt) in self.asked

        def fresh(row):
            # A start that is stopped within 30 s does not count as one for its user.
            return now - self.bound_at[(row[0].id, row[1], row[2].attempt)] < 30

        # What is being stopped already will be room; it is counted as such, not stopped for twice.
        keep = [row for row in bound if not stopping(row)]
        for row in bound:
            if stopping(row):
                room.give(row[0], row[2].machine)
        for job in own:
            most = min(job.waiting_count(), 64)
            for _ in range(most):
                if not room.within_limit(job.spec):
                    victims = placement.preempt.for_limit(job.spec, 1, keep, room, self.settings.teams, fresh)
                    if not victims:
                        break
                elif room.choose(job) is not None:
                    room.take(job, room.choose(job))
                    continue
                else:
                    found = placement.preempt.for_room(job, keep, room, self.settings.teams, fresh)
                    if found is None:
                        break
                    victims = found[1]
                for row in victims:
                    keep.remove(row)
                    room.give(row[0], row[2].machine)
                    self.ask_stop(now, row, f"room for {job.id}")
                chosen = room.choose(job)
                if chosen is not None:
                    room.take(job, chosen)

    def ask_stop(self, now, row, reason):
        job, task, bound = row
        if self.mine(job):
            self.stop(job, task, SAVE, reason)
        else:
            self.asked[(job.id, task, bound.attempt)] = now
            self.desk.tell("ask_stop", job.id, task, bound.attempt, SAVE, reason)

    # --- questions of other slices

    def on_count(self, job_id, reply):
        """`reply(done, bound)`, for display."""
        job = self.jobs.get(job_id)
        reply(*((0, 0) if job is None else (job.done_count(), job.bound_count())))

    def on_demand(self, reply):
        """`reply({pool: machines})`: what own jobs ask for, in whole machines."""
        own = [job for job in self.jobs.values() if self.mine(job) and not job.withdrawn]
        reply(placement.demand(own, placement.headroom(own, self.settings.objectives, self.types, self.system.wall()),
                               self.types, self.settings.teams))

    def on_occupied(self, reply):
        """`reply(machines that any bound task names)`."""
        reply({bound.machine for job in self.jobs.values() for _, bound in job.bound()})
