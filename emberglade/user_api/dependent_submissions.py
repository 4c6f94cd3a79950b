"""Submissions that await other jobs, and questions about jobs that wait.

A job may only wait for jobs that were accepted before it, and what an accepted job waits for never
changes. So no cycle can be accepted: of its jobs, one would have been accepted first.
"""

import logging
from dataclasses import dataclass, field

from ..actors import callback, tell
from ..jobs import wire as jobs_wire
from ..jobs.chunking import waiting_record_with_segments
from ..jobs.dependencies import DependencyGraph
from ..jobs.job_spec import JobSpec
from ..jobs.wire import Outcome, final_key, job_key, segment_key, waiting_key
from ..state import FINAL_PREFIX, LIVE_PREFIX
from ..state import wire as state_wire
from ..state.store import DECISIONS, SUBMISSIONS
from . import wire

log = logging.getLogger("emberglade.user_api")

MAX_READS = 32  # final keys that one request may have read; a repeat of it finds them at hand
TRANSACTION_BYTES = 40 * 1024  # of the pieces in one transaction; PROTOCOL allows 64 KiB in all


@dataclass
class NeedsRead:
    """The final keys that a request waits for."""

    left: set
    then: object  # called with this once all are read
    never_accepted: list = field(default_factory=list)
    failed: bool = False  # some could not be read now


@dataclass
class DependentSubmission:
    """A submission that awaits other jobs, until it is answered."""

    spec: JobSpec
    needs: tuple
    reply: object
    record: object = None
    pieces: list = field(
        default_factory=list
    )  # (key, value), to be written from the last to the first


