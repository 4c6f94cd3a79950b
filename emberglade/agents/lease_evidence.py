"""Which controller was in contact with which machine, when, and which leases must have expired.

Part of the agent manager; receives no messages of its own. Information about a machine comes from
three sources: its heartbeats to this controller, peers' answers to questions, and the tables that
every controller writes to the store. The status with the highest version (agent epoch, sequence) is
kept; a heartbeat that is not newer is a delayed duplicate and no evidence that the machine is
alive.
"""

from collections import deque
from collections.abc import Set
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..state import CLOCK_DRIFT
from .wire import peers as peer_wire
from .wire.peers import MachineStatus, MachineView

LEASE_MARGIN_S = 0.25  # timers fire a few milliseconds late, and thread scheduling adds to that
MAX_REMEMBERED_SYNCS = 400
FORGET_AFTER_LEASES = 10  # machines without contact for this many leases are dropped
NEVER = float("-inf")  # a point in time before all others


@dataclass(slots=True)
class LastSeen:
    """The status of a machine in the newest message that any controller received from it.

    Attributes:
        contact_at: When a controller last received a message from the machine or answered it, by
            the clock of this controller.
    """

    status: MachineStatus
    contact_at: float

    @property
    def version(self) -> tuple[int, int]:
        """(agent epoch, sequence) of the newest message."""
        return self.status.agent_epoch, self.status.sequence


@dataclass(frozen=True, slots=True)
class PeerMachineView:
    """A peer's view of all machines, or of those that it was asked about.

    The view was made after `asked_at` and before `received_at`, by the clock of this controller.
    The other fields are those of MachineView.

    Attributes:
        active_machines: How many machines had recently been in contact with that peer.
    """

    asked_at: float
    received_at: float
    up_s: float
    contact_age_s: float
    revision: int | None
    machines: dict[str, MachineStatus]
    replica_revision: int = peer_wire.NO_REPLICA
    active_machines: int = 0

    def last_answered(self, machine: str) -> float:
        """The latest moment at which the peer may have been in contact with the machine.

        If the peer does not know the machine, its previous process may have answered the machine.
        """
        status = self.machines.get(machine)
        return self.received_at - (self.up_s if status is None else min(self.up_s, status.age_s))

    def contact_age_at(self, now: float) -> float:
        """Seconds since the peer sent its last answered sync, if there was none after this view."""
        return self.contact_age_s + now - self.received_at


NO_PARTIAL_VIEW: tuple[frozenset[str], None] = (frozenset(), None)


class Sync(NamedTuple):
    """An answered sync: when it was sent, and the revision that it returned."""

    sent_at: float
    revision: int


# A bound on when one controller may have answered one machine: (the latest moment at which it may
# have done so, the moment up to which that is known). Plain tuples, because thousands of machines
# may wait for proof that their leases have expired, each with several bounds for every peer.
AnswerBound = tuple[float, float]


def unanswered_s(bound: AnswerBound) -> float:
    """For how long a controller is known not to have answered the machine."""
    last_answered, known_until = bound
    return known_until - last_answered


