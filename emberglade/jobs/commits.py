"""The job manager's writes: what changed is committed together, one commit at a time."""

import logging
import math

from ..actors import callback, tell, tell_after
from ..state import FINAL_PREFIX, LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from ..transport import status_text
from .record import (
    final_key,
    job_key,
    read_part_key,
)

log = logging.getLogger("emberglade.jobs")


class Commits:
    """The part of the job manager that commits decisions and settles commits of unknown outcome."""

    def __init__(self, settings):
        self.dirty = {}  # key -> when it should be written
        self.flight = None  # keys of the commit on its way
        self.flight_shards = set()
        self.deferred = {}  # changes of these keys that came meanwhile
        self.flush_at = float("inf")  # when the next flush is due
        self.most_writes = settings.txn_ops  # of one commit; fewer while the state service refuses
        self.write_share = settings.state_write_rps / settings.size
        self.written, self.written_at = 0.0, 0.0

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
            else self.settings.agent_heartbeat_s
            * min(1.0, max(0.1, 2 * self.write_rate(now, 0) / self.write_share))
        )
        due = now + (0.0 if soon else delay)
        if due < self.dirty.get(key, float("inf")):
            self.dirty[key] = due
        self.flush_in(delay)

    def write_rate(self, now, more):
        """Keys written a second, over the last few seconds; `more` of them just now."""
        window = 3 * self.settings.agent_heartbeat_s
        self.written = self.written * math.exp((self.written_at - now) / window) + more
        self.written_at = now
        return self.written / window

    def flush_in(self, delay):
        at = self.now() + delay
        if self.flight is None and at < self.flush_at:
            self.flush_at = at
            tell_after(delay, self.on_flush)

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
            epoch, mod_revision = self.epoch_of(job.spec)
            conditions[epoch] = mod_revision
            conditions[LIVE_PREFIX + key] = part.mod_revision
            if ended:
                # The final state outlives the job: polls and retries may come at any time.
                end = {
                    "glow": "withdrawn" if job.cancelled else "done",
                    "n": job.spec.tasks,
                    "d": job.done_count(),
                }
                writes += [
                    state_wire.put(FINAL_PREFIX + final_key(job_id), end),
                    state_wire.remove(LIVE_PREFIX + key),
                ]
                ends.append((job_id, end["glow"]))
            else:
                writes.append(
                    state_wire.put(
                        LIVE_PREFIX + key, job.encode() if key.startswith("j/") else part.encode()
                    )
                )
                size += 400 + 48 * len(part.bindings)
            keys[key] = part
            self.dirty.pop(key)
        if not writes:
            self.flush_rest()
            return
        self.write_rate(now, len(writes))
        self.flight = keys
        self.flight_shards = {
            int(key.rpartition("/")[2]) for key in conditions if key.startswith(LIVE_PREFIX + "s/")
        }
        self.deferred = {key: [] for key in keys}
        tell(
            self.store.on_commit,
            DECISIONS,
            list(conditions.items()),
            writes,
            callback(self.on_flushed, ends),
        )

    def turn_to_write(self, key):
        """When a third of the machines is lost, nearly every job has to be written: higher ranks go
        a little ahead, and nobody waits for ever.
        """
        job = self.jobs.get(key.split("/")[1])
        return self.dirty[key] + (
            job.spec.priority if job is not None else 0
        ) * self.settings.agent_heartbeat_s / 4, key

    def on_flushed(self, ends, status, revision, failed):
        if status == 200 and revision is not None:
            self.most_writes = min(self.settings.txn_ops, 2 * self.most_writes)
            keys, self.flight = self.flight, None
            for part in keys.values():
                part.mod_revision = revision
            for job_id, glow in ends:
                job = self.jobs.get(job_id)
                log.info(
                    "%s is %s after %.1f s",
                    job_id,
                    glow,
                    self.system.wall() - job.spec.submitted_at if job else 0,
                )
                if job is not None:
                    self.drop(job_id)
                    self.remains.update(
                        (job.part_key(number), part.mod_revision)
                        for number, part in job.parts.items()
                        if number
                    )
            # Others' starts follow from the copy; it is asked for at once.
            tell(self.store.on_sync, lambda revision: None)
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
            self.flush_in(self.settings.agent_heartbeat_s / 8)
            return
        else:
            log.info(
                "a commit of %d keys got %s (%s); they are read again",
                len(self.flight),
                status_text(status),
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
                tell(self.store.on_sync, callback(self.on_resync))
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
        given to others (protocol_rules/late_commit.txt). All that it hangs on are the epochs of its
        shards, so these are written anew.
        """
        epochs = {
            (shard, holder[2])
            for shard, holder in self.holders.items()
            if shard in self.flight_shards and holder[:2] == (self.settings.node, self.incarnation)
        }
        if not epochs:
            tell(self.store.on_sync, callback(self.on_resync))
            return
        tell(
            self.store.on_commit,
            DECISIONS,
            [(f"{LIVE_PREFIX}s/{shard}", mod_revision) for shard, mod_revision in sorted(epochs)],
            [
                state_wire.put(
                    f"{LIVE_PREFIX}s/{shard}", {"node": self.settings.node, "inc": self.incarnation}
                )
                for shard, _ in sorted(epochs)
            ],
            callback(self.on_fenced_flight),
        )

    def on_fenced_flight(self, status, revision, failed):
        if status in (200, 409):
            # With 409 the epochs are others' already, or ours from a try that got no answer.
            tell(self.store.on_sync, callback(self.on_resync))
        else:
            tell_after(self.settings.agent_heartbeat_s / 3, self.on_fence_flight)

    def on_resync(self, revision):
        if revision is None:
            tell_after(0.5, self.on_retry_sync)
            return
        tell(self.store.on_read_replica, list(self.flight), callback(self.on_looked))

    def on_retry_sync(self):
        tell(self.store.on_sync, callback(self.on_resync))

    def on_looked(self, found):
        keys, self.flight = self.flight, None
        self.deferred = {}
        for part in keys.values():
            part.mod_revision = -1
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
