"""Whether this controller may answer agents, and which controller they should use instead."""

import zlib
from collections.abc import Set
from typing import Any

from .committed_state import CommittedState
from .lease_evidence import NEVER, LeaseEvidence, PeerMachineView
from .wire.agents import AgentHeartbeat

REDIRECT_INTERVAL_LEASES = 4  # minimum time between redirects of a machine to its own zone
# No machine is redirected to a controller that already has more than this multiple of an even share
# of all machines.
MAX_SHARE_FACTOR = 3


class Routing:
    """Decides which controller agents send their heartbeats to."""

    def __init__(self, settings: Any, committed: CommittedState, evidence: LeaseEvidence) -> None:
        self.settings = settings
        self.committed = committed
        self.evidence = evidence
        # machine -> when it was last redirected to a controller in its zone
        self.machine_redirected_at: dict[str, float] = {}
        # controller -> when a machine in its zone was last redirected to it
        self.peer_redirected_to_at: dict[str, float] = {}
        # controllers suspected of having failed; no agent is redirected to them
        self.suspected: Set[str] = frozenset()

    def may_answer(self, now: float) -> bool:
        """Whether this controller is allowed to answer agents (docs/safety.md, 8).

        The replica must show every cancellation that was confirmed to a user more than
        `max_staleness_s` ago. This is certain in two cases: a sync sent within the last
        `max_staleness_s` was answered; or every peer, asked within the last `max_staleness_s`,
        stated that its replica is not newer than this one. The latter suffices because a controller
        confirms to users only what its own replica shows.
        """
        if self.committed.revision < 0:
            return False
        max_staleness_s = self.settings.max_staleness_s
        return (
            now - self.evidence.last_sync_sent_at <= max_staleness_s
            or now - self.evidence.caught_up_since() <= max_staleness_s
        )

    def connected_peer(self, now: float) -> str | None:
        """A peer in contact with the store.

        None if there is none, or if this controller is itself in contact with the store.
        """
        quarter_lease_s = self.settings.lease_s / 4
        if now - self.evidence.last_sync_sent_at < quarter_lease_s:
            return None
        for name, view in self.evidence.direct_views.items():
            if self._has_contact(view, now):
                return name
        return None

    def peer_in_zone_of(self, heartbeat: AgentHeartbeat, now: float) -> str | None:
        """A controller in the machine's zone that its agent should use instead of this one, if any.

        If a zone is partitioned from the others, only a controller inside it can renew the leases
        of its machines. Without this redirect, most of these machines would use controllers
        outside; with five controllers, an agent took longer than a lease to find the one inside
        (agents/zone_partitioned_of_five.txt). A machine is redirected at most once every
        REDIRECT_INTERVAL_LEASES leases, so a machine that can't reach the controller in its zone
        can use this one.
        """
        machine = heartbeat.machine
        if (
            heartbeat.zone == self.settings.zone
            or heartbeat.spot_notice_s is not None
            or now - self.machine_redirected_at.get(machine, NEVER)
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
        self.machine_redirected_at[machine] = now
        self.peer_redirected_to_at[chosen] = now
        return chosen

    def forget_old(self, now: float) -> None:
        """Drops the records of redirects that no longer prevent another redirect of the machine."""
        interval_s = REDIRECT_INTERVAL_LEASES * self.settings.lease_s
        self.machine_redirected_at = {
            name: sent_at
            for name, sent_at in self.machine_redirected_at.items()
            if now - sent_at < interval_s
        }

    def _has_contact(self, view: PeerMachineView, now: float) -> bool:
        """Whether a peer recently answered a question and was then in contact with the store."""
        return (
            now - view.received_at < 2 * self.settings.agent_heartbeat_s
            and view.contact_age_at(now) < self.settings.lease_s / 4
        )

    def _can_take_machines(self, peer: str, now: float) -> bool:
        """Whether machines can be redirected to a peer."""
        view = self.evidence.direct_views.get(peer)
        return (
            peer in self.committed.controllers
            and peer not in self.suspected
            and view is not None
            and self._has_contact(view, now)
            # If no machine is in contact with the peer, at most one machine per quarter of a lease
            # is redirected to it, which shows whether machines can reach it.
            and bool(
                view.active_machines
                or now - self.peer_redirected_to_at.get(peer, NEVER) > self.settings.lease_s / 4
            )
            # Limits the load of one controller if most machines are in its zone.
            and view.active_machines
            <= MAX_SHARE_FACTOR * len(self.evidence.last_seen) / self.settings.cluster_size
        )