class DependentSubmissions:
    """The part of the front door that deals with jobs that wait for others."""

    def __init__(self):
        self.graph = DependencyGraph()
        self.format_raised = False  # whether every controller knows of waiting jobs
        self.reads = {}  # need whose final key is being read -> the NeedsRead that wait for it
        self.lists = 0

    # --- reading how needs ended

    def read_needs(self, needs, then):
        """`then(NeedsRead)` once the final keys of these jobs are read, or as many as one request
        may read.
        """
        some = set(sorted(needs)[:MAX_READS])
        waiting = NeedsRead(set(some), then, failed=len(some) < len(needs))
        for need in some:
            if need in self.reads:
                self.reads[need].append(waiting)
                continue
            self.reads[need] = [waiting]
            tell(
                self.store.on_read,
                DECISIONS,
                FINAL_PREFIX + final_key(need),
                callback(self.on_need_read, need),
            )

    def on_need_read(self, need, status, data, mod_revision):
        final = jobs_wire.read_final(status, data)
        if final is not None:
            self.graph.resolve(need, final.outcome)
        for waiting in self.reads.pop(need, ()):
            waiting.left.discard(need)
            if status == 404:
                waiting.never_accepted.append(need)
            elif final is None:
                waiting.failed = True
            if not waiting.left:
                waiting.then(waiting)

    # --- submissions

    def submit_dependent(self, spec, needs, reply):
        """Accepts a job that awaits others, if these were accepted; the submission counts as open
        already.
        """
        submission = DependentSubmission(spec, needs, reply)
        tell(self.store.on_sync, callback(self.on_needs_synced, submission))

    def on_needs_synced(self, submission, revision):
        job_id = submission.spec.id
        if revision is None:
            self.give_up(submission)
        elif job_id in self.live or job_id in self.graph.waiting:
            self.open_submissions -= 1
            self.look_up(job_id, callback(self.on_resubmitted, submission.reply))
        elif job_id in submission.needs:
            self.refuse(submission, f"{job_id} can't await itself")
        elif any(self.is_service(need) for need in submission.needs):
            self.refuse(submission, "a service can't be awaited")
        else:
            unread = [need for need in submission.needs if not self.is_known(need)]
            if unread:
                self.read_needs(unread, lambda read: self.needs_read(submission, read))
            else:
                self.accept_dependent(submission)

    def is_known(self, job_id):
        """Whether the copy, or what was read before, shows that a job was accepted."""
        return job_id in self.live or job_id in self.graph.waiting or job_id in self.graph.outcomes

    def is_service(self, job_id):
        row, waiting = self.live.get(job_id), self.graph.waiting.get(job_id)
        if row is not None:
            return jobs_wire.read_spec(job_id, row[0]).service
        return waiting is not None and waiting.spec.service

    def needs_read(self, submission, read):
        if read.never_accepted:
            self.refuse(
                submission, f"{' '.join(sorted(read.never_accepted)[:4])} was never accepted"
            )
        elif read.failed:
            self.give_up(submission)
        else:
            self.accept_dependent(submission)

    def give_up(self, submission):
        self.open_submissions -= 1
        self.later(submission.reply, "the state service does not answer for all awaited jobs yet")

    def refuse(self, submission, reason):
        self.open_submissions -= 1
        # A job accepted earlier is not refused now.
        self.look_up(submission.spec.id, callback(self.on_refusal, reason, submission.reply))

    def accept_dependent(self, submission):
        spec, needs, graph = submission.spec, submission.needs, self.graph
        if all(graph.outcomes.get(need) is Outcome.DONE for need in needs):
            self.commit_submission(spec, submission.reply)
            return
        if self.incarnation is None:
            self.give_up(submission)
            return
        self.lists += 1
        list_id = f"{self.incarnation}-{self.lists}"
        submission.record, pieces = waiting_record_with_segments(
            spec, needs, list_id, self.settings.value_bytes
        )
        submission.pieces = [
            (segment_key(spec.id, list_id, number), ids) for number, ids in enumerate(pieces)
        ]
        self.write_pieces(submission, None)

    def write_pieces(self, submission, first_mod_revision):
        """Writes what is left of the list, the first piece last, and then the job itself, which
        hangs on that one.
        """
        if not submission.pieces:
            self.write_waiting(submission, first_mod_revision)
            return
        most = min(self.settings.txn_ops, max(1, TRANSACTION_BYTES // self.settings.value_bytes))
        some, submission.pieces = submission.pieces[-most:], submission.pieces[:-most]
        tell(
            self.store.on_commit,
            SUBMISSIONS,
            [(LIVE_PREFIX + key, 0) for key, _ in some],
            [state_wire.put(LIVE_PREFIX + key, ids) for key, ids in some],
            callback(self.on_pieces_written, submission),
        )

    def on_pieces_written(self, submission, status, revision, failed):
        if status == 200:
            self.write_pieces(submission, revision)
        else:
            self.give_up(submission)

    def write_waiting(self, submission, first_mod_revision):
        spec, record = submission.spec, submission.record
        conditions = self.absent(spec.id)
        if record.segments:
            conditions.append(
                (LIVE_PREFIX + segment_key(spec.id, record.list_id, 0), first_mod_revision)
            )
        tell(
            self.store.on_commit,
            SUBMISSIONS,
            conditions,
            [state_wire.put(LIVE_PREFIX + waiting_key(spec.id), jobs_wire.waiting_record(record))],
            callback(self.on_dependent_submitted, submission),
        )

    def on_dependent_submitted(self, submission, status, revision, failed):
        spec, needs = submission.spec, submission.needs
        if status != 200:
            self.on_submitted(spec, submission.reply, status, revision, failed)
            return
        self.open_submissions -= 1
        log.info("%s accepted: waits for %d jobs: %s", spec.id, len(needs), " ".join(needs[:8]))
        if any(self.graph.is_cancelled(need) for need in needs):
            submission.reply(201, wire.state(spec.id, Outcome.CANCELLED.value))
        elif any(
            need in self.graph.unresolved or self.graph.unresolved_before(need) for need in needs
        ):
            # Another controller may have told that one of these is cancelled.
            self.look_up(spec.id, callback(self.on_resubmitted, submission.reply))
        else:
            submission.reply(201, wire.state(spec.id, "pending"))

    @staticmethod
    def absent(job_id):
        """The conditions that a job was never accepted."""
        return [
            (LIVE_PREFIX + job_key(job_id), 0),
            (LIVE_PREFIX + waiting_key(job_id), 0),
            (FINAL_PREFIX + final_key(job_id), 0),
        ]

    # --- questions and cancellations

    def tell_waiting(self, job_id, reply):
        """The state of a waiting job. A need of which the copy does not tell how it ended is asked
        for first: another controller may have told that it is cancelled.
        """
        if self.graph.waiting[job_id].cancelled:
            reply(True, wire.state(job_id, Outcome.CANCELLED.value, 0, 0))
            return
        unresolved = self.graph.unresolved_before(job_id)
        if unresolved:
            self.read_needs(unresolved, lambda read: self.needs_told(job_id, reply, read))
        else:
            reply(True, wire.state(job_id, "pending", 0, 0))

    def needs_told(self, job_id, reply, read):
        if read.failed or read.never_accepted:
            reply(None, None)
            return
        # Meanwhile it may have been released, and more: what the copy shows now is no older.
        self.look_up(job_id, reply)

    def abort_waiting(self, job_id, reply, tries):
        """A job that waits has no task, so it is over as soon as it is cancelled."""
        waiting = self.graph.waiting[job_id]
        end = jobs_wire.final_record(Outcome.CANCELLED, waiting.spec.tasks, 0)
        tell(
            self.store.on_commit,
            DECISIONS,
            [(LIVE_PREFIX + waiting_key(job_id), waiting.mod_revision)],
            [
                state_wire.put(FINAL_PREFIX + final_key(job_id), end),
                state_wire.remove(LIVE_PREFIX + waiting_key(job_id)),
            ],
            callback(self.on_aborted, job_id, reply, tries),
        )
