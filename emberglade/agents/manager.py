"""The agents where workers report.

Every node answers any worker. Commands are derived from the committed copy alone, and a start
only from a copy synced after the report arrived; the arguments are in docs/safety.md.
"""

import logging
import zlib

import orjson

from ..fleet.taints import Taints
from ..jobs.record import KEEP, SAVE, STOP, Part, Spec, read_part_key, shard_of, task_name
from ..membership import shard_count
from ..placement import read_types
from ..state import LIVE, Follower
from ..state import wire as state_wire
from ..state.store import DECISIONS
from . import wire
from .exchange import PeerExchange
from .withdrawals import Withdrawals

log = logging.getLogger("emberglade.agents")

CLEAR, START = "clear", "start"  # commands that take a sync


class Known:
    """A machine as last reported here."""

    __slots__ = ("report", "tasks", "heard", "answered", "quiet", "deaf", "probe")

    def __init__(self, report, now):
        self.report, self.tasks = report, None
        self.heard = self.answered = now
        self.quiet = False  # its last report led to nothing and waited for nothing
        self.deaf = False  # our answers don't reach it, as far as can be seen
        self.probe = None  # a token that it reports once it hears us again


class Entry:
    """What the agents has of a live job: only what decides over commands."""

    __slots__ = ("spec", "generation", "withdrawn", "withdrawn_at", "parts")

    def __init__(self, spec, generation):
        # `withdrawn_at`: the revision at which the withdrawal was seen; `generation` of the layout
        # of its parts
        self.spec, self.withdrawn, self.withdrawn_at, self.parts = spec, False, 0, {}
        self.generation = generation

    def bound(self):
        """(task, row as kept) of all bound tasks."""
        for rows in self.parts.values():
            yield from rows.items()


