"""The job_manager of the jobs: every node's view of all live jobs, and the decisions on those it
holds.

What is decided here is only wished for until the commit has succeeded; nothing leaves for a worker
from here. Workers are commanded by the agents slice, out of the committed copy.
"""

import logging
import math

from .. import placement
from ..fleet.taints import Taints
from ..membership import FORMAT_KEY, is_raised, shard_count
from ..state import LIVE, OVER, Follower
from ..state import wire as state_wire
from ..state.store import DECISIONS
from ..transport import NO_ANSWER
from .record import (
    KEEP,
    SAVE,
    STOP,
    Bound,
    Job,
    job_key,
    over_key,
    part_key,
    part_size,
    read_part_key,
    shard_of,
    task_name,
)
from .relayout import Relayout
from .releases import Releases
from .scheduler import Scheduler

log = logging.getLogger("emberglade.jobs")


# Leases that a machine rests after errors, or a job that fails everywhere: nobody may wait beside
# free room for much longer than a minute.
MOST_REST = 4


class JobManager(Scheduler, Releases, Relayout, Follower):
    """Every controller's view of all live jobs, and the decisions on those that it holds."""

    def __init__(self, settings, store):
        Scheduler.__init__(self, settings)
        Releases.__init__(self)
        Relayout.__init__(self)
        self.settings, self.store = settings, store
        self.format_raised = False  # whether every controller reads the new record format
        self.size = part_size(settings.value_bytes)
        self.shards = shard_count(settings)
        self.jobs = {}
        # Parts seen before their job, or of another layout than its own: {job: {(generation,
        # number): (data, stamp)}}
        self.loose_parts = {}
        self.holders = {}  # shard -> (node, incarnation, stamp)
        self.taints = Taints()
        self.types = {}
        self.inventory = {}  # machine -> placement.Machine
        self.dirty = {}  # key -> when it should be written
        self.flight = None  # keys of the commit on its way
        self.flight_shards = set()
        self.deferred = {}
        self.flush_at = float("inf")  # when the next flush is due
        self.most_writes = settings.txn_ops  # of one commit; fewer while the state service refuses
        self.write_share = settings.state_write_rps / settings.size
        self.written, self.written_at = 0.0, 0.0
        self.errors = {}  # job -> machines on which a task of it ended in error
        self.loaded = False
        self.agents = None  # set when the node is put together
        self.fresh_taints = set()  # machines whose taints came with the change at hand
        self.remains = {}  # parts of jobs that are over: {key: stamp}
        self.loose_since = {}

    def on_begin(self):
        super().on_begin()
        self.after(0.5, "tick")

    # --- the committed copy

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

    def absorb(self, key, data, stamp):
        if key.startswith("j/"):
            job_id = key[2:]
            job = self.jobs.get(job_id)
            if data is None:
                self.drop(job_id)
                return
            if job is not None and job.stamp() >= stamp:
                return
            if job is None:
                job = self.jobs[job_id] = Job.decode(job_id, data)
                job.borrow_urgency(self.graph.urgency.get(job_id))
                self.adopt_parts(job)
            elif data.get("g", "") != job.generation:
                self.change_layout(job, data)
            job.withdrawn = bool(data.get("w"))
            self.dirty.pop(key, None)
            self.merge(job, 0, data.get("p", {}), stamp)
            self.settle(job)
        elif key.startswith("t/"):
            self.absorb_part(key, data, stamp)
        elif key.startswith("s/"):
            if data is None:
                self.holders.pop(int(key[2:]), None)
            else:
                self.holders[int(key[2:])] = (data.get("node"), data.get("inc"), stamp)
        elif key.startswith("m/"):
            self.fresh_taints.update(self.taints.apply(key, data, stamp, self.now()))
        elif key == "catalog" and data is not None:
            self.types = placement.read_types(data)
        elif key == FORMAT_KEY:
            self.format_raised = self.format_raised or is_raised(data)

    def absorb_part(self, key, data, stamp):
        job_id, generation, number = read_part_key(key)
        job = self.jobs.get(job_id)
        if job is None or generation != job.generation:
            loose = self.loose_parts.setdefault(job_id, {})
            if data is not None:
                loose[(generation, number)] = (data, stamp)
            else:
                loose.pop((generation, number), None)
                self.remains.pop(key, None)
            if not loose:
                del self.loose_parts[job_id]
        elif data is None:
            self.merge(job, number, {}, stamp)
            job.parts.pop(number, None)
        elif number not in job.parts or job.parts[number].stamp < stamp:
            self.dirty.pop(key, None)
            self.merge(job, number, data, stamp)
            self.settle(job)

    def adopt_parts(self, job):
        """Takes over the parts of the job's layout that were seen before its record named them."""
        loose = self.loose_parts.pop(job.id, {})
        others = {}
        for (generation, number), (data, stamp) in loose.items():
            if generation == job.generation:
                self.merge(job, number, data, stamp)
            else:
                others[(generation, number)] = (data, stamp)
        if others:
            self.loose_parts[job.id] = others

    def change_layout(self, job, data):
        """The job's record names another layout of its parts; they were written before it."""
        since = {task: bound.since for task, bound in job.bound()}
        loose = self.loose_parts.setdefault(job.id, {})
        for task in list(since):
            self.unbind(job, task)
        for number, part in job.parts.items():
            self.dirty.pop(job.part_key(number), None)
            if number:
                loose[(job.generation, number)] = ({}, part.stamp)
        job.size, job.generation, job.parts = data["z"], data.get("g", ""), {}
        self.adopt_parts(job)
        self.merge(job, 0, data.get("p", {}), 0)
        for task, bound in job.bound():
            bound.since = since.get(task, bound.since)

    def merge(self, job, number, data, stamp):
        """Makes one part of the view what was committed; only differences cost anything."""
        part = job.part(number * job.size)
        rows = part.bound_rows(data)
        for task in [task for task in part.bound if task not in rows]:
            self.unbind(job, task)
        for task, row in rows.items():
            bound = part.bound.get(task)
            if bound is None or bound.row() != row:
                if bound is not None:
                    self.unbind(job, task)
                self.bind(job, task, Bound(*row))
        part.take_over(data, stamp)

    def bind(self, job, task, bound):
        bound.since = job.last_bound = self.now()
        job.part(task).bound[task] = bound
        self.room.add(job, task, bound)
        machine = self.inventory.get(bound.machine)
        if machine is not None:
            self.images.note(
                bound.machine, job.spec.image, job.spec.image_gb, machine.type.cache_gb
            )

    def unbind(self, job, task):
        bound = job.part(task).bound.pop(task)
        self.room.remove(job, task, bound)
        return bound

    def drop(self, job_id):
        job = self.jobs.pop(job_id, None)
        self.errors.pop(job_id, None)
        if job is not None:
            for task, _ in list(job.bound()):
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
        return f"{LIVE}s/{shard}", self.holders[shard][2]

    def holds_first_shard(self):
        """Whether this controller is the one that removes what others left behind."""
        return self.holders.get(0, (None, None))[:2] == (self.settings.node, self.incarnation)

    # --- what the agents saw: stable facts about one attempt on one machine

    def on_inventory(self, machines):
        self.inventory = machines
        self.open_machines = {name for name, machine in machines.items() if machine.open}
        self.room.inventory(machines)
        self.images.keep_only(machines)
        self.soon_place()

    def on_exited(self, job_id, task, attempt, machine, why, saved):
        job = self.jobs.get(job_id)
        if job is None or not self.decides(job) or not 0 <= task < job.spec.tasks:
            return
        part = job.part(task)
        bound = part.bound.get(task)
        if bound is None or (bound.attempt, bound.machine) != (attempt, machine):
            return
        self.unbind(job, task)
        if why == "done" and not job.spec.service:
            part.done.add(task)
        else:
            part.tried[task] = attempt
            self.failed(job, task, machine, why)
        self.touch(job, task, soon=False)
        self.settle(job)
        self.soon_place()

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
                self.suspects[machine] = (now + lease * min(2**count, MOST_REST), count + 1)
            job.hold[task] = now + (lease * min(len(machines), MOST_REST) if broken_job else 0)
            log.info(
                "%s ended in error on %s; %s",
                task_name(job.id, task),
                machine,
                "the job fails everywhere and is slowed" if broken_job else "the machine rests",
            )
        elif why in ("full", "busy"):
            self.suspects[machine] = (
                now + self.settings.report_s * 2,
                self.suspects.get(machine, (0, 0))[1],
            )
        elif why in ("incomplete", "mates_gone"):
            job.hold[task] = now + self.settings.report_s
        elif why == "no_such":
            job.hold[task] = now + lease / 2
        elif why == "done":
            job.hold[task] = now + self.settings.report_s

    def on_gone(self, job_id, task, attempt, machine):
        """Proof that this attempt is not on its machine and never will be again."""
        job = self.jobs.get(job_id)
        if job is None or not self.decides(job) or not 0 <= task < job.spec.tasks:
            return
        self.release(job, task, attempt, machine)
        self.settle(job)

    def release(self, job, task, attempt, machine):
        part = job.part(task)
        bound = part.bound.get(task)
        if bound is not None and (bound.attempt, bound.machine) == (attempt, machine):
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
            for (_, task), (job, bound) in list(self.room.on.get(machine, {}).items()):
                if not self.decides(job):
                    continue
                if taint in ("ended", "gone"):
                    moved.setdefault(machine, []).append(task_name(job.id, task))
                    self.release(job, task, bound.attempt, machine)
                    self.settle(job)
                elif taint == "drain" and bound.stop == KEEP:
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

    def on_stop(self, job_id, task, attempt, how, reason):
        """Another slice or node wants this attempt stopped: a spot notice, or room for others."""
        job = self.jobs.get(job_id)
        if job is None or not self.decides(job) or not 0 <= task < job.spec.tasks:
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

    def touch(self, job, task, soon=True):
        self.write_soon(job.part_key(task // job.size), soon)

    def settle(self, job):
        """Taints a job for its end when nothing more is to come of it."""
        if job.over() and self.mine(job):
            self.write_soon(job_key(job.id), True)

    def write_soon(self, key, soon):
        """Exits wait for company, since each written key counts; starts, stops and ends don't.

        They wait the less the fewer writes there are, since others see the free room only then.
        """
        now = self.now()
        delay = (
            0.02
            if soon
            else self.settings.report_s
            * min(1.0, max(0.1, 2 * self.write_rate(now, 0) / self.write_share))
        )
        due = now + (0.0 if soon else delay)
        if due < self.dirty.get(key, float("inf")):
            self.dirty[key] = due
        self.flush_in(delay)

    def write_rate(self, now, more):
        """Keys written a second, over the last few seconds; `more` of them just now."""
        window = 3 * self.settings.report_s
        self.written = self.written * math.exp((self.written_at - now) / window) + more
        self.written_at = now
        return self.written / window

    def flush_in(self, delay):
        at = self.now() + delay
        if self.flight is None and at < self.flush_at:
            self.flush_at = at
            self.after(delay, "flush")

    def on_flush(self):
        self.flush_at = float("inf")
        if self.flight is not None or not self.dirty:
            return
        if self.place_due and self.now() >= self.placed_at:
            # What has just become free or loose is placed first: one write a job instead of two.
            self.on_place()
        now = self.now()
        conditions, writes, keys, size = {}, [], {}, 0
        ends = []
        for key in sorted(
            (key for key, due in self.dirty.items() if due <= now), key=self.turn_to_write
        ):
            job_id = key.split("/")[1]
            job = self.jobs.get(job_id)
            if job is None or not self.mine(job):
                self.dirty.pop(key, None)
                continue
            ended = job.over()
            if not ended and self.needs_relayout(job):
                continue  # its parts may be too large to be written; they are laid out anew first
            if ended and key.startswith("t/"):
                # The end says all that is still of use.
                self.dirty.pop(key)
                continue
            if writes and (len(writes) + (2 if ended else 1) > self.most_writes or size > 40_000):
                break
            part = job.part(0) if key.startswith("j/") else job.parts[read_part_key(key).number]
            epoch, stamp = self.epoch_of(job.spec)
            conditions[epoch] = stamp
            conditions[LIVE + key] = part.stamp
            if ended:
                # The final state outlives the job: polls and retries may come at any time.
                end = {
                    "glow": "withdrawn" if job.withdrawn else "done",
                    "n": job.spec.tasks,
                    "d": job.done_count(),
                }
                writes += [
                    state_wire.put(OVER + over_key(job_id), end),
                    state_wire.remove(LIVE + key),
                ]
                ends.append((job_id, end["glow"]))
            else:
                writes.append(
                    state_wire.put(
                        LIVE + key, job.encode() if key.startswith("j/") else part.encode()
                    )
                )
                size += 400 + 48 * len(part.bound)
            keys[key] = part
            self.dirty.pop(key)
        if not writes:
            self.flush_rest()
            return
        self.write_rate(now, len(writes))
        self.flight = keys
        self.flight_shards = {
            int(key.rpartition("/")[2]) for key in conditions if key.startswith(LIVE + "s/")
        }
        self.deferred = {key: [] for key in keys}
        self.store.tell(
            "commit", DECISIONS, list(conditions.items()), writes, self.then("flushed", ends)
        )

    def turn_to_write(self, key):
        """When a third of the machines is lost, nearly every job has to be written: higher ranks go
        a little ahead, and nobody waits for ever.
        """
        job = self.jobs.get(key.split("/")[1])
        return self.dirty[key] + (
            job.spec.rank if job is not None else 0
        ) * self.settings.report_s / 4, key

    def on_flushed(self, ends, status, revision, failed):
        if status == 200 and revision is not None:
            self.most_writes = min(self.settings.txn_ops, 2 * self.most_writes)
            keys, self.flight = self.flight, None
            for part in keys.values():
                part.stamp = revision
            for job_id, glow in ends:
                job = self.jobs.get(job_id)
                log.info(
                    "%s is %s after %.1f s",
                    job_id,
                    glow,
                    self.system.wall() - job.spec.submitted if job else 0,
                )
                if job is not None:
                    self.drop(job_id)
                    self.remains.update(
                        (job.part_key(number), part.stamp)
                        for number, part in job.parts.items()
                        if number
                    )
            # Others' starts follow from the copy; it is asked for at once.
            self.store.tell("sync", lambda revision: None)
            self.absorb_deferred(revision)
        elif status in (503, 429):
            # Not executed: the same wish is written again a little later, in smaller commits if
            # there were too many writes for the moment.
            if status == 429:
                self.most_writes = max(1, self.most_writes // 2)
            keys, self.flight = self.flight, None
            now = self.now()
            self.dirty.update(dict.fromkeys(keys, now))
            self.absorb_deferred(-1)
            self.flush_in(self.settings.report_s / 8)
            return
        else:
            log.info(
                "a commit of %d keys got %s (%s); they are read again",
                len(self.flight),
                "no answer" if status == NO_ANSWER else status,
                failed,
            )
            if status == 400:
                log.error(
                    "the state service refuses a commit (%s); "
                    "what it was to write is worked out anew: %s",
                    failed,
                    " ".join(sorted(self.flight)[:8]),
                )
            if status in (400, 409):
                self.store.tell("sync", self.then("resync"))
            else:
                self.on_fence_flight()
            return
        self.drop_remains()
        self.flush_rest()
        self.soon_place()

    def flush_rest(self):
        due = [due for key, due in self.dirty.items() if not self.waits_for_relayout(key)]
        if due:
            self.flush_in(max(0.02, min(due) - self.now()))

    def absorb_deferred(self, revision):
        deferred, self.deferred = self.deferred, {}
        for events in deferred.values():
            for event in events:
                if event[2] > revision:
                    self.absorb(*event)

    def on_fence_flight(self):
        """Makes sure that a commit of unknown outcome is either applied by now or never will be.

        Once broken: it was applied late, when the room and the limit that it counted on had been
        given to others (rules/late_commit.txt). All that it hangs on are the epochs of its shards,
        so these are written anew.
        """
        epochs = {
            (shard, holder[2])
            for shard, holder in self.holders.items()
            if shard in self.flight_shards and holder[:2] == (self.settings.node, self.incarnation)
        }
        if not epochs:
            self.store.tell("sync", self.then("resync"))
            return
        self.store.tell(
            "commit",
            DECISIONS,
            [(f"{LIVE}s/{shard}", stamp) for shard, stamp in sorted(epochs)],
            [
                state_wire.put(
                    f"{LIVE}s/{shard}", {"node": self.settings.node, "inc": self.incarnation}
                )
                for shard, _ in sorted(epochs)
            ],
            self.then("fenced_flight"),
        )

    def on_fenced_flight(self, status, revision, failed):
        if status in (200, 409):
            # With 409 the epochs are others' already, or ours from a try that got no answer.
            self.store.tell("sync", self.then("resync"))
        else:
            self.after(self.settings.report_s / 3, "fence_flight")

    def on_resync(self, revision):
        if revision is None:
            self.after(0.5, "retry_sync")
            return
        self.store.tell("look", list(self.flight), self.then("looked"))

    def on_retry_sync(self):
        self.store.tell("sync", self.then("resync"))

    def on_looked(self, found):
        keys, self.flight = self.flight, None
        self.deferred = {}
        for part in keys.values():
            part.stamp = -1
        self.forget_wishes(found)
        self.soon_relayout()
        self.soon_place()
        self.flush_rest()

    def forget_wishes(self, found):
        """The view falls back to what is committed: `found`, as the copy shows it."""
        for key in found:
            self.dirty.pop(key, None)
            if found[key] is None and key.startswith("t/"):
                job_id, generation, number = read_part_key(key)
                job = self.jobs.get(job_id)
                if job is not None and job.generation == generation:
                    self.merge(job, number, {}, 0)
            else:
                self.absorb(key, *(found[key] or (None, 0)))

    def drop_remains(self):
        """Removes parts that nobody needs any more, a few at a time."""
        some = {key: self.remains.pop(key) for key in list(self.remains)[: self.most_writes]}
        some = {key: stamp for key, stamp in some.items() if self.is_unused(read_part_key(key))}
        if some:
            owners = {self.parts_unused_condition(key.split("/")[1]) for key in some}
            self.store.tell(
                "commit",
                DECISIONS,
                [(LIVE + key, stamp) for key, stamp in some.items()] + sorted(owners),
                [state_wire.remove(LIVE + key) for key in some],
                self.then("remains_dropped", some),
            )

    def is_unused(self, key):
        """Whether a part belongs to no live job, or to another layout than that of an own one."""
        job = self.jobs.get(key.job_id)
        return job is None or (self.mine(job) and key.generation != job.generation)

    def parts_unused_condition(self, job_id):
        """What a removal of a job's parts hangs on.

        A live job's own key is always there, so without it nobody needs its parts. Those of another
        layout are needed by nobody but the holder, who alone may change the layout.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return LIVE + job_key(job_id), 0
        return self.epoch_of(job.request)

    def on_remains_dropped(self, some, status, revision, failed):
        if status not in (200, 409):
            self.remains.update(some)

    def sweep_layouts(self):
        """Parts of other layouts than a job's own: its holder removes them, unless it is writing
        them just now.
        """
        for job_id, loose in self.loose_parts.items():
            job = self.jobs.get(job_id)
            if job is not None and self.mine(job) and not self.is_laid_out_anew(job_id):
                self.remains.update(
                    (part_key(job_id, number, generation), stamp)
                    for (generation, number), (_, stamp) in loose.items()
                )

    def sweep(self):
        """Parts that a crash left behind: one node removes those that had no job for long."""
        if not self.holds_first_shard():
            return
        now = self.now()
        self.loose_since = {
            job_id: self.loose_since.get(job_id, now)
            for job_id in self.loose_parts
            if job_id not in self.jobs
        }
        for job_id, since in self.loose_since.items():
            if now - since > 2 * self.settings.lease_s:
                self.remains.update(
                    (part_key(job_id, number, generation), stamp)
                    for (generation, number), (_, stamp) in self.loose_parts[job_id].items()
                )

    # --- now and then

    def on_tick(self):
        self.after(0.5, "tick")
        for job in list(self.jobs.values()):
            self.settle(job)
        # Once broken: the stops for a drained machine went with a commit that was not carried out,
        # and nobody asked for them again; its tasks neither ran nor moved
        # (rules/random_meetings_small_values.txt, 39).
        self.obey_taints(
            [
                machine
                for machine, taint in self.taints.items()
                if taint in ("ended", "gone", "drain") and machine in self.room.on
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
        own = [job for job in self.jobs.values() if self.mine(job) and not job.withdrawn]
        reply(
            placement.demand(
                own,
                placement.headroom(own, self.settings.objectives, self.types, self.system.wall()),
                self.types,
                self.settings.teams,
            ),
            placement.zone_shortage(
                own, self.room, self.open_machines.difference(self.taints.of), self.types
            ),
        )

    def on_occupied(self, reply):
        """`reply(machines that any bound task names)`."""
        reply(set(self.room.on))

    def on_replicas(self, reply):
        reply(sum(self.room.replicas.values()))
