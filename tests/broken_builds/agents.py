"""Broken builds of what agents are told and what their silence proves."""

from emberglade.agents.bindings import CommittedBindings
from emberglade.agents.direct_halts import DirectHalts
from emberglade.agents.heartbeats import HeartbeatHandler
from emberglade.agents.lease_evidence import LeaseEvidence
from emberglade.agents.manager import AgentManager
from emberglade.agents.reachability import Reachability
from emberglade.agents.reconciliation import Reconciler
from emberglade.agents.routing import Routing


def ignores_cancellations(patch):
    """No agent manager sees a cancellation."""
    patch.setattr(CommittedBindings, "note_cancelled", lambda self, job_id, job, revision: None)


def accepts_duplicate_heartbeats(patch):
    """A machine whose copies still come is never proven lost."""
    original = HeartbeatHandler.handle

    def handle(self, data, reply):
        if isinstance(data, dict):
            self.evidence.last_seen.pop(data.get("hearth"), None)
            self.records.by_machine.pop(data.get("hearth"), None)
        original(self, data, reply)

    patch.setattr(HeartbeatHandler, "handle", handle)


def trusts_unreachable_machines(patch):
    """A machine that does not hear us counts as a good one."""
    patch.setattr(Reachability, "track", lambda self, record, heartbeat, last_seen, now: None)


def stops_wait_for_heartbeats(patch):
    """A cancelled task is halted only by the answer to its machine's heartbeat."""
    patch.setattr(DirectHalts, "halt_job", lambda self, job_id: None)


def trusts_empty_replicas(patch):
    """A peer that has no replica, just restarted, counts as one that told nobody anything."""

    def compare_replicas(self, revision):
        for peer, view in self.direct_views.items():
            if view.replica_revision <= revision:
                caught_up_at = self.caught_up_at.get(peer, view.asked_at)
                self.caught_up_at[peer] = max(caught_up_at, view.asked_at)

    patch.setattr(LeaseEvidence, "compare_replicas", compare_replicas)


def always_answers_agents(patch):
    """A controller answers agents however long it has heard of nothing new."""
    patch.setattr(Routing, "may_answer", lambda self, now: self.committed.revision >= 0)


def starts_without_sync(patch):
    """Answers start whatever the replica shows, however old it is."""
    original = Reconciler.reconcile
    patch.setattr(
        Reconciler, "reconcile", lambda self, record, synced: original(self, record, True)
    )


def assumes_leases_expired(patch):
    """A machine that the leader has not heard of is taken for one whose lease is over."""
    patch.setattr(LeaseEvidence, "proves_leases_expired", lambda self, *_: True)


def forgets_cancellations_of_dead_peers(patch):
    """Nobody repeats the halts of a controller that has ended before their time."""
    patch.setattr(AgentManager, "on_peer_dead", lambda self, name: None)
