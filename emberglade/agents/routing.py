"""Whether this controller may answer agents, and which controller they should use instead."""

import zlib
from collections.abc import Set
from typing import Any

from .committed_state import CommittedState
from .lease_evidence import NEVER, LeaseEvidence, PeerMachineView
from .wire.agents import AgentHeartbeat

REDIRECT_INTERVAL_LEASES = 4  # agent leases between redirects of one machine to its own zone
# A controller with more than this multiple of an even share of all machines receives no others.
MAX_SHARE_FACTOR = 3


class Routing:
    """Decides which controller agents send their heartbeats to."""

    def __init__(self, settings: Any, committed: CommittedState, evidence: LeaseEvidence) -> None:
        self.settings = settings
        self.committed = committed
        self.evidence = evidence
        self.redirected_at: dict[str, float] = {}  # machine -> when it was redirected to its zone
        # controller -> when a machine was last redirected to it
        self.redirected_to_at: dict[str, float] = {}
        self.suspected: Set[str] = frozenset()  # controllers that no agent is redirected to

    def may_answer(self, now: float) -> bool:
        """Whether this controller is allowed to answer agents (docs/safety.md, 8).

        Its replica must show every cancellation that was confirmed to a user more than
        `max_staleness_s` ago. It does so if a sync sent within that time was answered. It also does
        so if every peer was asked within that time and stated that its replica is no newer than
        this one, because a controller confirms to users only what its own replica shows.
        """
        if self.committed.revision < 0:
            return False
        max_staleness_s = self.settings.max_staleness_s
        return (
            now - self.evidence.last_sync_sent_at <= max_staleness_s
            or now - self.evidence.caught_up_since() <= max_staleness_s
        )

    def connected_peer(self, now: float) -> str | None:
        """A peer that is in contact with the store; None if there is none or this controller is."""
        quarter_lease_s = self.settings.lease_s / 4
        if now - self.evidence.last_sync_sent_at < quarter_lease_s:
            return None
        for name, view in self.evidence.direct_views.items():
            if self._has_contact(view, now):
                return name
        return None

    def peer_in_zone_of(self, heartbeat: AgentHeartbeat, now: float) -> str | None:
        """A controller in the machine's zone to redirect it to; None if it should stay here.

        While a zone is partitioned from the others, only a controller in that zone can renew the
        leases of its machines. Without this redirect, most machines would use controllers in other
        zones when the partition begins, and with five controllers their search for the one in
        their own zone takes longer than a lease (agents/zone_partitioned_of_five.txt). A machine is
        redirected at most once in REDIRECT_INTERVAL_LEASES, so that a machine that can't reach the
        controller in its zone can send its heartbeats here meanwhile.
        """
        machine = heartbeat.machine
        if (
            heartbeat.zone == self.settings.zone
            or heartbeat.spot_notice_s is not None
            or now - self.redirected_at.get(machine, NEVER)
            < REDIRECT_INTERVAL_LEASES * self.settings.lease_s
        ):
            return None
        inside = [
            peer.name
            for peer in self.settings.peers
            if peer.zone == heartbeat.zone and self._can_take_machines(peer.name, now)
        ]
        if not inside:
            return None
        chosen = inside[zlib.crc32(machine.encode()) % len(inside)]
        self.redirected_at[machine] = now
        self.redirected_to_at[chosen] = now
        return chosen

    def forget_old(self, now: float) -> None:
        """Drops machines that may be redirected to their own zone again."""
        interval_s = REDIRECT_INTERVAL_LEASES * self.settings.lease_s
        self.redirected_at = {
            machine: at for machine, at in self.redirected_at.items() if now - at < interval_s
        }

    def _has_contact(self, view: PeerMachineView, now: float) -> bool:
        """Whether a peer recently answered a question and was then in contact with the store."""
        return (
            now - view.received_at < 2 * self.settings.agent_heartbeat_s
            and view.contact_age_at(now) < self.settings.lease_s / 4
        )

    def _can_take_machines(self, peer: str, now: float) -> bool:
        """Whether a peer can take more machines."""
        view = self.evidence.direct_views.get(peer)
        return (
            peer in self.committed.controllers
            and peer not in self.suspected
            and view is not None
            and self._has_contact(view, now)
            # Machines reach it, or no machine was recently redirected to it to find out whether
            # they do.
            and bool(
                view.active_machines
                or now - self.redirected_to_at.get(peer, NEVER) > self.settings.lease_s / 4
            )
            # Limits the load of one controller if most machines are in its zone.
            and view.active_machines
            <= MAX_SHARE_FACTOR * len(self.evidence.last_seen) / self.settings.cluster_size
        )
