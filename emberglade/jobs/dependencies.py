"""Which jobs wait for which, and what follows from it; derived from the committed copy alone.

Every controller works out the same from the same copy: who may be released, who is cancelled with a
job that it needs, and how urgent a job is for those that need it. Nothing of it is stored.
Walks along the graph use a stack of their own: chains may be long.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass

from .record import Spec
from .waiting import WaitingRecord, read_piece_key

MAX_OUTCOMES = (
    20_000  # jobs that are over whose outcome is kept at hand; others are read when needed
)


class Outcome(enum.Enum):
    """How a job ended."""

    DONE = "done"
    CANCELLED = "withdrawn"


@dataclass(frozen=True)
class Urgency:
    """What the jobs that need a job lend to it: the highest rank, and the earliest time by which it
    is due.
    """

    priority: int
    due: float

    def most(self, other):
        """The more urgent of both, each by its own measure."""
        if other is None:
            return self
        return Urgency(min(self.priority, other.priority), min(self.due, other.due))


@dataclass
class WaitingJob:
    """A job that was accepted and waits for others."""

    spec: Spec
    needs: tuple
    mod_revision: int
    list_id: str = ""  # of the pieces that its needs are kept in, if they are
    open_needs: int = 0  # needs that are not known to be done
    cancelled: bool = False

    def own_urgency(self):
        due = (
            self.spec.submitted_at + self.spec.deadline_s
            if self.spec.deadline_s is not None
            else float("inf")
        )
        return Urgency(self.spec.priority, due)


class DependencyGraph:
    """The waiting jobs of the committed copy and what they wait for."""

    def __init__(self):
        self.waiting = {}  # job -> WaitingJob
        self.dependents = {}  # need -> waiting jobs that need it
        self.live = {}  # live job -> whether it is cancelled
        self.outcomes = OrderedDict()  # job that is over -> Outcome
        self.pieces = {}  # (job, list id) -> {number: (ids, stamp)}
        self.ready = set()  # waiting jobs all of whose needs are done
        self.cancelled = set()  # waiting jobs that are cancelled with a need
        self.unresolved = set()  # needs of which the copy does not tell how they ended
        self.urgency = {}  # needed job -> Urgency
        self.urgency_changed = set()

    # --- the committed copy

    def apply(self, events, whole):
        """Takes over changes of the copy, in their order."""
        if whole:
            self._forget()
        # The order of keys puts a job before the pieces of its list.
        for key, data, mod_revision in events:
            if key.startswith("x/"):
                self._apply_piece(key, data, mod_revision)
        touched = set()
        for key, data, mod_revision in events:
            if key.startswith("j/"):
                self._apply_live(key[2:], data, whole, touched)
            elif key.startswith("w/"):
                self._apply_waiting(key[2:], data, mod_revision, touched)
        for job_id in touched:
            self._look_for_outcome(job_id)

    def _forget(self):
        """Before everything is read anew. Outcomes never change."""
        self.urgency_changed.update(self.urgency)
        self.waiting, self.dependents, self.live, self.pieces, self.urgency = {}, {}, {}, {}, {}
        self.ready, self.cancelled, self.unresolved = set(), set(), set()

    def _apply_piece(self, key, data, mod_revision):
        piece = read_piece_key(key)
        pieces = self.pieces.setdefault((piece.job_id, piece.list_id), {})
        if data is not None:
            pieces[piece.number] = (data, mod_revision)
            return
        pieces.pop(piece.number, None)
        if not pieces:
            del self.pieces[(piece.job_id, piece.list_id)]

    def _apply_live(self, job_id, data, whole, touched):
        if data is not None:
            cancelled = bool(data.get("w"))
            before = self.live.get(job_id)
            self.live[job_id] = cancelled
            self.unresolved.discard(job_id)
            if cancelled and not before:
                self._cancel_dependents(job_id)
            return
        before = self.live.pop(job_id, None)
        if before is None or whole:
            touched.add(job_id)
            return
        # The end of a job is written on condition of its record, so the last record seen tells how
        # it ended.
        self.resolve(job_id, Outcome.CANCELLED if before else Outcome.DONE)

    def _apply_waiting(self, job_id, data, mod_revision, touched):
        if data is None:
            gone = self._remove(job_id)
            if gone is not None and gone.cancelled:
                self.resolve(job_id, Outcome.CANCELLED)
            touched.add(job_id)  # released, or cancelled by its own user
        elif job_id not in self.waiting:
            self._add(job_id, WaitingRecord.decode(job_id, data), mod_revision)
            touched.add(job_id)
            touched.update(self.waiting[job_id].needs)

    def _add(self, job_id, record, mod_revision):
        needs = record.needs
        if record.pieces:
            pieces = self.pieces.get((job_id, record.list_id), {})
            needs = tuple(need for number in sorted(pieces) for need in pieces[number][0])
        job = self.waiting[job_id] = WaitingJob(record.spec, needs, mod_revision, record.list_id)
        cancelled = False
        for need in needs:
            self.dependents.setdefault(need, set()).add(job_id)
            outcome = self.outcomes.get(need)
            job.open_needs += outcome is not Outcome.DONE
            cancelled = cancelled or outcome is Outcome.CANCELLED or self.is_cancelled(need)
        self._lend(job_id)
        if cancelled:
            self._cancel([job_id])
        elif not job.open_needs:
            self.ready.add(job_id)

    def _remove(self, job_id):
        job = self.waiting.pop(job_id, None)
        if job is None:
            return None
        self.ready.discard(job_id)
        self.cancelled.discard(job_id)
        for need in job.needs:
            others = self.dependents.get(need)
            if others is None:
                continue
            others.discard(job_id)
            if not others:
                del self.dependents[need]
                self.unresolved.discard(need)
        self._borrow_again(job.needs)
        return job

    def _look_for_outcome(self, job_id):
        """A need that is neither live nor waiting is over; its final key tells how."""
        if (
            job_id in self.live
            or job_id in self.waiting
            or job_id in self.outcomes
            or job_id not in self.dependents
        ):
            self.unresolved.discard(job_id)
        else:
            self.unresolved.add(job_id)

    # --- what follows

    def resolve(self, job_id, outcome):
        """A job has ended; its final key says so."""
        if job_id in self.outcomes:
            return
        self.outcomes[job_id] = outcome
        if len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)
        self.unresolved.discard(job_id)
        if outcome is Outcome.CANCELLED:
            self._cancel_dependents(job_id)
            return
        for dependent in self.dependents.get(job_id, ()):
            job = self.waiting[dependent]
            job.open_needs -= 1
            if not job.open_needs and not job.cancelled:
                self.ready.add(dependent)

    def is_cancelled(self, job_id):
        """Whether the copy shows a job cancelled, by its own user or with a job that it needs."""
        waiting = self.waiting.get(job_id)
        return bool(
            self.live.get(job_id)
            or (waiting is not None and waiting.cancelled)
            or self.outcomes.get(job_id) is Outcome.CANCELLED
        )

    def _cancel_dependents(self, job_id):
        self._cancel(list(self.dependents.get(job_id, ())))

    def _cancel(self, stack):
        """These waiting jobs are cancelled, and so are all that need them."""
        while stack:
            job_id = stack.pop()
            job = self.waiting[job_id]
            if job.cancelled:
                continue
            job.cancelled = True
            self.ready.discard(job_id)
            self.cancelled.add(job_id)
            self._borrow_again(job.needs)
            stack.extend(self.dependents.get(job_id, ()))

    def unresolved_before(self, job_id):
        """The unresolved needs of a waiting job, its own and those of the waiting jobs that it
        needs.
        """
        if not self.unresolved:
            return set()
        found, seen, stack = set(), {job_id}, [job_id]
        while stack:
            job = self.waiting.get(stack.pop())
            for need in job.needs if job is not None else ():
                if need in self.unresolved:
                    found.add(need)
                if need not in seen:
                    seen.add(need)
                    stack.append(need)
        return found

    # --- urgency

    def _lent_by(self, job_id):
        """What a waiting job lends to each of its needs: time for its own tasks is to be left."""
        job = self.waiting[job_id]
        urgency = job.own_urgency().most(self.urgency.get(job_id))
        return Urgency(urgency.priority, urgency.due - job.spec.estimated_run_s)

    def _lend(self, job_id):
        """Spreads the urgency of a waiting job that grew more urgent to all that it needs."""
        stack = [job_id]
        while stack:
            dependent = stack.pop()
            lent = self._lent_by(dependent)
            for need in self.waiting[dependent].needs:
                if lent.most(self.urgency.get(need)) != self.urgency.get(need):
                    self._set_urgency(need, lent.most(self.urgency.get(need)))
                    if need in self.waiting:
                        stack.append(need)

    def _borrow_again(self, needs):
        """Works the urgency of jobs out anew after one that needs them was cancelled."""
        stack = list(needs)
        while stack:
            need = stack.pop()
            urgency = None
            for dependent in self.dependents.get(need, ()):
                if not self.waiting[dependent].cancelled:
                    urgency = self._lent_by(dependent).most(urgency)
            if urgency == self.urgency.get(need):
                continue
            self._set_urgency(need, urgency)
            if need in self.waiting:
                stack.extend(self.waiting[need].needs)

    def _set_urgency(self, job_id, urgency):
        if urgency is None:
            self.urgency.pop(job_id, None)
        else:
            self.urgency[job_id] = urgency
        self.urgency_changed.add(job_id)

    def take_urgency_changes(self):
        """The jobs whose urgency changed since the last call."""
        changed, self.urgency_changed = self.urgency_changed, set()
        return changed
