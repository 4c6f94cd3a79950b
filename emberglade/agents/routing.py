"""Whether this controller may answer agents, and which one they had better turn to."""

import zlib
from collections.abc import Set
from typing import Any

from .committed_state import CommittedState
from .lease_evidence import NEVER, LeaseEvidence, PeerMachineView
from .wire.agents import AgentHeartbeat

REDIRECT_LEASES = 4  # a machine is sent to its own zone once in so many leases
MAX_SHARE = 3  # of machines that a controller is sent, as a multiple of an even share


class Routing:
    """Decides where agents are sent."""

    def __init__(self, settings: Any, committed: CommittedState, evidence: LeaseEvidence) -> None:
        self.settings = settings
        self.committed = committed
        self.evidence = evidence
        self.redirected_at: dict[str, float] = {}  # machine -> when it was sent to its own zone
        self.tried_at: dict[str, float] = {}  # controller -> when a machine was last sent there
        self.suspected: Set[str] = frozenset()  # controllers that no agent is sent to

    def may_answer(self, now: float) -> bool:
        """Whether this controller is entitled to answer agents (docs/safety.md, 8).

        It is if no cancellation that its replica lacks can have been told to its user longer than
        `max_staleness_s` ago. Either a sync was answered since, or every peer has stated since
        that its replica is no newer than this one: whatever a controller tells a user is in its
        own replica before.
        """
        if self.committed.revision < 0:
            return False
        max_staleness_s = self.settings.max_staleness_s
        return (
            now - self.evidence.last_contact <= max_staleness_s
            or now - self.evidence.caught_up_since() <= max_staleness_s
        )

    def connected_peer(self, now: float) -> str | None:
        """A controller that can follow the store while this one can't."""
        quarter_lease_s = self.settings.lease_s / 4
        if now - self.evidence.last_contact < quarter_lease_s:
            return None
        for name, view in self.evidence.direct_views.items():
            if self._has_contact(view, now):
                return name
        return None

    def peer_in_zone_of(self, heartbeat: AgentHeartbeat, now: float) -> str | None:
        """A controller in the machine's own zone that can take it, if it is not there already.

        When a zone is cut off, its machines need their lease renewed by a controller inside. Once
        broken: most turned to controllers outside, and with five of them the search for the one
        inside took longer than a lease (agents/zone_partitioned_of_five.txt). A machine is sent
        once in REDIRECT_LEASES, so that one which can't reach that controller stays where it is
        heard.
        """
        machine = heartbeat.machine
        if (
            heartbeat.zone == self.settings.zone
            or heartbeat.spot_notice_s is not None
            or now - self.redirected_at.get(machine, NEVER)
            < REDIRECT_LEASES * self.settings.lease_s
        ):
            return None
        inside = [
            peer.name
            for peer in self.settings.peers
            if peer.zone == heartbeat.zone and self._takes_machines(peer.name, now)
        ]
        if not inside:
            return None
        chosen = inside[zlib.crc32(machine.encode()) % len(inside)]
        self.redirected_at[machine] = now
        self.tried_at[chosen] = now
        return chosen

    def forget_old(self, now: float) -> None:
        """Forgets machines that may be sent to their own zone again."""
        after_s = REDIRECT_LEASES * self.settings.lease_s
        self.redirected_at = {
            name: sent_at for name, sent_at in self.redirected_at.items() if now - sent_at < after_s
        }

    def _has_contact(self, view: PeerMachineView, now: float) -> bool:
        """Whether a peer has answered lately and had contact with the store lately."""
        return (
            now - view.received_at < 2 * self.settings.agent_heartbeat_s
            and view.contact_age_at(now) < self.settings.lease_s / 4
        )

    def _takes_machines(self, peer: str, now: float) -> bool:
        """Whether a peer is fit for more machines."""
        view = self.evidence.direct_views.get(peer)
        return (
            peer in self.committed.controllers
            and peer not in self.suspected
            and view is not None
            and self._has_contact(view, now)
            # It hears machines, or is to show by one now and then that it does.
            and bool(
                view.machines_hearing
                or now - self.tried_at.get(peer, NEVER) > self.settings.lease_s / 4
            )
            # One controller is not to hear them all, if most machines are in its zone.
            and view.machines_hearing
            <= MAX_SHARE * len(self.evidence.last_seen) / self.settings.cluster_size
        )