class LeaseEvidence:
    """This controller's knowledge of all machines, from its own heartbeats and from its peers.

    Suspicions of controllers (`emberglade/failure_detection`) are not evidence and are not used.

    Attributes:
        began_at: When this process began, by its clock.
        last_sync_sent_at: When the last answered sync was sent.
        last_seen: {machine: LastSeen}, from whichever controller has the newest message.
        direct_views: {peer: its newest answer about all machines}.
        partial_views: {peer: (the machines it was asked about, its answer about these alone)}.
        table_views: {peer: the view in its newest complete table}.
    """

    def __init__(self, settings: Any) -> None:
        self.settings = settings
        self.began_at = 0.0
        self.last_sync_sent_at = NEVER
        self.last_seen: dict[str, LastSeen] = {}
        self.direct_views: dict[str, PeerMachineView] = {}
        self.partial_views: dict[str, tuple[frozenset[str], PeerMachineView]] = {}
        self.table_views: dict[str, PeerMachineView] = {}
        # syncs that returned a higher revision than all before, the oldest first
        self.syncs: deque[Sync] = deque(maxlen=MAX_REMEMBERED_SYNCS)
        self.key_missing_since: dict[str, float] = {}  # peer -> since when its key is missing
        # peer -> when this controller asked the last question whose answer stated a replica that is
        # not newer than the one here
        self.caught_up_at: dict[str, float] = {}

    # --- information from the sources

    def note_machine(self, machine: str, status: MachineStatus, contact_at: float) -> None:
        """Records a source's information about a machine, unless newer information is known."""
        known = self.last_seen.get(machine)
        version = status.agent_epoch, status.sequence
        if known is None or version > known.version:
            self.last_seen[machine] = LastSeen(status, contact_at)
        elif version == known.version and contact_at > known.contact_at:
            known.contact_at = contact_at

    def add_answer(
        self,
        peer: str,
        asked_at: float,
        received_at: float,
        body: Any,
        asked_about: frozenset[str] | None = None,
    ) -> bool:
        """Adds a peer's answer about all machines, or about `asked_about` only.

        Returns:
            Whether the answer is well-formed.
        """
        view = peer_wire.read_machine_view(body)
        if view is None:
            return False
        recent_s = 2 * self.settings.agent_heartbeat_s
        active_machines = sum(status.age_s < recent_s for status in view.machines.values())
        answer = PeerMachineView(asked_at, received_at, *view, active_machines)
        if asked_about is None:
            self.direct_views[peer] = answer
        else:
            # The answer states nothing about other machines, not even that they are unknown.
            self.partial_views[peer] = asked_about, answer
        for machine, status in answer.machines.items():
            self.note_machine(machine, status, received_at - status.age_s)
        return True

    def add_table(
        self, peer: str, received_at: float, age_s: float, view: MachineView | None
    ) -> None:
        """Adds the view in a peer's table, which is `age_s` old by the controllers' wall clocks.

        `view` is None if the table is malformed.

        A table names the revision of the replica that it was made from. So it was made after this
        controller sent its last sync that still returned an older revision.
        """
        if view is None or view.revision is None:
            return
        not_before = self.last_sync_before(view.revision)
        self.table_views[peer] = PeerMachineView(not_before, received_at, *view)
        for machine, status in view.machines.items():
            self.note_machine(machine, status, received_at - status.age_s - max(0.0, age_s))

    def note_sync(self, sent_at: float, revision: int) -> None:
        """Records that a sync sent at `sent_at` was answered and returned this revision."""
        self.last_sync_sent_at = max(self.last_sync_sent_at, sent_at)
        if not self.syncs or revision > self.syncs[-1].revision:
            self.syncs.append(Sync(sent_at, revision))

    def last_sync_before(self, revision: int) -> float:
        """A moment before which no controller can have known this revision.

        A sync sent at that moment still returned an older revision.
        """
        return max((sync.sent_at for sync in self.syncs if sync.revision < revision), default=NEVER)

    def note_controllers(self, present: Set[str], now: float) -> None:
        """Records which controllers' keys exist, as the replica shows it."""
        for name in self.settings.names:
            if name in present or name == self.settings.node:
                self.key_missing_since.pop(name, None)
            else:
                self.key_missing_since.setdefault(name, now)

    def compare_replicas(self, revision: int) -> None:
        """Records which peers' replicas were not newer than the one here, now at `revision`.

        A peer without a replica is skipped: its previous process may have confirmed changes that
        the replica here does not show.
        """
        for peer, view in self.direct_views.items():
            if 0 <= view.replica_revision <= revision:
                caught_up_at = self.caught_up_at.get(peer, view.asked_at)
                self.caught_up_at[peer] = max(caught_up_at, view.asked_at)

    def forget_old(self, now: float) -> None:
        """Drops machines that no controller was in contact with for FORGET_AFTER_LEASES leases."""
        oldest = now - FORGET_AFTER_LEASES * self.settings.lease_s
        for name in [name for name, seen in self.last_seen.items() if seen.contact_at < oldest]:
            del self.last_seen[name]

    # --- conclusions

    def caught_up_since(self) -> float:
        """A moment up to which peers had confirmed to users only what the replica here shows."""
        return min(
            (self.caught_up_at.get(peer.name, NEVER) for peer in self.settings.peers),
            default=NEVER,
        )

    def lacks_recent_answers(self, now: float) -> bool:
        """Whether some peer has not answered recently; its tables are then the newest source."""
        recent_s = 4 * self.settings.agent_heartbeat_s
        return any(
            peer.name not in self.direct_views
            or now - self.direct_views[peer.name].asked_at > recent_s
            for peer in self.settings.peers
        )

    def proves_leases_expired(
        self,
        machine: str,
        own_contact_at: float,
        taint_revision: int,
        taint_seen_at: float,
        now: float,
    ) -> bool:
        """Whether every lease that a controller may have renewed for this machine has expired.

        Each controller states, from a replica that shows the taint, when it was last in contact
        with the machine. For a controller that can't be asked, it suffices that its key is
        missing from the store. If that controller's replica shows this and the taint, the
        controller does not answer this machine; if its replica is older, the controller stops
        answering agents within `max_staleness_s` (docs/safety.md, 7).
        """
        lease_s = self.settings.lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
        last_answered, known_until = own_contact_at, now
        for peer in self.settings.peers:
            bound = self._tightest_bound(peer.name, machine, taint_revision, taint_seen_at)
            if bound is None:
                return False
            last_answered = max(last_answered, bound[0])
            known_until = min(known_until, bound[1])
        return last_answered + lease_s < known_until

    def _tightest_bound(
        self, peer: str, machine: str, taint_revision: int, taint_seen_at: float
    ) -> AnswerBound | None:
        """The bound that excludes answers by a peer for the longest time; None if there is none."""
        asked_about, partial_view = self.partial_views.get(peer, NO_PARTIAL_VIEW)
        views = (
            self.direct_views.get(peer),
            self.table_views.get(peer),
            partial_view if machine in asked_about else None,
        )
        bounds = [
            (view.last_answered(machine), view.asked_at)
            for view in views
            if view is not None and view.revision is not None and view.revision >= taint_revision
        ]
        missing_since = self.key_missing_since.get(peer)
        if missing_since is not None:
            # If this peer were ignored, a lease that it renewed could be considered expired: the
            # agent may since send its heartbeats to another controller, whose newest statement is
            # from before that change (protocol_rules/isolated_controller.txt).
            both_seen_at = max(missing_since, taint_seen_at)
            last_answered = both_seen_at + self.settings.max_staleness_s * CLOCK_DRIFT
            bounds.append((last_answered, self.last_sync_sent_at))
        return max(bounds, key=unanswered_s, default=None)
