"""Broken builds of what workers are told and what their silence proves."""

from emberglade.agents.lease_evidence import LeaseEvidence
from emberglade.agents.manager import AgentManager


def ignores_cancellations(patch):
    """No agent manager sees a cancellation."""
    patch.setattr(AgentManager, "see_cancellation", lambda self, job_id, entry, revision: None)


def accepts_duplicate_heartbeats(patch):
    """A machine whose copies still come is never proven lost."""
    original = AgentManager.on_heartbeat

    def on_heartbeat(self, data, reply):
        if isinstance(data, dict):
            self.evidence.view.pop(data.get("hearth"), None)
            self.known.pop(data.get("hearth"), None)
        original(self, data, reply)

    patch.setattr(AgentManager, "on_heartbeat", on_heartbeat)


def trusts_unreachable_machines(patch):
    """A machine that does not hear us counts as a good one."""
    patch.setattr(AgentManager, "listen", lambda self, known, heartbeat, last_seen, now: None)


def stops_wait_for_heartbeats(patch):
    """A cancelled task is halted only by the answer to its machine's report."""
    patch.setattr(AgentManager, "press_halts", lambda self, job_id: None)


def trusts_empty_replicas(patch):
    """A peer that has no copy, just restarted, counts as one that told nobody anything."""

    def compare_replicas(self, revision):
        for peer, said in self.told.items():
            if said.replica_revision <= revision:
                self.level[peer] = max(self.level.get(peer, said.asked), said.asked)

    patch.setattr(LeaseEvidence, "compare_replicas", compare_replicas)


def always_answers_agents(patch):
    """A controller answers workers however long it has heard of nothing new."""
    patch.setattr(AgentManager, "entitled", lambda self, now: self.revision >= 0)


def starts_without_sync(patch):
    """Answers start whatever the copy shows, however old it is."""
    original = AgentManager.commands
    patch.setattr(AgentManager, "commands", lambda self, known, synced: original(self, known, True))


def proves_lease_expiry_by_silence(patch):
    """A machine that the leader has not heard of is taken for one whose lease is over."""
    patch.setattr(LeaseEvidence, "proven_over", lambda self, *_: True)


def forgets_cancellations_of_dead_peers(patch):
    """Nobody repeats the halts of a controller that has ended before their time."""
    patch.setattr(AgentManager, "on_peer_dead", lambda self, name: None)
