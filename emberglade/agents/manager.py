"""The agents where workers report.

Every node answers any worker. Commands are derived from the committed copy alone, and a start
only from a copy synced after the report arrived; the arguments are in docs/safety.md.
"""

import logging

from ..actors import callback, tell, tell_after
from ..state import ReplicaSubscriber
from . import wire
from .bindings import CommittedBindings
from .cancellations import Cancellations
from .commands import START, Commands
from .peer_exchange import PeerExchange
from .routing import Routing
from .tables import Tables
from .update_forwarding import UpdateForwarding

log = logging.getLogger("emberglade.agents")


class Known:
    """A machine as last reported here."""

    __slots__ = ("heartbeat", "tasks", "heard", "answered", "quiet", "unreachable", "probe")

    def __init__(self, heartbeat, now):
        self.heartbeat, self.tasks = heartbeat, None
        self.heard = self.answered = now
        self.quiet = False  # its last report led to nothing and waited for nothing
        self.unreachable = False  # our answers don't reach it, as far as can be seen
        self.probe = None  # a token that it reports once it hears us again


class AgentManager(
    CommittedBindings,
    Commands,
    UpdateForwarding,
    Routing,
    PeerExchange,
    Tables,
    Cancellations,
    ReplicaSubscriber,
):
    """Answers workers' reports and commands their machines, out of the committed copy."""

    hears_contact = True

    def __init__(self, settings, store, job_manager, member, peers, workers):
        self.settings, self.store = settings, store
        self.job_manager, self.member = job_manager, member
        self.peers, self.workers = peers, workers
        CommittedBindings.__init__(self)
        UpdateForwarding.__init__(self)
        Routing.__init__(self)
        PeerExchange.__init__(self, settings)
        Tables.__init__(self)
        Cancellations.__init__(self, settings)
        self.known = {}  # machine -> Known
        self.last_contact = float("-inf")  # when the last sync that was answered was sent
        self.waiting = {}  # reports that wait for a sync: number -> (known, report, reply, since)
        self.waited = 0

    def on_begin(self):
        self.born = self.now()
        super().on_begin()
        tell_after(0.3, self.on_ask_peers)
        tell_after(0.5, self.on_tick)
        tell_after(1.0, self.on_tables)
        tell_after(self.settings.agent_heartbeat_s, self.on_press_halts)

    def on_contact(self, when, revision):
        self.last_contact = max(self.last_contact, when)
        self.evidence.synced(when, revision)

    # --- reports

    def on_heartbeat(self, data, reply):
        try:
            heartbeat = wire.read_agent_heartbeat(data)
        except ValueError as error:
            reply(400, {"error": str(error)})
            return
        now = self.now()
        better = self.better_node(now)
        # Peers that lose contact themselves answer questions late by up to what a sync may take
        # (combined_faults/cancel_before_outage_timeouts.txt, 2).
        level_for = self.settings.lease_s / 4 + self.settings.agent_heartbeat_s
        if better is not None and now - self.evidence.level_since() > level_for:
            reply(421, wire.elsewhere(better))
            return
        name = heartbeat.machine
        taint = self.taints.get(name)
        if not self.entitled(now) or (taint and self.settings.node not in self.nodes):
            # What this node tells could be older than a cancellation, or the proof that this
            # machine's leases are over counts on its silence.
            reply(503, {"error": "no contact with the state service"}, 1)
            return
        home = self.home_node(heartbeat, now) if not taint else None
        if home is not None:
            reply(421, wire.elsewhere(home))
            return
        last_seen = self.evidence.view.get(name)
        if (last_seen is not None and last_seen.age >= heartbeat.age) or taint == "gone":
            # A copy that came late, perhaps of a machine that was returned: no sign of life. The
            # lease that its answer could renew is one that the newer message renewed already.
            reply(200, wire.answer(heartbeat.fencing_token, []))
            return
        known = self.known.get(name)
        fresh = known is None
        if fresh:
            known = self.known[name] = Known(heartbeat, now)
        self.listen(known, heartbeat, last_seen, now)
        before, known.heartbeat = known.heartbeat, heartbeat
        known.heard = known.answered = now
        self.evidence.view[name] = self.last_seen(known)
        if fresh:
            self.newcomers.append(name)
            self.soon_inventory()
        if (
            known.quiet
            and known.tasks is not None
            and name not in self.touched
            and heartbeat.raw == before.raw
            and heartbeat.agent_epoch == before.agent_epoch
            and heartbeat.spot_notice_s is None
            and not known.unreachable
        ):
            # Nothing is new: most reports end here, and most of the processor's time is reports.
            reply(200, wire.answer(heartbeat.fencing_token, []))
            return
        try:
            known.tasks = wire.read_tasks(heartbeat.raw)
        except ValueError as error:
            known.tasks = None
            reply(400, {"error": str(error)})
            return
        if (before.spot_notice_s is None) != (heartbeat.spot_notice_s is None):
            self.soon_inventory()
        self.touched.discard(name)
        told = self.tell_holders(heartbeat, known.tasks)
        fencing_token, commands, more = self.commands(known, False)
        known.quiet = (
            not (
                told
                or commands
                or more
                or fencing_token > heartbeat.fencing_token
                or known.unreachable
            )
            and heartbeat.spot_notice_s is None
        )
        if more == START and better is not None and not commands:
            # This node knows what the others know, but a start needs one that can sync. Nobody is
            # sent away for less: a worker that can't reach the other loses its lease on the way
            # (combined_faults/cancel_before_outage_timeouts.txt).
            reply(421, wire.elsewhere(better))
        elif more:
            self.waited += 1
            self.waiting[self.waited] = (known, heartbeat, reply, now)
            tell(self.store.on_sync, callback(self.on_synced, self.waited))
        else:
            self.answer(known, heartbeat, False, reply)

    def on_synced(self, number, revision):
        waiting = self.waiting.pop(number, None)
        if waiting is not None:
            known, heartbeat, reply, _ = waiting
            self.answer(known, heartbeat, revision is not None, reply)

    def answer_late(self, now):
        """A worker gives a report up after some seconds; one that the state service keeps waiting
        is answered before, without what only a sync allows.
        """
        for number, (known, heartbeat, reply, since) in list(self.waiting.items()):
            if now - since > self.settings.agent_heartbeat_s:
                del self.waiting[number]
                self.answer(known, heartbeat, False, reply)

    def answer(self, known, heartbeat, synced, reply):
        if known.heartbeat is not heartbeat:
            # A newer message came in between; its own answer says what is to be done.
            reply(200, wire.answer(heartbeat.fencing_token, []))
            return
        known.answered = self.now()
        fencing_token, commands, _ = self.commands(known, synced)
        reply(200, wire.answer(fencing_token, commands))

    def listen(self, known, heartbeat, last_seen, now):
        """Recognises a machine whose reports arrive while our answers don't reach it.

        Its leases end although it was answered all the time. It gets no more work, and is offered a
        token that it has not seen; once it reports that token, it hears us.
        """
        lease, agent_heartbeat_s = self.settings.lease_s, self.settings.agent_heartbeat_s
        if last_seen is not None and not known.unreachable:
            early = (
                heartbeat.agent_epoch > last_seen.row.agent_epoch
                and now - last_seen.heard < lease - 2 * agent_heartbeat_s
            )
            if early or last_seen.row.unreachable:
                known.unreachable, known.probe = True, None
                if early:
                    self.newly_unreachable.append(heartbeat.machine)
                self.soon_inventory()
        if known.unreachable:
            if known.probe is not None and heartbeat.fencing_token >= known.probe:
                known.unreachable, known.probe = False, None
                self.newly_reachable.append(heartbeat.machine)
                self.soon_inventory()
            elif known.probe is None and self.revision > heartbeat.fencing_token:
                known.probe = self.revision
