"""Questions and answers about machines between controllers."""

import logging
from collections.abc import Callable
from typing import Any

from .. import peer_paths
from ..actors import Actor, callback, send, send_after
from ..state import wire as state_wire
from .lease_evidence import NEVER
from .shared_state import AgentPart, SharedState
from .wire import peers as peer_wire
from .wire.peers import MachineQuestion

log = logging.getLogger("emberglade.agents")

MAX_MACHINES_PER_QUESTION = 1000  # keeps a question well below 64 KiB
# Peers are asked about lost machines four times per heartbeat interval, or four times per this time
# if it is shorter than the heartbeat interval.
MAX_PROOF_INTERVAL_S = 1.0


class PeerExchange(AgentPart):
    """Asks peers for their views of the machines, and answers with this controller's own.

    Attributes:
        last_question_at: {peer: when it last asked this controller}.
    """

    def __init__(
        self,
        actor: Actor,
        shared: SharedState,
        store: Any,
        peers: dict[str, Any],
    ) -> None:
        super().__init__(actor, shared)
        self.store = store
        self.peers = peers
        self.last_question_at: dict[str | None, float] = {}
        self.awaiting_answer: dict[str, float] = {}  # peer -> when it was asked
        self.last_full_question_at = NEVER
        self.next_lost_index = 0  # index of the first lost machine in the next question

    def lacks_peer_exchange(self, now: float) -> bool:
        """Whether a live peer and this controller have not exchanged views recently."""
        recent = now - 2 * self.settings.agent_heartbeat_s
        direct_views = self.evidence.direct_views
        return any(
            self.last_question_at.get(name, NEVER) < recent
            or name not in direct_views
            or direct_views[name].asked_at < recent
            for name in self.peers
            if name in self.committed.controllers
        )

    # --- asking

    def on_ask_peers(self) -> None:
        """Handles `ask_peers`, a timer: asks peers for their views of machines.

        Asks about all machines at the regular interval. In between, asks more often about the lost
        machines with bound tasks, until their leases are proven to have expired.
        """
        now = self.now()
        proof_interval_s = min(MAX_PROOF_INTERVAL_S, self.settings.agent_heartbeat_s) / 4
        interval_s = self.settings.peer_exchange_s
        lost = self._lost_machines()
        send_after(proof_interval_s if lost else interval_s, self.on_ask_peers)
        if now - self.last_full_question_at >= interval_s - proof_interval_s / 2:
            self.last_full_question_at = now
            self._ask(None, now)
        elif lost:
            self._ask(self._next_lost_machines(lost), now)

    def _lost_machines(self) -> list[str]:
        """The lost machines with bound tasks, which wait for proof that the leases have expired."""
        return [
            name
            for name, taint in self.committed.taints.items()
            if taint == "lost" and name in self.committed.bindings.by_machine
        ]

    def _next_lost_machines(self, lost: list[str]) -> list[str]:
        """The machines of the next question: `lost`, or the next part of it if it is too long."""
        first = self.next_lost_index if self.next_lost_index < len(lost) else 0
        self.next_lost_index = first + MAX_MACHINES_PER_QUESTION
        return lost[first : first + MAX_MACHINES_PER_QUESTION]

    def _ask(self, machines: list[str] | None, now: float) -> None:
        """Asks peers about these machines, or about all if None.

        Skips peers that have not answered a recent question yet.
        """
        asked_about = None if machines is None else frozenset(machines)
        for name, link in self.peers.items():
            if now - self.awaiting_answer.get(name, NEVER) < 3 * self.settings.agent_heartbeat_s:
                continue
            self.awaiting_answer[name] = now
            link.call(
                "POST",
                peer_paths.MACHINES,
                peer_wire.write_question(self.settings.node, machines),
                2 * self.settings.agent_heartbeat_s,
                callback(self.on_peer_answer, name, now, asked_about),
            )

    def on_peer_answer(
        self,
        name: str,
        asked_at: float,
        asked_about: frozenset[str] | None,
        status: int,
        body: Any,
    ) -> None:
        """Handles a peer's answer to a question asked at `asked_at`."""
        self.awaiting_answer.pop(name, None)
        if status != 200:
            return
        if not self.evidence.add_answer(name, asked_at, self.now(), body, asked_about):
            log.info(
                "peer %s sent a malformed answer about machines; ignoring it until the next one",
                name,
            )
        elif asked_about is None:
            self.evidence.compare_replicas(self.committed.revision)
            self._fetch_changes(name)

    def _fetch_changes(self, peer: str) -> None:
        """Fetches changes from a peer with a newer replica, unless a recent sync was answered."""
        revision = self.committed.revision
        contact_age_s = self.now() - self.evidence.last_sync_sent_at
        if (
            self.evidence.direct_views[peer].replica_revision <= revision
            or revision < 0
            or contact_age_s <= self.settings.agent_heartbeat_s / 2
        ):
            return
        self.peers[peer].call(
            "POST",
            peer_paths.REPLICA_CHANGES,
            state_wire.changes_request(revision),
            2 * self.settings.agent_heartbeat_s,
            lambda status, body: send(self.store.on_changes_of_peer, revision, status, body),
        )

    # --- answering

    def answer_question(self, question: MachineQuestion, reply: Callable[[int, dict], Any]) -> None:
        """Answers a peer, normally from a replica synced after the question arrived.

        Without contact with the store, a sync may take longer than the peer waits, and the peer
        needs the replica's revision at once; so the answer is sent without a sync
        (combined_faults/cancel_before_outage_timeouts.txt).
        """
        now = self.now()
        self.last_question_at[question.asker] = now
        if now - self.evidence.last_sync_sent_at > self.settings.lease_s / 4:
            self.on_question_synced(question.machines, reply, None)
            return
        send(self.store.on_sync, callback(self.on_question_synced, question.machines, reply))

    def on_question_synced(
        self, machines: list[str] | None, reply: Callable[[int, dict], Any], revision: int | None
    ) -> None:
        """Answers a question after its sync; `revision` is None if that failed or was left out."""
        now = self.now()
        reply(
            200,
            peer_wire.write_machine_view(
                now - self.evidence.began_at,
                now - self.evidence.last_sync_sent_at,
                revision,
                self.committed.revision,
                self.records.known_machines(now, 2 * self.settings.lease_s, machines),
            ),
        )
