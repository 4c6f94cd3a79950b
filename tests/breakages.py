"""Deliberately broken builds: each has to be caught by the observer's check that it names.

Every function patches the service through pytest's monkeypatch.
"""

from dataclasses import replace

import orjson

from emberglade.actors import callback, tell, tell_after
from emberglade.agents.lease_evidence import LeaseEvidence
from emberglade.agents.manager import AgentManager
from emberglade.failure_detection import FailureDomains, PeerMonitor, ShardPlanner
from emberglade.failure_detection.detector import PeerDetector
from emberglade.failure_detection.local_health import LocalHealth
from emberglade.failure_detection.messages import Incarnation, PeerState
from emberglade.failure_detection.peer import Peer
from emberglade.fleet.taints import TaintChange
from emberglade.jobs.dependencies import DependencyGraph
from emberglade.jobs.manager import JobManager
from emberglade.jobs.record import Job
from emberglade.membership import NOBODY
from emberglade.placement.capacity import ClusterCapacity
from emberglade.state.store import LIVE_PREFIX, Store
from emberglade.user_api.api import UserApi


def moves_without_proof(patch):
    """A lost machine's tasks move at once, without waiting for any lease."""
    original = JobManager.on_tick

    def on_tick(self):
        for job in list(self.jobs.values()):
            if self.mine(job):
                for task, binding in list(job.bindings()):
                    machine = self.inventory.get(binding.machine)
                    if machine is not None and not machine.open:
                        self.release(job, task, binding.attempt, binding.machine)
        original(self)

    patch.setattr(JobManager, "on_tick", on_tick)


def no_limits(patch):
    """Teams have no limits."""
    patch.setattr(ClusterCapacity, "tasks_within_quota", lambda self, spec: spec.tasks)


def any_zone(patch):
    """The zones of a job's other tasks don't matter."""
    patch.setattr(ClusterCapacity, "zones_of", lambda self, job: ({}, True))


def deaf_to_cancellations(patch):
    """No agent manager sees a cancellation."""
    patch.setattr(AgentManager, "see_cancellation", lambda self, job_id, entry, revision: None)


def forgets_the_final_state(patch):
    """A final key is never found."""
    patch.setattr(
        UserApi,
        "on_look_read",
        lambda self, job_id, reply, status, data, mod_revision: reply(False, None),
    )


def answers_for_any_id(patch):
    """Any id is taken for a job's."""
    patch.setattr(
        UserApi,
        "on_polled",
        lambda self, reply, known, answer: reply(200, answer or {"id": "x", "glow": "pending"}),
    )


