"""Broken builds of answers to agents and of evidence that leases have expired."""

from emberglade.agents.bindings import CommittedBindings
from emberglade.agents.direct_halts import DirectHalts
from emberglade.agents.heartbeats import HeartbeatHandler
from emberglade.agents.lease_evidence import LeaseEvidence
from emberglade.agents.manager import AgentManager
from emberglade.agents.reachability import Reachability
from emberglade.agents.reconciliation import Reconciler
from emberglade.agents.routing import Routing
from emberglade.agents.wire.agents import ClearTask
from emberglade.agents.wire.tasks import ReportedTasks


def ignores_cancellations(patch):
    """Agent managers ignore cancellations."""
    patch.setattr(CommittedBindings, "note_cancelled", lambda self, job_id, job, revision: None)


def accepts_duplicate_heartbeats(patch):
    """Delayed duplicates of a machine's heartbeats count as evidence that it is alive."""
    original = HeartbeatHandler.handle

    def handle(self, data, reply):
        if isinstance(data, dict):
            self.evidence.last_seen.pop(data.get("hearth"), None)
            self.records.by_machine.pop(data.get("hearth"), None)
        original(self, data, reply)

    patch.setattr(HeartbeatHandler, "handle", handle)


def trusts_unreachable_machines(patch):
    """A machine that receives no messages from controllers is not marked as unreachable."""
    patch.setattr(Reachability, "track", lambda self, record, heartbeat, last_seen, now: None)


def stops_wait_for_heartbeats(patch):
    """Cancelled tasks are halted only in answers to heartbeats, not by direct commands."""
    patch.setattr(DirectHalts, "halt_job", lambda self, job_id: None)


def trusts_empty_replicas(patch):
    """The missing replica of a restarted peer counts as no newer than this controller's replica."""

    def compare_replicas(self, revision):
        for peer, view in self.direct_views.items():
            if view.replica_revision <= revision:
                caught_up_at = self.caught_up_at.get(peer, view.asked_at)
                self.caught_up_at[peer] = max(caught_up_at, view.asked_at)

    patch.setattr(LeaseEvidence, "compare_replicas", compare_replicas)


def always_answers_agents(patch):
    """A controller answers agents however old its replica may be."""
    patch.setattr(Routing, "may_answer", lambda self, now: self.committed.revision >= 0)


def starts_without_sync(patch):
    """Answers to agents start the tasks that the replica shows, without a read barrier first."""
    original = Reconciler.reconcile
    patch.setattr(
        Reconciler, "reconcile", lambda self, record, synced: original(self, record, True)
    )


def assumes_leases_expired(patch):
    """The leases of all machines count as expired, without evidence."""
    patch.setattr(LeaseEvidence, "proves_leases_expired", lambda self, *_: True)


def forgets_cancellations_of_dead_peers(patch):
    """Pending halts of a dead controller are not taken over by the others."""
    patch.setattr(AgentManager, "on_peer_dead", lambda self, name: None)


def clears_without_fence(patch):
    """Attempts that have exited are cleared with the token that their machine has already."""
    original = Reconciler.reconcile

    def reconcile(self, record, synced):
        result = original(self, record, synced)
        if all(isinstance(command, ClearTask) for command in result.commands):
            result.fencing_token = record.heartbeat.fencing_token
        return result

    patch.setattr(Reconciler, "reconcile", reconcile)


def keeps_one_attempt_of_each_task(patch):
    """Of the attempts of a task in a heartbeat, only the last one listed is kept."""

    def add(self, key, status):
        self._by_task[key] = [status]

    patch.setattr(ReportedTasks, "add", add)
