"""Who heard which machine, when, and what that proves. Owned by the agents; no messages of its own.

Three sources tell of a machine: its heartbeats here, what peers answer when asked, and the tables
that every controller writes to the store. The newest (agent epoch, sequence) wins; whatever is not
newer than that is a copy that came late, and no sign of life.
"""

from collections import deque
from collections.abc import Set
from dataclasses import dataclass
from typing import Any, NamedTuple

from ..state import CLOCK_DRIFT
from .wire import peers as peer_wire
from .wire.peers import MachineStatus, MachineView

LEASE_MARGIN_S = 0.25  # timers fire late by a few milliseconds; scheduling of threads adds to that
MAX_REMEMBERED_SYNCS = 400  # that are remembered
FORGET_AFTER_LEASES = 10  # after so many leases without a sign of life a machine is forgotten
NEVER = float("-inf")  # as a moment


@dataclass(slots=True)
class LastSeen:
    """A machine as the newest message that any controller knows of shows it.

    Attributes:
        contact_at: When it was last heard or answered, by our clock.
    """

    status: MachineStatus
    contact_at: float

    @property
    def version(self) -> tuple[int, int]:
        """(agent epoch, sequence) of that message."""
        return self.status.agent_epoch, self.status.sequence


@dataclass(frozen=True, slots=True)
class PeerMachineView:
    """What a peer said of all machines.

    It was made after `asked_at` and before `received_at`, by our clock. The other fields are
    those of MachineView.

    Attributes:
        active_machines: How many machines had sent it a heartbeat just before.
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
        """The latest moment at which that controller may have heard or answered the machine.

        A controller that does not know it may have answered it before it was restarted.
        """
        status = self.machines.get(machine)
        return self.received_at - (self.up_s if status is None else min(self.up_s, status.age_s))

    def contact_age_at(self, now: float) -> float:
        """Seconds since that controller's last answered sync, if there was none since it spoke."""
        return self.contact_age_s + now - self.received_at


NO_PARTIAL_VIEW: tuple[frozenset[str], None] = (frozenset(), None)


class Sync(NamedTuple):
    """A sync that was answered: when it was sent, and the revision that it brought."""

    sent_at: float
    revision: int


# A bound on when one controller may have answered one machine: (the latest moment at which it may
# have, the moment up to which that is known). Thousands of machines may wait for proof, each with
# several bounds for every peer, so they are plain tuples.
AnswerBound = tuple[float, float]


def unanswered_s(bound: AnswerBound) -> float:
    """For how long a controller is known not to have answered."""
    last_answered, known_until = bound
    return known_until - last_answered


