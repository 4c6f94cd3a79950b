"""Who heard which machine, when, and what that proves. Owned by the agents; no messages of its own.

Three sources tell of a machine: its reports here, what peers state when asked, and the tables that
every node writes to the state service. The newest (session, tally) wins; whatever is not newer
than that is a copy that came late, and no sign of life.
"""

from collections import deque
from dataclasses import dataclass

from ..state import CLOCK_DRIFT
from . import wire

MARGIN_S = 0.25  # timers fire late by a few milliseconds; scheduling of threads adds to that


@dataclass(slots=True)
class LastSeen:
    """A machine as the newest message that any node told of shows it."""

    row: wire.Row
    heard: float  # by our clock

    @property
    def age(self):
        return self.row.agent_epoch, self.row.sequence


@dataclass(frozen=True, slots=True)
class Statement:
    """What a node said of all machines. Made after `asked` and before `got`, by our clock."""

    asked: float
    got: float
    up_s: float
    contact_age_s: float
    revision: int | None
    known: dict
    replica_revision: int = -1  # of the peer's copy when it was made; -1: it had none
    hearing: int = 0  # machines that had reported to that node just before

    def last_heard(self, machine):
        """The latest moment at which that node may have heard or answered the machine.

        A node that does not know it may have answered it before it was restarted.
        """
        row = self.known.get(machine)
        return self.got - (self.up_s if row is None else min(self.up_s, row.age_s))


class LeaseEvidence:
    """What this controller knows of all machines, from its own reports and from its peers.

    Suspicions of controllers (`emberglade/failure_detection`) are no evidence and are not read.
    """

    def __init__(self, settings):
        self.settings = settings
        self.view = {}  # machine -> LastSeen
        self.told = {}  # peer -> Statement, asked for directly
        self.brief = {}  # peer -> (machines asked about, Statement of only them)
        self.written = {}  # peer -> Statement, out of its table
        self.moments = deque(maxlen=400)  # (a sync was sent, the revision it brought)
        self.absent = {}  # peer -> since when its key is missing
        self.level = {}  # peer -> when it was last asked and had no newer copy than ours
        self.last_contact = float("-inf")

    def see(self, machine, row, heard):
        """Notes what a source tells; True if it is newer than all that was known."""
        old = self.view.get(machine)
        age = row.agent_epoch, row.sequence
        if old is None or age > old.age:
            self.view[machine] = LastSeen(row, heard)
            return True
        if age == old.age and heard > old.heard:
            old.heard = heard
        return False

    def hear(self, peer, asked, got, body, only=None):
        """A peer's answer, of all machines or of those asked about; False if it is odd."""
        found = wire.read_statement(body)
        if found is None:
            return False
        lately = 2 * self.settings.agent_heartbeat_s
        statement = Statement(
            asked, got, *found, sum(row.age_s < lately for row in found[3].values())
        )
        if only is None:
            self.told[peer] = statement
        else:
            # Of others it says nothing, not that they were never heard.
            self.brief[peer] = only, statement
        for machine, row in statement.known.items():
            self.see(machine, row, got - row.age_s)
        return True

    def compare_replicas(self, revision):
        """Notes which peers' copies were not newer than ours, now that ours is at `revision`.

        A peer without a copy says nothing about what its former process may have told.
        """
        for peer, said in self.told.items():
            if 0 <= said.replica_revision <= revision:
                self.level[peer] = max(self.level.get(peer, said.asked), said.asked)

    def level_since(self):
        """A moment up to which no peer had told anybody of anything that our copy does not show."""
        return min(
            (self.level.get(peer.name, float("-inf")) for peer in self.settings.peers),
            default=float("-inf"),
        )

    def read_table(self, peer, got, age_s, body):
        """A peer's table, about `age_s` old by the time of day."""
        found = wire.read_statement(body)
        if found is None or found[2] is None:
            return
        statement = self.written[peer] = Statement(self.after_revision(found[2]), got, *found)
        for machine, row in statement.known.items():
            self.see(machine, row, got - row.age_s - max(0.0, age_s))

    def synced(self, sent, revision):
        self.last_contact = max(self.last_contact, sent)
        if not self.moments or revision > self.moments[-1][1]:
            self.moments.append((sent, revision))

    def after_revision(self, revision):
        """A moment before which nobody can have known this revision.

        A sync sent at that moment still brought an older one.
        """
        return max((sent for sent, seen in self.moments if seen < revision), default=float("-inf"))

    def nodes(self, present, now):
        """Which peers' keys are there, as of the copy."""
        for name in self.settings.names:
            if name in present or name == self.settings.node:
                self.absent.pop(name, None)
            else:
                self.absent.setdefault(name, now)

    def missing_peers(self, now):
        """Whether a peer has not answered lately, so that only its tables tell of its machines."""
        return any(
            now - self.told[p.name].asked > 4 * self.settings.agent_heartbeat_s
            if p.name in self.told
            else True
            for p in self.settings.peers
        )

    def forget_old(self, now):
        oldest = now - 10 * self.settings.lease_s
        for name in [name for name, s in self.view.items() if s.heard < oldest]:
            del self.view[name]

    def proven_over(self, machine, own_heard, taint_revision, taint_seen, now):
        """Whether every lease that a node may have renewed for this machine has run out.

        Each node states, from a copy that shows the taint, when it last heard or answered the
        machine. For a node that can't be asked its own key speaks: without it, and with the taint
        in its copy, it does not answer this machine, and with an older copy it answers nobody for
        longer than `max_staleness_s` (docs/safety.md, 7).
        """
        limit = self.settings.lease_s * CLOCK_DRIFT + MARGIN_S
        last, covered = own_heard, now
        for peer in self.settings.peers:
            # (the latest moment at which this node may have answered, up to when that is known)
            only, brief = self.brief.get(peer.name, ((), None))
            said = [
                (s.last_heard(machine), s.asked)
                for s in (
                    self.told.get(peer.name),
                    self.written.get(peer.name),
                    brief if machine in only else None,
                )
                if s is not None and s.revision is not None and s.revision >= taint_revision
            ]
            gone = self.absent.get(peer.name)
            if gone is not None:
                # Once broken: this node was left out of the account, though a worker that it had
                # kept alive could go to a node whose statement was older
                # (protocol_rules/isolated_controller.txt).
                said.append(
                    (
                        max(gone, taint_seen) + self.settings.max_staleness_s * CLOCK_DRIFT,
                        self.last_contact,
                    )
                )
            if not said:
                return False
            its_last, its_covered = max(said, key=lambda pair: pair[1] - pair[0])
            last, covered = max(last, its_last), min(covered, its_covered)
        return last + limit < covered
