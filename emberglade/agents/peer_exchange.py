"""What the nodes tell each other, and the job_manager and the leader, about machines."""

import logging

from ..actors import callback, tell, tell_after
from ..placement import Machine
from ..state import wire as state_wire
from . import wire
from .lease_evidence import LastSeen, LeaseEvidence
from .tables import TABLE_S

log = logging.getLogger("emberglade.agents")

MAX_ASKED = 1000  # machines in one question, so that it stays well below 64 KiB


class PeerExchange:
    """The part of the agent manager that asks peers, and says what machines there are."""

    inventory_due = False

    def __init__(self, settings):
        self.evidence = LeaseEvidence(settings)
        self.asked_by = {}  # peer -> when it last asked here, and so could get an answer
        self.asked = {}  # peer -> when it was asked
        self.asked_whole = float("-inf")
        self.asked_from = 0  # where among the lost machines the next question begins
        self.inventory, self.inventory_told = {}, float("-inf")
        self.newcomers = []
        self.newly_unreachable, self.newly_reachable = [], []

    def on_ask_peers(self):
        """Asks peers for all machines now and then, and more often for those whose tasks wait for
        proof.
        """
        now = self.now()
        often, interval = (
            min(1.0, self.settings.agent_heartbeat_s) / 4,
            self.settings.peer_exchange_s,
        )
        lost = [
            name for name, taint in self.taints.items() if taint == "lost" and name in self.bindings
        ]
        tell_after(often if lost else interval, self.on_ask_peers)
        whole = now - self.asked_whole >= interval - often / 2
        if not whole and not lost:
            return
        if whole:
            self.asked_whole = now
        only = None if whole else self.next_asked(lost)
        for name, link in self.peers.items():
            if now - self.asked.get(name, -100) < 3 * self.settings.agent_heartbeat_s:
                continue
            self.asked[name] = now
            link.call(
                "POST",
                "/peer/heard",
                wire.question(self.settings.node, only),
                2 * self.settings.agent_heartbeat_s,
                callback(self.on_peer_heard, name, now, None if whole else frozenset(only)),
            )

    def next_asked(self, lost):
        """The machines that the next question is about: all, or in turns if they are too many."""
        first = self.asked_from if self.asked_from < len(lost) else 0
        self.asked_from = first + MAX_ASKED
        return lost[first : first + MAX_ASKED]

    def on_tick(self):
        tell_after(min(1.0, self.settings.agent_heartbeat_s), self.on_tick)
        self.answer_late(self.now())
        self.write_updates()
        if self.needs_rows(self.now()) and not self.rows_in_table:
            self.ask_for_table()
        if self.now() - self.inventory_told >= self.settings.peer_exchange_s:
            self.tell_inventory()

    def last_seen(self, known):
        return LastSeen(self.row(known, known.heard), max(known.heard, known.answered))

    @staticmethod
    def row(known, now):
        heartbeat = known.heartbeat
        return wire.Row(
            round(now - max(known.heard, known.answered), 3),
            heartbeat.type,
            heartbeat.zone,
            heartbeat.spot,
            heartbeat.agent_epoch,
            heartbeat.sequence,
            heartbeat.spot_notice_s is not None,
            known.unreachable,
            heartbeat.addr,
        )

    def rows(self, now, within, only=None):
        """{machine: a Row's values} of what reported here lately, or ever if nobody has newer news
        of it.

        Workers go from node to node: without the latter half, each node would soon tell of them
        all.
        """
        rows, view = {}, self.evidence.view
        for name, known in (
            self.known.items()
            if only is None
            else [(n, self.known[n]) for n in only if n in self.known]
        ):
            quiet = now - known.heard
            if quiet >= within:
                if quiet >= 10 * self.settings.lease_s:
                    continue
                last_seen = view.get(name)
                if last_seen is not None and last_seen.age > known.heartbeat.age:
                    continue
            heartbeat = known.heartbeat
            rows[name] = (
                round(now - max(known.heard, known.answered), 3),
                heartbeat.type,
                heartbeat.zone,
                heartbeat.spot,
                heartbeat.agent_epoch,
                heartbeat.sequence,
                heartbeat.spot_notice_s is not None,
                known.unreachable,
                heartbeat.addr,
            )
        return rows

    def on_heard(self, question, reply):
        """A peer asks what is known here; answered from a copy synced after the question.

        Without contact a sync may take longer than the peer waits; what the copy's revision says it
        needs at once (combined_faults/cancel_before_outage_timeouts.txt).
        """
        self.asked_by[question.asker] = self.now()
        if self.now() - self.last_contact > self.settings.lease_s / 4:
            self.on_heard_synced(question.only, reply, None)
            return
        tell(self.store.on_sync, callback(self.on_heard_synced, question.only, reply))

    def on_heard_synced(self, only, reply, revision):
        now = self.now()
        reply(
            200,
            wire.statement(
                now - self.born,
                min(1e6, now - self.last_contact),
                revision,
                self.revision,
                self.rows(now, 2 * self.settings.lease_s, only),
            ),
        )

    def on_peer_heard(self, name, asked, only, status, body):
        self.asked.pop(name, None)
        if status == 200 and not self.evidence.hear(name, asked, self.now(), body, only):
            log.info("%s made an odd statement; it is asked again", name)
        elif status == 200 and only is None:
            self.evidence.compare_replicas(self.revision)
            if (
                self.evidence.told[name].replica_revision > self.revision >= 0
                and self.now() - self.last_contact > self.settings.agent_heartbeat_s / 2
            ):
                # The state service is out of reach here. What it committed may be had from this
                # peer.
                self.peers[name].call(
                    "POST",
                    "/peer/changes",
                    state_wire.since(self.revision),
                    2 * self.settings.agent_heartbeat_s,
                    lambda status, body, since=self.revision: tell(
                        self.store.on_changes_of_peer, since, status, body
                    ),
                )

    def soon_inventory(self):
        if not self.inventory_due:
            self.inventory_due = True
            tell_after(self.settings.agent_heartbeat_s / 8, self.on_inventory)

    def on_inventory(self):
        self.inventory_due = False
        if self.newcomers:
            # After a restart hundreds come at once: one line for all.
            log.info(
                "%d machines begin to report here: %s%s",
                len(self.newcomers),
                " ".join(self.newcomers[:8]),
                " and others" if len(self.newcomers) > 8 else "",
            )
            self.newcomers = []
        for names, text in (
            (
                self.newly_unreachable,
                "%d machines lost their lease although they were answered; "
                "they get no work until they hear us: %s%s",
            ),
            (self.newly_reachable, "%d machines hear us again: %s%s"),
        ):
            if names:
                log.info(
                    text, len(names), " ".join(names[:8]), " and others" if len(names) > 8 else ""
                )
                names.clear()
        self.tell_inventory()

    def tell_inventory(self):
        now = self.now()
        for name in [
            n for n, k in self.known.items() if now - k.heard > 10 * self.settings.lease_s
        ]:
            del self.known[name]
        self.sent_home = {
            name: at for name, at in self.sent_home.items() if now - at < 4 * self.settings.lease_s
        }
        self.evidence.forget_old(now)
        fresh = 3 * self.settings.agent_heartbeat_s + 1
        if self.evidence.missing_peers(now):
            # Their tables come less often than their answers would.
            fresh += TABLE_S
        inventory = {}
        for name, last_seen in self.evidence.view.items():
            row = last_seen.row
            if row.type in self.machine_types:
                usable = (
                    now - last_seen.heard < fresh and not row.spot_notice and not row.unreachable
                )
                old = self.inventory.get(name)
                if (
                    old is None
                    or (old.agent_epoch, old.open) != (row.agent_epoch, usable)
                    or old.type is not self.machine_types[row.type]
                ):
                    old = Machine(
                        name,
                        self.machine_types[row.type],
                        row.zone,
                        row.spot,
                        row.agent_epoch,
                        usable,
                    )
                inventory[name] = old
        self.inventory, self.inventory_told = inventory, now
        tell(self.job_manager.on_inventory, inventory)

    def on_silence(self, reply, tainted=False):
        """`reply({machine: (heard, proven over, unreachable, whether it ever was)}, slack)` for the
        leader; of tainted machines only if so asked. Who was never heard counts from when this
        process began.
        """
        now = self.now()
        result = {}
        # Tables are older than what a peer would answer; that is not the machines' silence. Nor is
        # it a sign of life.
        slack = TABLE_S if self.evidence.missing_peers(now) else 0.0
        for name in sorted(
            set(self.taints)
            if tainted
            else set(self.evidence.view) | set(self.bindings) | set(self.taints)
        ):
            last_seen, known, taint = (
                self.evidence.view.get(name),
                self.known.get(name),
                self.taints.of.get(name),
            )
            own = max(known.heard, known.answered) if known else self.born
            heard = last_seen.heard if last_seen is not None else self.born
            proven = taint is not None and self.evidence.proven_over(
                name, own, taint[1], taint[2], now
            )
            result[name] = (
                heard,
                proven,
                last_seen is not None and last_seen.row.unreachable,
                last_seen is not None,
            )
        reply(result, slack)
