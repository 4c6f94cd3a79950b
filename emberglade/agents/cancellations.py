"""Halts of cancelled jobs' tasks, sent directly to their machines and told to the other
controllers.

A cancellation reaches a task in the next answer to its machine's report, if the controller that
answers has seen it. One that the state service refuses has not, and its workers go on reporting to
it. So the controller that confirms a cancellation halts the tasks itself, and every other one that
knows of it does so a little later if the record still shows them (docs/safety.md, 8).
"""

import logging

from ..actors import callback, tell_after
from .wire import agents as agent_wire
from .wire import peers as peer_wire

log = logging.getLogger("emberglade.agents")

# Heartbeat intervals after which the controllers that did not confirm a cancellation halt as well.
LATER_HEARTBEATS = 3


class Cancellations:
    """The part of the agents that sees to it that cancelled tasks end, whoever their machines
    report to.
    """

    def __init__(self, settings):
        self.cancelled = {}  # live cancelled job -> from when on its tasks are halted directly
        # job -> revision, told by a peer of what this copy does not show yet
        self.heard_cancelled = {}
        self.halted = {}  # machine -> (session, when the last direct halt was sent)
        self.halting = set()  # machines whose answer to a direct halt is awaited
        # cancelled job -> {(task, attempt)} that its machine's own report shows ended
        self.seen_off = {}
        # Machines that hang hold a thread each until they time out; starts need some as well.
        self.most_halting = max(2, settings.fd_limit // 128)
        self.held_back = False  # some halts wait for others to be answered

    # --- who knows of a cancellation

    def see_cancellation(self, job_id, entry, revision):
        entry.cancelled, entry.cancelled_at = True, revision
        self.touched.update(row[1] for _, row in entry.bindings())
        self.cancelled.setdefault(
            job_id, self.now() + LATER_HEARTBEATS * self.settings.agent_heartbeat_s
        )

    def forget_cancellation(self, job_id):
        self.cancelled.pop(job_id, None)
        self.seen_off.pop(job_id, None)

    def is_cancelled(self, job_id):
        return job_id in self.cancelled or job_id in self.heard_cancelled

    def cancelled_revision(self, job_id):
        entry = self.jobs.get(job_id)
        return entry.cancelled_at if entry is not None else self.heard_cancelled[job_id]

    def on_confirm_cancellation(self, job_id):
        """This controller tells a user that the job is cancelled; its copy shows that."""
        if job_id in self.cancelled:
            self.cancelled[job_id] = self.now()
            for link in self.peers.values():
                link.call(
                    "POST",
                    peer_wire.CANCELLATION_PATH,
                    peer_wire.write_cancellation(job_id, self.cancelled_revision(job_id)),
                    self.settings.agent_heartbeat_s,
                    lambda status, body: None,
                )
            self.press_halts(job_id)

    def on_hear_cancellation(self, job_id, revision):
        """A peer's word is enough to halt; that the job is cancelled is told to users from the copy
        alone.
        """
        if revision <= self.revision:
            return  # shown by the copy, if the job is not over by now
        self.heard_cancelled[job_id] = revision
        entry = self.jobs.get(job_id)
        if entry is not None and not entry.cancelled:
            self.see_cancellation(job_id, entry, revision)

    def on_peer_dead(self, name):
        """Its halts may not have been sent: every survivor sends those that are due, at once."""
        now = self.now()
        for job_id, due in self.cancelled.items():
            self.cancelled[job_id] = min(due, now)
        self.press_due_halts()

    # --- direct halts

    def on_press_halts(self):
        tell_after(self.settings.agent_heartbeat_s / 2, self.on_press_halts)
        for job_id in [
            job_id for job_id, revision in self.heard_cancelled.items() if revision <= self.revision
        ]:
            del self.heard_cancelled[job_id]
        self.halted = {
            name: last
            for name, last in self.halted.items()
            if self.now() - last[1] < self.settings.lease_s
        }
        self.press_due_halts()

    def press_due_halts(self):
        self.held_back = False
        now = self.now()
        for job_id in [job_id for job_id, due in self.cancelled.items() if due <= now]:
            self.press_halts(job_id)

    def press_halts(self, job_id):
        """Sends what is still bound of the job a halt, again and again until its machine shows it
        ended.
        """
        now, entry, machines = self.now(), self.jobs.get(job_id), {}
        if entry is None:
            return
        off = self.seen_off.setdefault(job_id, set())
        for task, (attempt, machine, agent_epoch, *_) in entry.bindings():
            if (task, attempt) not in off:
                machines.setdefault((machine, agent_epoch), []).append((task, attempt))
        for machine, agent_epoch in machines:
            if len(self.halting) >= self.most_halting:
                self.held_back = True
                return
            last_seen = self.evidence.view.get(machine)
            last = self.halted.get(machine, (0, float("-inf")))
            if (
                last_seen is None
                or not last_seen.row.addr
                or last_seen.row.agent_epoch > agent_epoch
                or machine in self.halting
                or (
                    last[0] == agent_epoch
                    and now - last[1] < self.settings.agent_heartbeat_s
                    and self.cancelled[job_id] < last[1]
                )
            ):
                continue
            self.send_halts(machine, agent_epoch, last_seen.row.addr, self.revision)

    def send_halts(self, machine, agent_epoch, addr, fencing_token):
        """All of this machine's cancelled tasks in one message.

        Its token is at least the revision of the cancellation, so that no start from before it, on
        its way however long, is accepted afterwards.
        """
        commands = []
        for (job_id, task), want in self.bindings.get(machine, {}).items():
            if job_id in self.cancelled and want.agent_epoch == agent_epoch:
                fencing_token = max(fencing_token, self.cancelled_revision(job_id))
                commands.append(agent_wire.HaltTask((job_id, task), want.attempt, 0))
        if not commands:
            return
        self.halted[machine] = (agent_epoch, self.now())
        self.halting.add(machine)
        self.workers.call(
            addr,
            "POST",
            agent_wire.COMMANDS_PATH,
            agent_wire.write_direct_commands(fencing_token, agent_epoch, commands),
            self.settings.agent_heartbeat_s,
            callback(self.on_halted, machine, agent_epoch, addr, fencing_token),
        )

    def on_halted(self, machine, agent_epoch, addr, fencing_token, status, body):
        self.halting.discard(machine)
        self.on_ordered(machine, status, body)
        if status not in (200, 409):
            return
        try:
            heartbeat = agent_wire.read_heartbeat(body)
            tasks = agent_wire.read_tasks(heartbeat.raw_tasks)
        except agent_wire.HeartbeatError:
            return  # logged already
        if (
            status == 409
            and heartbeat.agent_epoch == agent_epoch
            and heartbeat.fencing_token > fencing_token
        ):
            # It has seen a newer token. Halts of what is cancelled are true at any time.
            self.send_halts(machine, agent_epoch, addr, heartbeat.fencing_token)
            return
        for (job_id, task), want in self.bindings.get(machine, {}).items():
            seen = tasks.get((job_id, task))
            if job_id in self.cancelled and (
                heartbeat.agent_epoch > want.agent_epoch
                or seen is None
                or seen.attempt != want.attempt
                or seen.state is agent_wire.TaskState.EXITED
            ):
                self.seen_off.setdefault(job_id, set()).add((task, want.attempt))
        if self.held_back:
            self.press_due_halts()