class LeaseEvidence:
    """What this controller knows of all machines, from its own heartbeats and from its peers.

    Suspicions of controllers (`emberglade/failure_detection`) are no evidence and are not read.

    Attributes:
        began_at: When this process began, by its clock.
        last_sync_sent_at: When the last sync that was answered was sent.
        last_seen: {machine: LastSeen}, whoever heard it.
        direct_views: {peer: its newest answer about all machines}.
        partial_views: {peer: (the machines it was asked about, its answer about only them)}.
        table_views: {peer: the view of its newest complete table}.
    """

    def __init__(self, settings: Any) -> None:
        self.settings = settings
        self.began_at = 0.0
        self.last_sync_sent_at = NEVER
        self.last_seen: dict[str, LastSeen] = {}
        self.direct_views: dict[str, PeerMachineView] = {}
        self.partial_views: dict[str, tuple[frozenset[str], PeerMachineView]] = {}
        self.table_views: dict[str, PeerMachineView] = {}
        self.syncs: deque[Sync] = deque(maxlen=MAX_REMEMBERED_SYNCS)
        self.key_missing_since: dict[str, float] = {}  # peer -> since when its key is missing
        # peer -> when it was last asked and then had no newer replica than ours
        self.caught_up_at: dict[str, float] = {}

    # --- what the sources tell

    def note_machine(self, machine: str, status: MachineStatus, contact_at: float) -> None:
        """Notes what a source tells of a machine, unless something newer is known."""
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
        """Takes a peer's answer, about all machines or those asked about; False if malformed."""
        view = peer_wire.read_machine_view(body)
        if view is None:
            return False
        recent_s = 2 * self.settings.agent_heartbeat_s
        active_machines = sum(status.age_s < recent_s for status in view.machines.values())
        answer = PeerMachineView(asked_at, received_at, *view, active_machines)
        if asked_about is None:
            self.direct_views[peer] = answer
        else:
            # Of others it says nothing, not that they were never heard.
            self.partial_views[peer] = asked_about, answer
        for machine, status in answer.machines.items():
            self.note_machine(machine, status, received_at - status.age_s)
        return True

    def add_table(
        self, peer: str, received_at: float, age_s: float, view: MachineView | None
    ) -> None:
        """Takes the view of a peer's table, about `age_s` old by the time of day; None: malformed.

        A table names the revision of the replica that it was made from, so it was made after the
        last sync that still brought us an older one.
        """
        if view is None or view.revision is None:
            return
        not_before = self.last_sync_before(view.revision)
        self.table_views[peer] = PeerMachineView(not_before, received_at, *view)
        for machine, status in view.machines.items():
            self.note_machine(machine, status, received_at - status.age_s - max(0.0, age_s))

    def note_sync(self, sent_at: float, revision: int) -> None:
        """Notes that a sync sent then was answered and brought this revision."""
        self.last_sync_sent_at = max(self.last_sync_sent_at, sent_at)
        if not self.syncs or revision > self.syncs[-1].revision:
            self.syncs.append(Sync(sent_at, revision))

    def last_sync_before(self, revision: int) -> float:
        """A moment before which nobody can have known this revision.

        A sync sent at that moment still brought an older one.
        """
        return max((sync.sent_at for sync in self.syncs if sync.revision < revision), default=NEVER)

    def note_controllers(self, present: Set[str], now: float) -> None:
        """Notes which controllers' keys are there, as the replica shows it."""
        for name in self.settings.names:
            if name in present or name == self.settings.node:
                self.key_missing_since.pop(name, None)
            else:
                self.key_missing_since.setdefault(name, now)

    def compare_replicas(self, revision: int) -> None:
        """Notes which peers' replicas were not newer than ours, now that ours is at `revision`.

        A peer without a replica says nothing about what its former process may have told.
        """
        for peer, view in self.direct_views.items():
            if 0 <= view.replica_revision <= revision:
                caught_up_at = self.caught_up_at.get(peer, view.asked_at)
                self.caught_up_at[peer] = max(caught_up_at, view.asked_at)

    def forget_old(self, now: float) -> None:
        """Forgets machines that nobody has heard for FORGET_AFTER_LEASES leases."""
        oldest = now - FORGET_AFTER_LEASES * self.settings.lease_s
        for name in [name for name, seen in self.last_seen.items() if seen.contact_at < oldest]:
            del self.last_seen[name]

    # --- what follows from it

    def caught_up_since(self) -> float:
        """A moment up to which no peer had told anybody what our replica does not show."""
        return min(
            (self.caught_up_at.get(peer.name, NEVER) for peer in self.settings.peers),
            default=NEVER,
        )

    def lacks_recent_answers(self, now: float) -> bool:
        """Whether a peer has not answered lately, so that only its tables tell of its machines."""
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
        """Whether every lease that a controller may have renewed for this machine has run out.

        Each controller states, from a replica that shows the taint, when it last heard or answered
        the machine. For one that can't be asked its own key speaks: without it, and with the taint
        in its replica, it does not answer this machine, and with an older replica it answers
        nobody for longer than `max_staleness_s` (docs/safety.md, 7).
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
        """The bound on a peer's answers with the longest silence; None if nothing is known."""
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
            # Once broken: such a peer was left out of the account, though a machine that it had
            # kept alive could go to a controller whose statement was older
            # (protocol_rules/isolated_controller.txt).
            both_seen_at = max(missing_since, taint_seen_at)
            last_answered = both_seen_at + self.settings.max_staleness_s * CLOCK_DRIFT
            bounds.append((last_answered, self.last_sync_sent_at))
        return max(bounds, key=unanswered_s, default=None)
