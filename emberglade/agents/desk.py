"""The desk where workers report.

Every node answers any worker. Commands are derived from the committed copy alone, and a start
only from a copy synced after the report arrived; the arguments are in docs/safety.md.
"""

import logging

from ..jobs.record import KEEP, SAVE, Job, Part, shard_of, task_name
from ..membership import shard_count
from ..placement import Machine, read_types
from ..state import Follower
from . import wire

log = logging.getLogger("emberglade.agents")

DRIFT = 1.001  # steady clocks of two machines, each off by up to 0.05 %
MARGIN_S = 0.25  # timers fire late by a few milliseconds; scheduling of threads adds to that


class Known:
    """A machine as last reported here."""

    __slots__ = ("report", "heard", "answered", "notice_until")

    def __init__(self, report, heard):
        self.report, self.heard, self.answered = report, heard, heard
        self.notice_until = None


class Desk(Follower):
    def __init__(self, settings, ledger, keeper, member, peers, workers):
        self.workers = workers
        self.fresh = []  # bindings that came with the change at hand
        self.settings = settings
        self.ledger, self.keeper, self.member, self.peers = ledger, keeper, member, peers
        self.known = {}
        self.jobs = {}  # job -> [spec, withdrawn, rev withdrawn was seen at, {part: {task: (attempt, machine, stop, rev, session)}}]
        self.bound = {}  # machine -> {(job, task): (attempt, stop, revision at which the stop was seen, session)}
        self.loose = {}
        self.marks = {}
        self.holders = {}
        self.types = {}
        self.tables = {}
        self.revision = -1
        self.contact = float("-inf")
        self.told = {}  # peer -> its last statement
        self.asked = {}
        # After a cancellation was told, its tasks must be gone in cancel_s. A worker that is
        # answered by a node which can't know of it lives on; this is how long a node may answer.
        self.blind_s = max(settings.lease_s / 4, settings.cancel_s - settings.lease_s * 1.5)

    def on_begin(self):
        self.born = self.now()
        super().on_begin()
        self.after(0.3, "ask_peers")
        self.after(1.0, "tables")

    def on_contact(self, when):
        self.contact = max(self.contact, when)

    # --- the committed copy

    def on_changed(self, events, revision, whole):
        if whole:
            alive = {key for key, data, _ in events if data is not None}
            for job_id in [j for j in self.jobs if "j/" + j not in alive]:
                self.drop_job(job_id)
        for key, data, stamp in events:
            self.absorb(key, data, stamp)
        self.revision = max(self.revision, revision)
        fresh, self.fresh = self.fresh, []
        if not whole:
            self.start_directly(fresh)

    def absorb(self, key, data, stamp):
        if key.startswith("j/"):
            job_id = key[2:]
            if data is None:
                self.drop_job(job_id)
                return
            job = Job.decode(job_id, data, stamp)
            entry = self.jobs.get(job_id)
            if entry is None:
                entry = self.jobs[job_id] = [job.spec, False, 0, {}]
                for number, (part, part_stamp) in self.loose.pop(job_id, {}).items():
                    self.put_part(job_id, entry, number, part, part_stamp)
            if job.withdrawn and not entry[1]:
                entry[1], entry[2] = True, stamp
            self.put_part(job_id, entry, 0, job.parts[0], stamp)
        elif key.startswith("t/"):
            _, job_id, number = key.split("/")
            part = Part.decode(data, stamp) if data is not None else Part()
            entry = self.jobs.get(job_id)
            if entry is None:
                if data is None:
                    self.loose.get(job_id, {}).pop(int(number), None)
                else:
                    self.loose.setdefault(job_id, {})[int(number)] = (part, stamp)
            else:
                self.put_part(job_id, entry, int(number), part, stamp)
        elif key.startswith("m/"):
            if data is None:
                self.marks.pop(key[2:], None)
            else:
                self.marks[key[2:]] = data.get("mark")
        elif key.startswith("s/"):
            if data is not None:
                self.holders[int(key[2:])] = data.get("node")
        elif key.startswith("n/"):
            if data is not None and data.get("table"):
                self.tables[key[2:]] = data["table"]
        elif key == "catalog" and data is not None:
            self.types = read_types(data)

    def drop_job(self, job_id):
        entry = self.jobs.pop(job_id, None)
        self.loose.pop(job_id, None)
        if entry is not None:
            for number in list(entry[3]):
                self.put_part(job_id, entry, number, Part(), 0)

    def put_part(self, job_id, entry, number, part, stamp):
        old = entry[3].get(number, {})
        new = {}
        for task, bound in part.bound.items():
            since = stamp
            before = old.get(task)
            if before is not None and before[0] == bound.attempt and before[2] and bound.stop:
                since = before[3]
            new[task] = (bound.attempt, bound.machine, bound.stop, since, bound.session)
        for task, (_, machine, _, _, _) in old.items():
            if task not in new or new[task][1] != machine:
                on = self.bound.get(machine)
                if on is not None:
                    on.pop((job_id, task), None)
                    if not on:
                        del self.bound[machine]
        for task, row in new.items():
            if not row[2] and (task not in old or old[task][0] != row[0]):
                self.fresh.append((job_id, task, row[0], row[1], row[4]))
            self.bound.setdefault(row[1], {})[(job_id, task)] = (row[0], row[2], row[3], row[4])
        entry[3][number] = new

    # --- reports

    def on_beat(self, data, reply):
        try:
            report = wire.read_report(data)
        except ValueError as error:
            reply(400, {"error": str(error)})
            return
        now = self.now()
        node = self.better_node(now)
        if node is not None:
            reply(421, wire.elsewhere(node))
            return
        if self.revision < 0 or now - self.contact > self.blind_s:
            # Not entitled any more: what this node tells could be older than a cancellation.
            reply(503, {"error": "no contact with the state service"}, 1)
            return
        known = self.known.get(report.machine)
        if known is not None and known.report.age >= report.age:
            reply(200, wire.answer(report.token, []))
            return
        fresh = known is None
        if fresh:
            known = self.known[report.machine] = Known(report, now)
        known.report, known.heard, known.answered = report, now, now
        if report.notice_s is not None:
            known.notice_until = now + report.notice_s
        else:
            known.notice_until = None
        self.tell_holders(report)
        if fresh:
            log.info("%s (%s in %s, %s) reports here", report.machine, report.type, report.zone,
                     "spot" if report.spot else "ordinary")
            self.tell_inventory()
            self.write_table()
        if self.commands(report, False)[2]:
            self.ledger.tell("sync", self.then("synced", report, reply))
        else:
            self.answer(report, False, reply)

    def on_synced(self, report, reply, revision):
        self.answer(report, revision is not None, reply)

    def answer(self, report, synced, reply):
        known = self.known.get(report.machine)
        if known is not None:
            known.answered = self.now()
        token, commands, _ = self.commands(report, synced)
        reply(200, wire.answer(token, commands))

    def commands(self, report, synced):
        """(token, commands, whether a sync would allow more)."""
        token, commands, more = report.token, [], False
        bound = self.bound.get(report.machine, {})
        marked = report.machine in self.marks
        for key, seen in report.tasks.items():
            name = task_name(*key)
            want = bound.get(key)
            if want is not None and want[0] == seen.attempt:
                if seen.state == "exited":
                    continue  # the holder is told; cleared once that is written
                stop, since = self.stop_of(key, want)
                if stop != KEEP:
                    token = max(token, since)
                    entry = self.jobs[key[0]]
                    grace = entry[0].save_s * 1.5 + 1 if stop == SAVE else 0
                    if seen.state != "saving" or stop != SAVE:
                        commands.append(wire.halt(name, seen.attempt, grace))
            elif not synced:
                more = True
            elif seen.state == "exited":
                # Fenced: no start of this attempt that is still on its way can follow the clear.
                token = max(token, self.revision)
                commands.append(wire.clear(name, seen.attempt))
            else:
                token = max(token, self.revision)
                log.info("%s attempt %d on %s is not wanted there; stopping it", name, seen.attempt, report.machine)
                commands.append(wire.halt(name, seen.attempt, 0))
        for key, want in bound.items():
            seen = report.tasks.get(key)
            if (seen is not None and seen.attempt == want[0]) or report.session != want[3]:
                continue
            stop, since = self.stop_of(key, want)
            if stop != KEEP:
                # Absent: with this token seen, no late start can bring it back.
                token = max(token, since)
            elif seen is not None and seen.state != "exited":
                continue  # another attempt is still there; it is being stopped first
            elif marked or (report.notice_s is not None):
                continue
            elif not synced:
                more = True
            else:
                commands.append(wire.start(task_name(*key), want[0]))
        return token, commands, more

    def stop_of(self, key, want):
        entry = self.jobs[key[0]]
        if entry[1]:
            return 1, (min(want[2], entry[2]) if want[1] else entry[2])
        return want[1], want[2]

    # --- direct commands

    def start_directly(self, fresh):
        """Starts what was just bound without waiting for the machine's next report.

        The token is the revision of the copy that shows the binding. Whatever ends the binding is
        committed later and fenced with that later revision, or ends the session named here; so
        however late this arrives, it can't act after either (docs/safety.md, 6).
        """
        machines = {}
        for job_id, task, attempt, machine, session in fresh:
            entry = self.jobs.get(job_id)
            if entry is not None and not entry[1] and self.holder_of(entry[0]) == self.settings.node:
                machines.setdefault((machine, session), []).append(wire.start(task_name(job_id, task), attempt))
        rows = self.machines() if machines else {}
        for (machine, session), commands in machines.items():
            row, heard = rows.get(machine, (None, 0))
            if row is None or not row[7] or row[4] != session or row[6] or machine in self.marks \
                    or self.now() - heard > 2 * self.settings.report_s:
                continue
            self.workers.call(row[7], "POST", "/commands", wire.orders(self.revision, session, commands),
                              self.settings.report_s, self.then("ordered", machine))

    def on_ordered(self, machine, status, body):
        """200 or 409: the body is the worker's report, newer than what is known here."""
        if status not in (200, 409):
            return
        try:
            report = wire.read_report(body)
        except ValueError as error:
            log.info("%s answered a command with an odd report: %s", machine, error)
            return
        known = self.known.get(report.machine)
        # Direct commands renew no lease, and where the worker reports is not this node's to say.
        if known is not None and known.report.age < report.age:
            known.report = report
            known.heard = self.now()
        self.tell_holders(report)

    # --- telling the holders of jobs

    def tell_holders(self, report):
        bound = self.bound.get(report.machine, {})
        for key, want in bound.items():
            seen = report.tasks.get(key)
            if seen is not None and seen.attempt == want[0]:
                if seen.state == "exited":
                    self.pass_on(key[0], "exited", key[1], want[0], report.machine, seen.why, seen.saved)
                elif report.notice_s is not None and want[1] == KEEP and not self.jobs[key[0]][1]:
                    self.pass_on(key[0], "stop", key[1], want[0], SAVE, "its machine is taken back")
                continue
            stop, since = self.stop_of(key, want)
            if report.session > want[3] or (report.session == want[3] and stop != KEEP and report.token >= since):
                # Its session is over, or its start can't be accepted any more: it will never run.
                self.pass_on(key[0], "gone", key[1], want[0], report.machine)
            elif stop == KEEP and report.notice_s is not None:
                self.pass_on(key[0], "stop", key[1], want[0], SAVE, "its machine is taken back")

    def on_ask_stop(self, job_id, task, attempt, how, reason):
        """The keeper wants a task stopped that another node holds."""
        self.pass_on(job_id, "stop", task, attempt, how, reason)

    def holder_of(self, spec):
        return self.holders.get(shard_of(spec, self.settings.teams, shard_count(self.settings)))

    def pass_on(self, job_id, message, *args):
        entry = self.jobs.get(job_id)
        if entry is None:
            return
        node = self.holder_of(entry[0])
        if node == self.settings.node:
            self.keeper.tell(message, job_id, *args)
        elif node in self.peers:
            self.peers[node].call("POST", "/peer/task", [message, job_id, *args], self.settings.report_s,
                                  lambda status, body: None)

    # --- what the nodes tell each other about machines

    def on_ask_peers(self):
        now = self.now()
        self.after(min(1.0, self.settings.report_s), "ask_peers")
        for name, link in self.peers.items():
            if now - self.asked.get(name, -100) < 3 * self.settings.report_s:
                continue
            self.asked[name] = now
            link.call("POST", "/peer/heard", {}, 2 * self.settings.report_s, self.then("peer_heard", name, now))
        self.tell_inventory()

    def on_heard(self, reply):
        """A peer asks what is known here; answered from a copy synced after the question."""
        self.ledger.tell("sync", self.then("heard_synced", reply))

    def on_heard_synced(self, reply, revision):
        now = self.now()
        rows = {name: [round(now - max(k.heard, k.answered), 3), k.report.type, k.report.zone, k.report.spot, k.report.session,
                       k.report.tally, k.report.notice_s is not None, k.report.addr]
                for name, k in self.known.items() if now - k.heard < 10 * self.settings.lease_s}
        reply(200, {"up": now - self.born, "contact": min(1e6, now - self.contact), "rev": revision, "known": rows})

    def on_peer_heard(self, name, asked, status, body):
        self.asked.pop(name, None)
        if status != 200 or not isinstance(body, dict) or "known" not in body:
            return
        self.told[name] = (asked, self.now(), body)

    def better_node(self, now):
        """A node that can follow the state service while this one can't."""
        if now - self.contact < self.settings.lease_s / 4:
            return None
        for name, (_, got, body) in self.told.items():
            if now - got < 2 * self.settings.report_s and body["contact"] + now - got < self.settings.lease_s / 4:
                return name
        return None

    def on_ready(self, reply):
        reply(self.revision >= 0 and self.better_node(self.now()) is None)

    def machines(self):
        """{machine: (row, last heard at the latest, by our clock)}, from here, peers and tables."""
        now = self.now()
        found = {}

        def see(name, row, heard):
            old = found.get(name)
            if old is None or (row[4], row[5]) > (old[0][4], old[0][5]):
                found[name] = (row, max(heard, old[1]) if old else heard)
            elif heard > old[1]:
                found[name] = (old[0], heard)
        for node, table in self.tables.items():
            if node not in self.told and node != self.settings.node:
                for name, row in table.get("m", {}).items():
                    # As of when the table was written; how long ago is not told, so it counts as old.
                    see(name, row, now - self.settings.lease_s / 2)
        for _, got, body in self.told.values():
            for name, row in body["known"].items():
                see(name, row, got - row[0])
        for name, k in self.known.items():
            see(name, [0, k.report.type, k.report.zone, k.report.spot, k.report.session, k.report.tally,
                       k.report.notice_s is not None, k.report.addr], max(k.heard, k.answered))
        return found

    def tell_inventory(self):
        now = self.now()
        for name in [n for n, k in self.known.items() if now - k.heard > 10 * self.settings.lease_s]:
            del self.known[name]
        fresh = 3 * self.settings.report_s + 1
        inventory = {name: Machine(name, self.types[row[1]], row[2], row[3], row[4], now - heard < fresh and not row[6])
                     for name, (row, heard) in self.machines().items() if row[1] in self.types}
        self.keeper.tell("inventory", inventory)

    def on_silence(self, reply):
        """`reply({machine: (heard_by, silent_since, proven, session)}, all_stated)` for the leader.

        A machine's tasks are proven dead when every node has stated, from a copy synced after
        its mark, that it has neither heard nor answered it for longer than a lease.
        """
        now = self.now()
        limit = self.settings.lease_s * DRIFT + MARGIN_S
        latest = {name: heard for name, (row, heard) in self.machines().items()}
        stated = [(asked, got, body) for asked, got, body in self.told.values()
                  if body["rev"] is not None and now - asked < 4 * self.settings.report_s]
        everyone = len(stated) == len(self.settings.names) - 1
        names = set(latest) | set(self.bound) | set(self.marks)
        result = {}
        for name in names:
            # The latest moment at which any node may have heard it: a node that does not know
            # it may have answered it before it was restarted.
            heard = []
            known = self.known.get(name)
            heard.append(max(known.heard, known.answered) if known else self.born)
            for _asked, got, body in stated:
                row = body["known"].get(name)
                heard.append(got - min(body["up"], row[0]) if row else got - body["up"])
            last = max(heard)
            earliest = min([now, *(asked for asked, _, _ in stated)])
            oldest_rev = min([self.revision, *(body["rev"] for _, _, body in stated)])
            result[name] = (latest.get(name, self.born), last, everyone and last + limit < earliest, oldest_rev)
        reply(result)

    def on_tables(self):
        self.after(5.0, "tables")
        self.write_table()

    def write_table(self):
        """Counts and free room, for whoever has not been told directly."""
        self.keeper.tell("demand", self.then("table_demand"))

    def on_table_demand(self, demand):
        now = self.now()
        rows = {name: [0, k.report.type, k.report.zone, k.report.spot, k.report.session, k.report.tally,
                       k.report.notice_s is not None, k.report.addr]
                for name, k in self.known.items() if now - k.heard < self.settings.lease_s}
        self.member.tell("table", {"d": [[*pool, round(count, 4)] for pool, count in demand.items()], "m": rows})
