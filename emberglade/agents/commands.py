"""Commands to workers, derived from the committed copy and their reports."""

import logging

from ..actors import callback
from ..jobs.record import KEEP, SAVE, STOP, task_name
from . import wire

log = logging.getLogger("emberglade.agents")


CLEAR, START = "clear", "start"  # commands that take a sync


class Commands:
    """The part of the agent manager that decides what a machine is told."""

    def commands(self, known, synced):
        """(token, commands, what more a sync would allow: nothing, a clear, or a start)."""
        heartbeat, tasks = known.heartbeat, known.tasks
        fencing_token, commands, more = max(heartbeat.fencing_token, known.probe or 0), [], None
        bindings = self.bindings.get(heartbeat.machine, {})
        tainted = heartbeat.machine in self.taints
        for key, seen in tasks.items():
            name = task_name(*key)
            want = bindings.get(key)
            if want is not None and want.attempt == seen.attempt:
                if seen.state == "exited":
                    continue  # the holder is told; cleared once that is written
                stop, since = self.stop_of(key, want)
                if stop != KEEP:
                    fencing_token = max(fencing_token, since)
                    grace = self.grace(self.jobs[key[0]], stop)
                    if seen.state != "saving" or stop != SAVE:
                        commands.append(wire.halt(name, seen.attempt, grace))
            elif seen.state != "exited" and self.is_cancelled(key[0]):
                # Whatever the copy lacks, nothing of a cancelled job is wanted anywhere.
                fencing_token = max(fencing_token, self.cancelled_revision(key[0]))
                commands.append(wire.halt(name, seen.attempt, 0))
            elif not synced:
                more = more or CLEAR
            elif seen.state == "exited":
                # Fenced: no start of this attempt that is still on its way can follow the clear.
                fencing_token = max(fencing_token, self.revision)
                commands.append(wire.clear(name, seen.attempt))
            else:
                fencing_token = max(fencing_token, self.revision)
                log.info(
                    "%s attempt %d on %s is not wanted there; stopping it",
                    name,
                    seen.attempt,
                    heartbeat.machine,
                )
                commands.append(wire.halt(name, seen.attempt, 0))
        for key, want in bindings.items():
            seen = tasks.get(key)
            if (
                seen is not None and seen.attempt == want.attempt
            ) or heartbeat.agent_epoch != want.agent_epoch:
                continue
            stop, since = self.stop_of(key, want)
            if stop != KEEP:
                # Absent: with this token seen, no late start can bring it back.
                fencing_token = max(fencing_token, since)
            elif seen is not None and seen.state != "exited":
                continue  # another attempt is still there; it is being stopped first
            elif tainted or known.unreachable or heartbeat.spot_notice_s is not None:
                continue
            elif not synced:
                more = START
            else:
                commands.append(wire.start(task_name(*key), want.attempt))
        return fencing_token, commands, more

    @staticmethod
    def grace(entry, stop):
        return entry.spec.checkpoint_save_s * 1.5 + 1 if stop == SAVE else 0

    def stop_of(self, key, want):
        entry = self.jobs[key[0]]
        if entry.cancelled:
            return STOP, (
                min(want.stop_seen, entry.cancelled_at) if want.stop else entry.cancelled_at
            )
        return want.stop, want.stop_seen

    def command_directly(self, fresh):
        """Starts what was just bound, and stops what is to make room, without waiting for the
        machine's next report.

        The token is the revision of the copy that shows the binding. Whatever ends the binding is
        committed later and fenced with that later revision, or ends the session named here; so
        however late a start arrives, it can't act after either (docs/safety.md, 6). A stop is of an
        attempt that is never started again, so it does no harm at any time.
        """
        machines = {}
        for job_id, task, attempt, machine, agent_epoch in fresh:
            entry = self.jobs.get(job_id)
            # Once broken: the binding and its stop came in one change, and the start went out all
            # the same, with a token above the stop's (protocol_rules/bound_and_stopped.txt).
            want = self.bindings.get(machine, {}).get((job_id, task))
            if (
                want is None
                or want.attempt != attempt
                or want.agent_epoch != agent_epoch
                or entry.cancelled
                or self.holder_of(entry.spec) != self.settings.node
            ):
                continue
            name = task_name(job_id, task)
            machines.setdefault((machine, agent_epoch), []).append(
                wire.start(name, attempt)
                if want.stop == KEEP
                else wire.halt(name, attempt, self.grace(entry, want.stop))
            )
        now = self.now()
        for (machine, agent_epoch), commands in machines.items():
            last_seen = self.evidence.view.get(machine)
            if last_seen is None:
                continue
            row = last_seen.row
            if machine in self.taints or row.spot_notice:
                commands = [command for command in commands if wire.is_halt(command)]
            if (
                not commands
                or not row.addr
                or row.agent_epoch != agent_epoch
                or row.unreachable
                or now - last_seen.heard > self.settings.lease_s / 2
            ):
                continue
            self.workers.call(
                row.addr,
                "POST",
                "/commands",
                wire.orders(self.revision, agent_epoch, commands),
                self.settings.agent_heartbeat_s,
                callback(self.on_ordered, machine),
            )

    def on_ordered(self, machine, status, body):
        """200 or 409: the body is the worker's report, newer than what is known here."""
        if status not in (200, 409):
            return
        try:
            heartbeat = wire.read_agent_heartbeat(body)
            tasks = wire.read_tasks(heartbeat.raw)
        except ValueError as error:
            log.info("%s answered a command with an odd report: %s", machine, error)
            return
        known = self.known.get(heartbeat.machine)
        # Direct commands renew no lease, and where the worker reports is not this node's to say.
        if known is not None and known.heartbeat.age < heartbeat.age:
            known.heartbeat, known.tasks, known.heard, known.quiet = (
                heartbeat,
                tasks,
                self.now(),
                False,
            )
            self.evidence.view[heartbeat.machine] = self.last_seen(known)
        self.tell_holders(heartbeat, tasks)
