"""Releases waiting jobs whose needs are done, and ends those that are cancelled with a need.

Each is one transaction, conditional on the shard's epoch and on the waiting job's own key: it
becomes a live job or gets its final state at once, and only one of the two. Applied late or twice,
it changes nothing.
"""

import logging

from ..actors import callback, tell, tell_after
from ..state import FINAL_PREFIX, LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS
from . import wire
from .chunking import chunk_size_for
from .dependencies import DependencyGraph
from .job import Job
from .waiting_job import released_spec
from .wire import Outcome

log = logging.getLogger("emberglade.jobs")

WRITES_OF_ONE = 2  # changes that a release or an end takes
MAX_READS = 16  # final keys of needs that are read at the same time


class Releases:
    """The part of the job manager that looks after the waiting jobs of the shards that it holds."""

    def __init__(self):
        self.graph = DependencyGraph()
        self.release_busy = False
        self.needs_read = set()  # needs whose final key is being read
        self.unused_lists = {}  # (job, list id) of pieces that no waiting job names -> since when

    def follow_dependencies(self, events, whole):
        self.graph.apply(events, whole)
        for job_id in self.graph.urgency.take_changes():
            job = self.jobs.get(job_id)
            if job is not None:
                job.inherit_urgency(self.graph.urgency.get(job_id))
        self.soon_release()

    def own_waiting(self, job_ids):
        """Those of these waiting jobs whose shards this controller holds."""
        return [job_id for job_id in job_ids if self.mine(self.graph.waiting[job_id])]

    # --- how needs ended, where the copy doesn't tell

    def read_needs(self):
        for need in self.graph.unresolved - self.needs_read:
            if len(self.needs_read) >= MAX_READS:
                return
            if self.own_waiting(self.graph.dependents.get(need, ())):
                self.needs_read.add(need)
                tell(
                    self.store.on_read,
                    DECISIONS,
                    FINAL_PREFIX + wire.final_key(need),
                    callback(self.on_need_read, need),
                )

    def on_need_read(self, need, status, data, mod_revision):
        self.needs_read.discard(need)
        final = wire.read_final(status, data)
        if final is not None:
            self.graph.resolve(need, final.outcome)
            self.soon_release()

    # --- releases and ends

    def soon_release(self):
        if self.incarnation is None:
            return
        if self.graph.unresolved:
            self.read_needs()
        if not self.release_busy and (self.graph.ready or self.graph.cancelled):
            self.release_some()

    def release_some(self):
        """As many as one transaction takes; releases first, the most urgent of them first."""
        graph = self.graph
        ready = sorted(
            self.own_waiting(graph.ready),
            key=lambda job_id: (
                graph.urgency.of_waiting(job_id).priority,
                job_id,
            ),
        )
        most = max(1, self.most_writes // WRITES_OF_ONE)
        ready = ready[:most]
        ends = sorted(self.own_waiting(graph.cancelled))[: most - len(ready)]
        if not ready and not ends:
            return
        conditions, writes = set(), []
        for job_id in ready + ends:
            job = graph.waiting[job_id]
            conditions.add(self.epoch_of(job.spec))
            conditions.add((LIVE_PREFIX + wire.waiting_key(job_id), job.mod_revision))
            if job_id in graph.ready:
                writes.append(
                    state_wire.put(LIVE_PREFIX + wire.job_key(job_id), self.live_record(job))
                )
            else:
                end = wire.final_record(Outcome.CANCELLED, job.spec.tasks, 0)
                writes.append(state_wire.put(FINAL_PREFIX + wire.final_key(job_id), end))
            writes.append(state_wire.remove(LIVE_PREFIX + wire.waiting_key(job_id)))
        self.release_busy = True
        self.write_rate(self.now(), len(writes))
        tell(
            self.store.on_commit,
            DECISIONS,
            sorted(conditions),
            writes,
            callback(self.on_released, ready, ends),
        )

    def live_record(self, job):
        spec = released_spec(job.spec, self.system.wall())
        return wire.job_record(Job(spec, max(1, chunk_size_for(spec, self.settings.value_bytes))))

    def on_released(self, ready, ends, status, revision, failed):
        if status == 200:
            for names, text in (
                (ready, "released, all that they need is done: %s"),
                (ends, "cancelled with a job that they need: %s"),
            ):
                if names:
                    log.info(text, " ".join(names))
        elif status in (429, 503):
            tell_after(self.settings.agent_heartbeat_s / 8, self.on_release_again)
            return
        elif status == 400:
            log.error(
                "the state service refuses to release %s (%s)", " ".join(ready + ends), failed
            )
            tell_after(self.settings.agent_heartbeat_s, self.on_release_again)
            return
        tell(self.store.on_sync, callback(self.on_release_seen))

    def on_release_again(self):
        self.release_busy = False
        self.soon_release()

    def on_release_seen(self, revision):
        if revision is None:
            tell_after(self.settings.agent_heartbeat_s / 3, self.on_release_again)
            return
        self.on_release_again()

    # --- pieces of lists that nobody uses

    def sweep_lists(self):
        """One controller removes pieces that no waiting job names for long: of attempts that came
        to nothing, or of jobs that wait no more. The first piece goes first, since a job's key
        hangs on it.
        """
        if not self.holds_first_shard():
            self.unused_lists = {}
            return
        now, graph = self.now(), self.graph
        unused = [
            (job_id, list_id)
            for job_id, list_id in graph.segments
            if job_id not in graph.waiting or graph.waiting[job_id].list_id != list_id
        ]
        self.unused_lists = {name: self.unused_lists.get(name, now) for name in unused}
        for (job_id, list_id), since in self.unused_lists.items():
            if now - since > 2 * self.settings.lease_s:
                self.remove_pieces(job_id, list_id)
                return

    def remove_pieces(self, job_id, list_id):
        rows = sorted(self.graph.segments[(job_id, list_id)].items())[: self.most_writes]
        keys = [
            (LIVE_PREFIX + wire.segment_key(job_id, list_id, number), mod_revision)
            for number, (_, mod_revision) in rows
        ]
        waiting = self.graph.waiting.get(job_id)
        conditions = [
            (
                LIVE_PREFIX + wire.waiting_key(job_id),
                waiting.mod_revision if waiting is not None else 0,
            ),
            *keys,
        ]
        tell(
            self.store.on_commit,
            DECISIONS,
            conditions,
            [state_wire.remove(key) for key, _ in keys],
            lambda *_: None,
        )