def done_too_early(patch):
    """A job counts as done when half of it is."""
    patch.setattr(
        Job,
        "finished",
        lambda self: (
            not self.spec.service
            and not self.cancelled
            and self.done_count() >= max(1, self.spec.tasks // 2)
        ),
    )


def withdrawn_becomes_done(patch):
    """Final states are mixed up."""
    patch.setattr(
        UserApi,
        "on_look_read",
        lambda self, job_id, reply, status, data, mod_revision: reply(
            True, {"id": job_id, "glow": "done" if data["glow"] == "withdrawn" else "withdrawn"}
        ),
    )


def starts_nothing(patch):
    """Nothing is ever placed."""
    patch.setattr(JobManager, "on_place", lambda self: None)


def never_starving(patch):
    """What has waited for long gets no turn of its own."""
    patch.setattr(JobManager, "starves", lambda self, job, wall: False)


def deaf_to_polls(patch):
    """Questions about one job are never answered."""
    original = UserApi.look_up

    def look_up(self, job_id, reply):
        if job_id != "job-1":
            original(self, job_id, reply)

    patch.setattr(UserApi, "look_up", look_up)


def copies_are_signs_of_life(patch):
    """A machine whose copies still come is never proven lost."""
    original = AgentManager.on_heartbeat

    def on_heartbeat(self, data, reply):
        if isinstance(data, dict):
            self.evidence.view.pop(data.get("hearth"), None)
            self.known.pop(data.get("hearth"), None)
        original(self, data, reply)

    patch.setattr(AgentManager, "on_heartbeat", on_heartbeat)


def blind_to_the_deaf(patch):
    """A machine that does not hear us counts as a good one."""
    patch.setattr(AgentManager, "listen", lambda self, known, heartbeat, last_seen, now: None)


def halts_wait_for_reports(patch):
    """A cancelled task is halted only by the answer to its machine's report."""
    patch.setattr(AgentManager, "press_halts", lambda self, job_id: None)


def empty_copies_are_level(patch):
    """A peer that has no copy, just restarted, counts as one that told nobody anything."""

    def compare_replicas(self, revision):
        for peer, said in self.told.items():
            if said.replica_revision <= revision:
                self.level[peer] = max(self.level.get(peer, said.asked), said.asked)

    patch.setattr(LeaseEvidence, "compare_replicas", compare_replicas)


def never_silent(patch):
    """A controller answers workers however long it has heard of nothing new."""
    patch.setattr(AgentManager, "entitled", lambda self, now: self.revision >= 0)


def any_attempt(patch):
    """An exit counts for whichever attempt is bound now."""
    original = JobManager.task_exited

    def task_exited(self, job, binding, update):
        if binding is not None:
            update = replace(update, attempt=binding.attempt, machine=binding.machine)
        original(self, job, binding, update)

    patch.setattr(JobManager, "task_exited", task_exited)


def unfenced_flights(patch):
    """A commit without an answer is taken for one that was not carried out."""
    patch.setattr(
        JobManager,
        "on_fence_flight",
        lambda self: tell(self.store.on_sync, callback(self.on_resync)),
    )


def writes_without_conditions(patch):
    """Commits of jobs hang on nothing: not on the shard's epoch, nor on what the record was."""
    original = Store.on_commit

    def on_commit(self, priority, conditions, writes, reply):
        original(
            self,
            priority,
            [
                c
                for c in conditions
                if not c[0].startswith((LIVE_PREFIX + "j/", LIVE_PREFIX + "s/", LIVE_PREFIX + "t/"))
                or not c[1]
            ],
            writes,
            reply,
        )

    patch.setattr(Store, "on_commit", on_commit)


def tells_unsynced(patch):
    """Users are told what the copy shows, however old it is."""
    patch.setattr(
        Store, "on_sync", lambda self, reply: reply(self.revision if self.revision >= 0 else None)
    )


def starts_unsynced(patch):
    """Answers start whatever the copy shows, however old it is."""
    original = AgentManager.commands
    patch.setattr(AgentManager, "commands", lambda self, known, synced: original(self, known, True))


def forgets_bound(patch):
    """What is bound on a machine that is not heard does not count."""
    original = ClusterCapacity.inventory

    def inventory(self, machines):
        gone = [
            (job, task, binding)
            for name, rows in self.on.items()
            if name not in machines or not machines[name].open
            for (_, task), (job, binding) in rows.items()
        ]
        for job, _, _ in gone:
            use = self.team_use.get(job.spec.team)
            use[0] = max(0.0, use[0] - job.spec.cpus)
        original(self, machines)

    patch.setattr(ClusterCapacity, "inventory", inventory)


def proves_by_silence(patch):
    """A machine that the leader has not heard of is taken for one whose lease is over."""
    patch.setattr(LeaseEvidence, "proven_over", lambda self, *_: True)


def tells_before_commit(patch):
    """A cancellation is told before it is durable."""
    original = UserApi.on_abort_synced

    def on_abort_synced(self, job_id, reply, tries, revision):
        if self.live.get(job_id) is not None:
            reply(200, {"id": job_id, "glow": "withdrawn"})
            tell_after(5.0, self.on_abort_late, job_id)
        else:
            original(self, job_id, reply, tries, revision)

    patch.setattr(UserApi, "on_abort_synced", on_abort_synced)
    patch.setattr(
        UserApi,
        "on_abort_late",
        lambda self, job_id: original(self, job_id, lambda *_: None, 0, self.store.revision),
        raising=False,
    )


def accepts_odd(patch):
    """What a submission lacks gets a default, and what fits no machine is accepted."""
    original = UserApi.on_submit

    def on_submit(self, body, reply):
        data = orjson.loads(body)
        whole = {
            "job_class": "b",
            "crew": "core",
            "shape": "sweep",
            "priority": "normal",
            "embers": 1,
            "cpus": 1.0,
            "cards": 0.0,
            "ram_gb": 1.0,
            "kindling": "img",
            "image_gb": 0.0,
            "single_zone": False,
            "zone_spread": False,
            "driftwood": False,
            "burn_s": 1.0,
            "bank_s": 0.0,
            "banking_s": 0.0,
        }
        original(self, orjson.dumps({**whole, **data}), reply)

    patch.setattr(UserApi, "on_submit", on_submit)


def passes_over(patch):
    """One job's tasks are never placed."""
    original = Job.waiting_count
    patch.setattr(Job, "waiting_count", lambda self: 0 if self.id == "job-1" else original(self))


def releases_at_once(patch):
    """Jobs are released whatever became of those that they need."""
    original = DependencyGraph.apply

    def apply(self, events, whole):
        original(self, events, whole)
        self.ready.update(self.waiting)

    patch.setattr(DependencyGraph, "apply", apply)


def keeps_orphans(patch):
    """A cancellation does not reach the jobs after it."""
    patch.setattr(DependencyGraph, "_cancel", lambda self, stack: None)


def trusts_its_copy(patch):
    """A need that the copy does not show counts as one that still goes on, without a look at its
    final key.
    """
    patch.setattr(DependencyGraph, "unresolved_before", lambda self, job_id: set())


def taints_stay(patch):
    """A key that holds too many taints passes none on."""
    patch.setattr(TaintChange, "shrink", lambda self: None)


def accuses_alone(patch):
    """Whoever is suspected counts as dead."""

    def confirm(self, peer, isolated, now):
        self._move(peer, PeerState.DEAD, "suspected")
        return True

    patch.setattr(PeerDetector, "_confirm", confirm)


def deaf_to_vouchers(patch):
    """That another controller hears a peer counts for nothing."""
    patch.setattr(
        PeerDetector, "_note_heard_by_other", lambda self, peer, mark, sent_at, now: False
    )


def copies_count(patch):
    """Any heartbeat is a sign of life, whatever came before it and however old it is."""
    original = PeerDetector.hear

    def hear(self, heartbeat, now, wall):
        peer = self.peers[heartbeat.sender]
        peer.direct_mark = peer.mark = None
        return original(self, heartbeat._replace(sent_wall=wall), now, wall)

    patch.setattr(PeerDetector, "hear", hear)


def no_self_doubt(patch):
    """A controller never takes itself for the one that is slow."""
    patch.setattr(LocalHealth, "turn", lambda self, now, late_s: False)


def never_isolated(patch):
    """A controller never takes itself for the one that is cut off."""
    patch.setattr(PeerDetector, "_isolated", lambda self: False)


def domains_count_twice(patch):
    """Each controller is a witness of its own."""
    patch.setattr(FailureDomains, "of", lambda self, controller: controller)


def unknown_is_gone(patch):
    """Who has not been heard yet serves only by its key, from the first moment on."""
    original = Peer.serves
    patch.setattr(Peer, "serves", lambda self, now, startup_over: original(self, now, True))


def keys_alone_serve(patch):
    """A controller whose key is missing does not serve, however well it is heard."""
    original = Peer.serves
    patch.setattr(
        Peer,
        "serves",
        lambda self, now, startup_over: (
            self.key_lease is not None and original(self, now, startup_over)
        ),
    )


def no_excuse(patch):
    """A controller that stood still states how old its contact is, pause included."""
    patch.setattr(LocalHealth, "excuse_s", lambda self, now, overdue_s: 0.0)


def returns_at_once(patch):
    """A controller takes its shards back whenever it can."""
    patch.setattr(Peer, "return_wait_s", lambda self, now: 0.0)
    original = ShardPlanner._is_due_back

    def is_due_back(self, shard, holder, view):
        return original(self, shard, holder, view._replace(may_return=True))

    patch.setattr(ShardPlanner, "_is_due_back", is_due_back)


def takes_nothing_over(patch):
    """A shard that loses its holder waits for its home."""
    patch.setattr(
        ShardPlanner, "_is_due", lambda self, shard, holder, line, view, now: holder == NOBODY
    )


def takes_over_blindly(patch):
    """Claims follow the view of the last turn, also one that is older than the copy."""
    on_changed = PeerMonitor.on_changed

    def change_without_view(self, events, revision, whole):
        with patch.context() as quiet:
            quiet.setattr(PeerMonitor, "publish", lambda self, view: None)
            on_changed(self, events, revision, whole)

    def publish(self, view):
        for listener in self.listeners:
            tell(listener.on_liveness, view._replace(revision=2**60))

    patch.setattr(PeerMonitor, "publish", publish)
    patch.setattr(PeerMonitor, "on_changed", change_without_view)
    patch.setattr(PeerDetector, "begin", lambda self, now: None)


def ignores_slowness(patch):
    """Slow controllers are offered others' work like any other."""
    original = ShardPlanner.shards_to_take

    def shards_to_take(self, incarnation, holders, view, now):
        return original(self, incarnation, holders, view._replace(slow=frozenset()), now)

    patch.setattr(ShardPlanner, "shards_to_take", shards_to_take)


def gives_all_to_one(patch):
    """The first survivor takes all that is free."""
    original = ShardPlanner._line
    patch.setattr(
        ShardPlanner, "_line", lambda self, shard, counts, view: original(self, shard, {}, view)
    )


def leases_order_processes(patch):
    """The process with the larger number of a lease counts as the newer one."""
    patch.setattr(Incarnation, "__lt__", lambda self, other: self.lease < other.lease)
    patch.setattr(Incarnation, "__gt__", lambda self, other: self.lease > other.lease)


def believes_any_clock(patch):
    """A heartbeat may come from the future."""
    original = PeerDetector.hear
    patch.setattr(
        PeerDetector,
        "hear",
        lambda self, heartbeat, now, wall: original(
            self, heartbeat._replace(sent_wall=min(heartbeat.sent_wall, wall)), now, wall
        ),
    )


def forgets_withdrawals_of_the_dead(patch):
    """Nobody repeats the halts of a controller that has ended before their time."""
    patch.setattr(AgentManager, "on_peer_dead", lambda self, name: None)