class AgentManager(PeerExchange, Withdrawals, Follower):
    """Answers workers' reports and commands their machines, out of the committed copy."""

    hears_contact = True

    def __init__(self, settings, store, job_manager, member, peers, workers):
        PeerExchange.__init__(self, settings)
        Withdrawals.__init__(self, settings)
        self.settings = settings
        self.store, self.job_manager, self.member, self.peers, self.workers = (
            store,
            job_manager,
            member,
            peers,
            workers,
        )
        self.known = {}
        self.jobs = {}  # job -> Entry
        # machine -> {(job, task): (attempt, stop, revision at which the stop was seen, session)}
        self.bound = {}
        self.touched = (
            set()
        )  # machines whose bindings or taint changed since their last report here
        self.fresh = []  # bindings and stops that came with the change at hand
        self.loose = {}
        self.taints = Taints()
        self.holders = {}
        self.types = {}
        self.nodes = set()
        self.revision = -1
        self.contact = float("-inf")
        self.outbox = {}  # node -> facts for it
        self.outbox_due = False
        self.undelivered = {}  # node -> facts that could not be told directly
        self.wrote_facts = False
        self.sent_home = {}  # machine -> when it was sent to a node in its own zone
        self.tried_home = {}  # node -> when a worker was last sent there
        self.waiting = {}  # reports that wait for a sync: number -> (report, reply, since)
        self.waited = 0

    def on_begin(self):
        self.born = self.now()
        super().on_begin()
        self.after(0.3, "ask_peers")
        self.after(0.5, "tick")
        self.after(1.0, "tables")
        self.after(self.settings.report_s, "press_halts")

    def on_contact(self, when, revision):
        self.contact = max(self.contact, when)
        self.detector.synced(when, revision)

    # --- the committed copy

    def on_changed(self, events, revision, whole):
        if whole:
            alive = {key for key, data, _ in events if data is not None}
            for job_id in [j for j in self.jobs if "j/" + j not in alive]:
                self.drop_job(job_id)
            self.nodes = set()
            self.taints.forget()
        tables = set()
        for key, data, stamp in events:
            self.absorb(key, data, stamp, tables)
        self.revision = max(self.revision, revision)
        self.detector.compare_copies(self.revision)
        if tables or whole:
            self.detector.nodes(self.nodes, self.now())
        for node in tables:
            self.read_table(node)
        fresh, self.fresh = self.fresh, []
        if not whole:
            self.command_directly(fresh)

    def absorb(self, key, data, stamp, tables):
        if key.startswith("j/"):
            job_id = key[2:]
            if data is None:
                self.drop_job(job_id)
                return
            entry = self.jobs.get(job_id)
            generation = data.get("g", "")
            if entry is None:
                entry = self.jobs[job_id] = Entry(Spec.decode(job_id, data["s"]), generation)
                if job_id in self.heard_withdrawn:
                    self.see_withdrawal(job_id, entry, self.heard_withdrawn[job_id])
                for number, (part, part_stamp) in self.take_loose(job_id, generation).items():
                    self.put_part(job_id, entry, number, part, part_stamp)
            elif generation != entry.generation:
                self.change_layout(job_id, entry, data, stamp)
            if data.get("w") and not entry.withdrawn:
                self.see_withdrawal(job_id, entry, stamp)
            self.put_part(job_id, entry, 0, data.get("p", {}), stamp)
        elif key.startswith("t/"):
            self.absorb_part(key, data, stamp)
        elif key.startswith("m/"):
            self.touched.update(self.taints.apply(key, data, stamp, self.now()))
        elif key.startswith("s/"):
            if data is not None:
                self.holders[int(key[2:])] = data.get("node")
        elif key.startswith("n/"):
            node = key[2:]
            tables.add(node)
            if data is None:
                self.nodes.discard(node)
                self.tables.pop(node, None)
            else:
                self.nodes.add(node)
                self.tables.setdefault(node, {})[key] = data
        elif key.startswith("r/"):
            node = key.split("/")[1]
            if data is None:
                self.tables.get(node, {}).pop(key, None)
            else:
                self.tables.setdefault(node, {})[key] = data
                tables.add(node)
        elif key.startswith("f/"):
            for fact in wire.read_facts(((data or {}).get("to") or {}).get(self.settings.node)):
                self.job_manager.tell(*fact)
        elif key == "catalog" and data is not None:
            self.types = read_types(data)

    def absorb_part(self, key, data, stamp):
        job_id, generation, number = read_part_key(key)
        entry = self.jobs.get(job_id)
        if entry is not None and generation == entry.generation:
            self.put_part(job_id, entry, number, data or {}, stamp)
        elif data is not None:
            self.loose.setdefault(job_id, {})[(generation, number)] = (data, stamp)
        else:
            self.loose.get(job_id, {}).pop((generation, number), None)
            if not self.loose.get(job_id, True):
                del self.loose[job_id]

    def take_loose(self, job_id, generation):
        """{number: (data, stamp)} of the parts of this layout that were seen before the record
        named it.
        """
        loose = self.loose.get(job_id, {})
        taken = {number: loose.pop((of, number)) for of, number in list(loose) if of == generation}
        if not loose:
            self.loose.pop(job_id, None)
        return taken

    def change_layout(self, job_id, entry, data, stamp):
        """The record names other parts. The tasks that both show bound stay so, in one step."""
        old = dict(entry.bound())
        parts = {
            number: Part.bound_rows(part)
            for number, (part, _) in self.take_loose(job_id, data["g"]).items()
        }
        parts[0] = Part.bound_rows(data.get("p", {}))
        entry.generation, entry.parts = data["g"], parts
        self.rebind(job_id, old, dict(entry.bound()), stamp)

    def drop_job(self, job_id):
        entry = self.jobs.pop(job_id, None)
        self.loose.pop(job_id, None)
        self.forget_withdrawal(job_id)
        if entry is not None:
            for number in list(entry.parts):
                self.put_part(job_id, entry, number, {}, 0)

    def put_part(self, job_id, entry, number, data, stamp):
        """Takes over one part; costs little for the tasks whose binding is the same as before."""
        old, new = entry.parts.get(number, {}), Part.bound_rows(data)
        self.rebind(job_id, old, new, stamp)
        entry.parts[number] = new

    def rebind(self, job_id, old, new, stamp):
        """Makes the bound tasks `old` of a job `new`; only differences cost anything."""
        for task, row in old.items():
            if new.get(task) != row:
                here = self.bound[row[1]]
                before = here.pop((job_id, task))
                if not here:
                    del self.bound[row[1]]
                self.touched.add(row[1])
                if task in new and new[task][0] == row[0]:
                    # The same attempt: a stop counts from when it was first seen.
                    self.hold(job_id, task, new[task], before[2] if before[1] else stamp)
                    self.fresh.append((job_id, task, *new[task][:3]))
        for task, row in new.items():
            before = old.get(task)
            if before is None or before[0] != row[0]:
                self.hold(job_id, task, row, stamp)
                self.fresh.append((job_id, task, *row[:3]))

    def hold(self, job_id, task, row, since):
        self.bound.setdefault(row[1], {})[(job_id, task)] = (
            row[0],
            row[3] if len(row) > 3 else KEEP,
            since,
            row[2],
        )
        self.touched.add(row[1])

    # --- reports

    def on_beat(self, data, reply):
        try:
            report = wire.read_report(data)
        except ValueError as error:
            reply(400, {"error": str(error)})
            return
        now = self.now()
        better = self.better_node(now)
        # Peers that lose contact themselves answer questions late by up to what a sync may take
        # (meetings/gap_silent.txt, 2).
        level_for = self.settings.lease_s / 4 + self.settings.report_s
        if better is not None and now - self.detector.level_since() > level_for:
            reply(421, wire.elsewhere(better))
            return
        name = report.machine
        taint = self.taints.get(name)
        if not self.entitled(now) or (taint and self.settings.node not in self.nodes):
            # What this node tells could be older than a cancellation, or the proof that this
            # machine's leases are over counts on its silence.
            reply(503, {"error": "no contact with the state service"}, 1)
            return
        home = self.home_node(report, now) if not taint else None
        if home is not None:
            reply(421, wire.elsewhere(home))
            return
        last_seen = self.detector.view.get(name)
        if (last_seen is not None and last_seen.age >= report.age) or taint == "gone":
            # A copy that came late, perhaps of a machine that was returned: no sign of life. The
            # lease that its answer could renew is one that the newer message renewed already.
            reply(200, wire.answer(report.token, []))
            return
        known = self.known.get(name)
        fresh = known is None
        if fresh:
            known = self.known[name] = Known(report, now)
        self.listen(known, report, last_seen, now)
        before, known.report = known.report, report
        known.heard = known.answered = now
        self.detector.view[name] = self.last_seen(known)
        if fresh:
            self.newcomers.append(name)
            self.soon_inventory()
        if (
            known.quiet
            and known.tasks is not None
            and name not in self.touched
            and report.raw == before.raw
            and report.session == before.session
            and report.notice_s is None
            and not known.deaf
        ):
            # Nothing is new: most reports end here, and most of the processor's time is reports.
            reply(200, wire.answer(report.token, []))
            return
        try:
            known.tasks = wire.read_tasks(report.raw)
        except ValueError as error:
            known.tasks = None
            reply(400, {"error": str(error)})
            return
        if (before.notice_s is None) != (report.notice_s is None):
            self.soon_inventory()
        self.touched.discard(name)
        told = self.tell_holders(report, known.tasks)
        token, commands, more = self.commands(known, False)
        known.quiet = (
            not (told or commands or more or token > report.token or known.deaf)
            and report.notice_s is None
        )
        if more == START and better is not None and not commands:
            # This node knows what the others know, but a start needs one that can sync. Nobody is
            # sent away for less: a worker that can't reach the other loses its lease on the way
            # (meetings/gap_silent.txt).
            reply(421, wire.elsewhere(better))
        elif more:
            self.waited += 1
            self.waiting[self.waited] = (known, report, reply, now)
            self.store.tell("sync", self.then("synced", self.waited))
        else:
            self.answer(known, report, False, reply)

    def on_synced(self, number, revision):
        waiting = self.waiting.pop(number, None)
        if waiting is not None:
            known, report, reply, _ = waiting
            self.answer(known, report, revision is not None, reply)

    def answer_late(self, now):
        """A worker gives a report up after some seconds; one that the state service keeps waiting
        is answered before, without what only a sync allows.
        """
        for number, (known, report, reply, since) in list(self.waiting.items()):
            if now - since > self.settings.report_s:
                del self.waiting[number]
                self.answer(known, report, False, reply)

    def answer(self, known, report, synced, reply):
        if known.report is not report:
            # A newer message came in between; its own answer says what is to be done.
            reply(200, wire.answer(report.token, []))
            return
        known.answered = self.now()
        token, commands, _ = self.commands(known, synced)
        reply(200, wire.answer(token, commands))

    def listen(self, known, report, last_seen, now):
        """Recognises a machine whose reports arrive while our answers don't reach it.

        Its leases end although it was answered all the time. It gets no more work, and is offered a
        token that it has not seen; once it reports that token, it hears us.
        """
        lease, report_s = self.settings.lease_s, self.settings.report_s
        if last_seen is not None and not known.deaf:
            early = (
                report.session > last_seen.row.session
                and now - last_seen.heard < lease - 2 * report_s
            )
            if early or last_seen.row.deaf:
                known.deaf, known.probe = True, None
                if early:
                    self.deaf_now.append(report.machine)
                self.soon_inventory()
        if known.deaf:
            if known.probe is not None and report.token >= known.probe:
                known.deaf, known.probe = False, None
                self.hearing_now.append(report.machine)
                self.soon_inventory()
            elif known.probe is None and self.revision > report.token:
                known.probe = self.revision

    def commands(self, known, synced):
        """(token, commands, what more a sync would allow: nothing, a clear, or a start)."""
        report, tasks = known.report, known.tasks
        token, commands, more = max(report.token, known.probe or 0), [], None
        bound = self.bound.get(report.machine, {})
        tainted = report.machine in self.taints
        for key, seen in tasks.items():
            name = task_name(*key)
            want = bound.get(key)
            if want is not None and want[0] == seen.attempt:
                if seen.state == "exited":
                    continue  # the holder is told; cleared once that is written
                stop, since = self.stop_of(key, want)
                if stop != KEEP:
                    token = max(token, since)
                    grace = self.grace(self.jobs[key[0]], stop)
                    if seen.state != "saving" or stop != SAVE:
                        commands.append(wire.halt(name, seen.attempt, grace))
            elif seen.state != "exited" and self.is_withdrawn(key[0]):
                # Whatever the copy lacks, nothing of a withdrawn job is wanted anywhere.
                token = max(token, self.withdrawn_revision(key[0]))
                commands.append(wire.halt(name, seen.attempt, 0))
            elif not synced:
                more = more or CLEAR
            elif seen.state == "exited":
                # Fenced: no start of this attempt that is still on its way can follow the clear.
                token = max(token, self.revision)
                commands.append(wire.clear(name, seen.attempt))
            else:
                token = max(token, self.revision)
                log.info(
                    "%s attempt %d on %s is not wanted there; stopping it",
                    name,
                    seen.attempt,
                    report.machine,
                )
                commands.append(wire.halt(name, seen.attempt, 0))
        for key, want in bound.items():
            seen = tasks.get(key)
            if (seen is not None and seen.attempt == want[0]) or report.session != want[3]:
                continue
            stop, since = self.stop_of(key, want)
            if stop != KEEP:
                # Absent: with this token seen, no late start can bring it back.
                token = max(token, since)
            elif seen is not None and seen.state != "exited":
                continue  # another attempt is still there; it is being stopped first
            elif tainted or known.deaf or report.notice_s is not None:
                continue
            elif not synced:
                more = START
            else:
                commands.append(wire.start(task_name(*key), want[0]))
        return token, commands, more

    @staticmethod
    def grace(entry, stop):
        return entry.spec.save_s * 1.5 + 1 if stop == SAVE else 0

    def stop_of(self, key, want):
        entry = self.jobs[key[0]]
        if entry.withdrawn:
            return STOP, (min(want[2], entry.withdrawn_at) if want[1] else entry.withdrawn_at)
        return want[1], want[2]

    # --- direct commands

    def command_directly(self, fresh):
        """Starts what was just bound, and stops what is to make room, without waiting for the
        machine's next report.

        The token is the revision of the copy that shows the binding. Whatever ends the binding is
        committed later and fenced with that later revision, or ends the session named here; so
        however late a start arrives, it can't act after either (docs/safety.md, 6). A stop is of an
        attempt that is never started again, so it does no harm at any time.
        """
        machines = {}
        for job_id, task, attempt, machine, session in fresh:
            entry = self.jobs.get(job_id)
            # Once broken: the binding and its stop came in one change, and the start went out all
            # the same, with a token above the stop's (rules/stopped_in_one_change.txt).
            want = self.bound.get(machine, {}).get((job_id, task))
            if (
                want is None
                or want[0] != attempt
                or want[3] != session
                or entry.withdrawn
                or self.holder_of(entry.spec) != self.settings.node
            ):
                continue
            name = task_name(job_id, task)
            machines.setdefault((machine, session), []).append(
                wire.start(name, attempt)
                if want[1] == KEEP
                else wire.halt(name, attempt, self.grace(entry, want[1]))
            )
        now = self.now()
        for (machine, session), commands in machines.items():
            last_seen = self.detector.view.get(machine)
            if last_seen is None:
                continue
            row = last_seen.row
            if machine in self.taints or row.notice:
                commands = [command for command in commands if wire.is_halt(command)]
            if (
                not commands
                or not row.addr
                or row.session != session
                or row.deaf
                or now - last_seen.heard > self.settings.lease_s / 2
            ):
                continue
            self.workers.call(
                row.addr,
                "POST",
                "/commands",
                wire.orders(self.revision, session, commands),
                self.settings.report_s,
                self.then("ordered", machine),
            )

    def on_ordered(self, machine, status, body):
        """200 or 409: the body is the worker's report, newer than what is known here."""
        if status not in (200, 409):
            return
        try:
            report = wire.read_report(body)
            tasks = wire.read_tasks(report.raw)
        except ValueError as error:
            log.info("%s answered a command with an odd report: %s", machine, error)
            return
        known = self.known.get(report.machine)
        # Direct commands renew no lease, and where the worker reports is not this node's to say.
        if known is not None and known.report.age < report.age:
            known.report, known.tasks, known.heard, known.quiet = report, tasks, self.now(), False
            self.detector.view[report.machine] = self.last_seen(known)
        self.tell_holders(report, tasks)

    # --- telling the holders of jobs

    def tell_holders(self, report, tasks):
        """Passes on what the report proves; True if anything was."""
        told = False
        for key, want in self.bound.get(report.machine, {}).items():
            seen = tasks.get(key)
            stop, since = self.stop_of(key, want)
            if seen is not None and seen.attempt == want[0]:
                if seen.state == "exited":
                    fact = ("exited", key[0], key[1], want[0], report.machine, seen.why, seen.saved)
                elif report.notice_s is not None and stop == KEEP:
                    fact = ("stop", key[0], key[1], want[0], SAVE, "its machine is taken back")
                else:
                    continue
            elif report.session > want[3] or (
                report.session == want[3] and stop != KEEP and report.token >= since
            ):
                # Its session is over, or its start can't be accepted any more: it will never run.
                fact = ("gone", key[0], key[1], want[0], report.machine)
            elif stop == KEEP and report.notice_s is not None:
                fact = ("stop", key[0], key[1], want[0], SAVE, "its machine is taken back")
            else:
                continue
            told = True
            self.pass_on(*fact)
        return told

    def on_ask_stop(self, job_id, task, attempt, how, reason):
        """The job_manager wants a task stopped that another node holds."""
        self.pass_on("stop", job_id, task, attempt, how, reason)

    def holder_of(self, spec):
        return self.holders.get(shard_of(spec, self.settings.teams, shard_count(self.settings)))

    def pass_on(self, message, job_id, *args):
        entry = self.jobs.get(job_id)
        if entry is None:
            return
        node = self.holder_of(entry.spec)
        if node == self.settings.node:
            self.job_manager.tell(message, job_id, *args)
        elif node in self.peers:
            self.outbox.setdefault(node, {})[(message, job_id, args[0])] = [message, job_id, *args]
            if not self.outbox_due:
                self.outbox_due = True
                self.after(self.settings.report_s / 20, "send_facts")

    def on_send_facts(self):
        self.outbox_due = False
        outbox, self.outbox = self.outbox, {}
        for node, facts in outbox.items():
            rows = list(facts.values())
            for first in range(0, len(rows), 200):
                some = rows[first : first + 200]
                self.peers[node].call(
                    "POST",
                    "/peer/facts",
                    some,
                    self.settings.report_s,
                    self.then("facts_sent", node, some),
                )

    def on_facts_sent(self, node, facts, status, body):
        if status == 200:
            self.undelivered.pop(node, None)
            return
        # Reports repeat what was not recorded; so only the latest failures are worth keeping.
        self.undelivered.setdefault(node, {}).update(((f[0], f[1], f[2]), f) for f in facts)

    def write_facts(self):
        """What peers could not be told directly goes through the state service."""
        undelivered, self.undelivered = self.undelivered, {}
        room, rows = self.settings.value_bytes - 256, {}
        for node, facts in undelivered.items():
            for fact in facts.values():
                room -= len(orjson.dumps(fact)) + 1
                if room > 0:
                    rows.setdefault(node, []).append(fact)
        if rows or self.wrote_facts:
            self.wrote_facts = bool(rows)
            self.store.tell(
                "commit",
                DECISIONS,
                [],
                [state_wire.put(f"{LIVE}f/{self.settings.node}", {"to": rows})],
                lambda status, revision, failed: None,
            )

    # --- who may answer

    def entitled(self, now):
        """Whether no withdrawal that this copy lacks can have been told to its user longer than
        `blind_s` ago.

        Either a sync was answered since, or every peer has stated since that its copy is no newer
        than this one: whatever a controller tells a user is in its own copy before (docs/safety.md,
        8).
        """
        if self.revision < 0:
            return False
        blind_s = self.settings.blind_s
        return now - self.contact <= blind_s or now - self.detector.level_since() <= blind_s

    def better_node(self, now):
        """A node that can follow the state service while this one can't."""
        quarter = self.settings.lease_s / 4
        if now - self.contact < quarter:
            return None
        for name, said in self.detector.told.items():
            if (
                now - said.got < 2 * self.settings.report_s
                and said.contact_s + now - said.got < quarter
            ):
                return name
        return None

    def home_node(self, report, now):
        """A node in the worker's own zone that can take it, if it is not there already.

        When a zone is cut off, its workers need their lease renewed by a node inside. Once broken:
        most reported to nodes outside, and with five of them the search for the one inside took
        longer than a lease (agents/zone_with_five.txt). A worker is sent once in four leases, so
        that one which can't reach that node stays where it is heard.
        """
        settings, name = self.settings, report.machine
        if (
            report.zone == settings.zone
            or report.notice_s is not None
            or now - self.sent_home.get(name, float("-inf")) < 4 * settings.lease_s
        ):
            return None
        inside = []
        for peer in settings.peers:
            said = self.detector.told.get(peer.name)
            if (
                peer.zone == report.zone
                and peer.name in self.nodes
                and said is not None
                and now - said.got < 2 * settings.report_s
                and said.contact_s + now - said.got < settings.lease_s / 4
                # It hears workers, or is to show by one now and then that it does.
                and (
                    said.hearing
                    or now - self.tried_home.get(peer.name, float("-inf")) > settings.lease_s / 4
                )
                # One node is not to hear them all, if most machines are in its zone.
                and said.hearing <= 3 * len(self.detector.view) / settings.size
            ):
                inside.append(peer.name)
        if not inside:
            return None
        chosen = inside[zlib.crc32(name.encode()) % len(inside)]
        self.sent_home[name] = self.tried_home[chosen] = now
        return chosen

    def on_ready(self, reply):
        reply(self.revision >= 0 and self.better_node(self.now()) is None)
