"""Facts about tasks, passed on to the controllers that hold their jobs."""

import logging

import orjson

from ..jobs.record import KEEP, SAVE, shard_of
from ..membership import shard_count
from ..state import LIVE
from ..state import wire as state_wire
from ..state.store import DECISIONS

log = logging.getLogger("emberglade.agents")


class Facts:
    """The part of the agent manager that tells the holders of jobs what reports prove."""

    def __init__(self):
        self.outbox = {}  # node -> facts for it
        self.outbox_due = False
        self.undelivered = {}  # node -> facts that could not be told directly
        self.wrote_facts = False

    def tell_holders(self, report, tasks):
        """Passes on what the report proves; True if anything was."""
        told = False
        for key, want in self.bound.get(report.machine, {}).items():
            seen = tasks.get(key)
            stop, since = self.stop_of(key, want)
            if seen is not None and seen.attempt == want.attempt:
                if seen.state == "exited":
                    fact = (
                        "exited",
                        key[0],
                        key[1],
                        want.attempt,
                        report.machine,
                        seen.why,
                        seen.saved,
                    )
                elif report.notice_s is not None and stop == KEEP:
                    fact = ("stop", key[0], key[1], want.attempt, SAVE, "its machine is taken back")
                else:
                    continue
            elif report.session > want.session or (
                report.session == want.session and stop != KEEP and report.token >= since
            ):
                # Its session is over, or its start can't be accepted any more: it will never run.
                fact = ("gone", key[0], key[1], want.attempt, report.machine)
            elif stop == KEEP and report.notice_s is not None:
                fact = ("stop", key[0], key[1], want.attempt, SAVE, "its machine is taken back")
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
