"""Answers users. Whatever it tells is durable first, and read after the question came.

What can't be done now is answered at once with `Retry-After`: nothing is held back.
"""

import logging
from collections import OrderedDict

import orjson

from ..actors import callback, tell, tell_inline
from ..jobs.record import Job, final_key, job_key, part_size_for, read_part_key
from ..membership import FORMAT_KEY, is_raised
from ..placement import fits_some_type, read_machine_types
from ..state import FINAL_PREFIX, LIVE_PREFIX, ReplicaSubscriber
from ..state import wire as state_wire
from ..state.store import DECISIONS, SUBMISSIONS
from . import wire
from .dependent_submissions import DependentSubmissions

log = logging.getLogger("emberglade.user_api")

MAX_FINAL_STATES = 20_000  # final states kept at hand; others are read from the state service
RETRY_S = 1
MIN_OPEN_SUBMISSIONS = 8  # that may be open at the same time, however small the write budget is


class UserApi(DependentSubmissions, ReplicaSubscriber):
    """Users' submissions, questions and cancellations."""

    def __init__(self, settings, store, agents):
        DependentSubmissions.__init__(self)
        self.settings = settings
        self.store, self.agents = store, agents
        self.machine_types = {}
        self.live = {}  # job -> (its key's value, stamp, {(generation, part): value}) as committed
        self.final = OrderedDict()  # job -> (glow, done, tasks): final states never change
        self.open_submissions = 0
        self.memory_short = False
        # Questions wait for a sync together; more than a few syncs' worth would time out.
        self.open_questions, self.most_questions = 0, int(2 * settings.state_rps)
        # More than two seconds' worth of the service's write budget can't be accepted in time.
        self.most_submissions = max(
            MIN_OPEN_SUBMISSIONS, int(2 * settings.state_write_rps / settings.size)
        )

    def on_changed(self, events, revision, whole):
        if whole:
            self.live = {}
        for key, data, mod_revision in events:
            if key.startswith("j/"):
                job_id = key[2:]
                if data is None:
                    self.live.pop(job_id, None)
                else:
                    self.live[job_id] = (
                        data,
                        mod_revision,
                        self.live[job_id][2] if job_id in self.live else {},
                    )
            elif key.startswith("t/"):
                # Only for the counts that users are shown.
                job_id, generation, number = read_part_key(key)
                if job_id in self.live:
                    self.live[job_id][2][(generation, number)] = data or {}
            elif key == "catalog" and data is not None:
                self.machine_types = read_machine_types(data)
            elif key == FORMAT_KEY:
                self.format_raised = self.format_raised or is_raised(data)
        self.graph.apply(events, whole)

    # --- requests

    def route(self, method, path, body, reply):
        """Called by the server's threads."""
        path = path.partition("?")[0]
        if path == "/agent/beat":
            if method != "POST":
                reply(405, wire.error("POST is needed"))
                return
            try:
                data = orjson.loads(body)
            except ValueError:
                reply(400, wire.error("the report is not JSON"))
                return
            tell_inline(self.agents.on_heartbeat, data, reply)
        elif path == "/ready":
            if method != "GET":
                reply(405, wire.error("GET is needed"))
                return
            tell_inline(
                self.agents.on_ready,
                lambda ready: (
                    reply(200, {"ready": True})
                    if ready
                    else reply(503, wire.error("not in step with the state service yet"), RETRY_S)
                ),
            )
        elif path == "/submissions":
            if method != "POST":
                reply(405, wire.error("POST is needed"))
                return
            tell_inline(self.on_submit, body, reply)
        elif path.startswith("/submissions/"):
            words = path.split("/")[2:]
            if len(words) == 1 and words[0]:
                if method != "GET":
                    reply(405, wire.error("GET is needed"))
                else:
                    tell_inline(self.on_poll, words[0], reply)
            elif len(words) == 2 and words[0] and words[1] == "abort":
                if method != "POST":
                    reply(405, wire.error("POST is needed"))
                else:
                    tell_inline(self.on_abort, words[0], reply, 0)
            else:
                reply(404, wire.error("no such path"))
        else:
            reply(404, wire.error("no such path"))

    @staticmethod
    def later(reply, reason):
        reply(503, wire.error(reason), RETRY_S)

    # --- submissions

    def on_memory(self, short):
        """While memory is short no job is accepted here, and no final state is kept at hand."""
        self.memory_short = short
        if short:
            self.final.clear()

    def on_submit(self, body, reply):
        try:
            data = orjson.loads(body)
            spec = wire.read_submission(data, self.system.wall())
            needs = wire.read_awaits(data)
            if not part_size_for(spec, self.settings.value_bytes):
                raise wire.MalformedSubmissionError("the description is too long to be kept")
        except ValueError:
            reply(400, wire.error("the body is not JSON"))
            return
        except wire.MalformedSubmissionError as reason:
            job_id = wire.read_id(data)
            if job_id is None:
                reply(400, wire.error(str(reason)))
            else:
                # A repeat gets its job's state, whatever its body holds now.
                self.look_up(job_id, callback(self.on_malformed, job_id, str(reason), reply))
            return
        if spec.id in self.final:
            self.tell_final(spec.id, reply)
            return
        reason = self.never(spec)
        if reason is not None:
            # A job accepted earlier is not refused now, whatever has changed since.
            self.look_up(spec.id, callback(self.on_refusal, reason, reply))
            return
        if not self.machine_types:
            self.later(reply, "the machine types are not known yet")
            return
        if self.memory_short:
            self.look_up(spec.id, callback(self.on_put_off, reply))
            return
        if self.open_submissions >= self.most_submissions:
            reply(429, wire.error("too many submissions at once"), RETRY_S)
            return
        if needs and not self.format_raised:
            # Controllers of the version before would know nothing of the job.
            self.look_up(spec.id, callback(self.on_not_yet, reply))
            return
        self.open_submissions += 1
        if needs:
            self.submit_dependent(spec, needs, reply)
        else:
            self.commit_submission(spec, reply)

    def commit_submission(self, spec, reply):
        job = Job(spec, part_size_for(spec, self.settings.value_bytes))
        tell(
            self.store.on_commit,
            SUBMISSIONS,
            self.absent(spec.id),
            [state_wire.put(LIVE_PREFIX + job_key(spec.id), job.encode())],
            callback(self.on_submitted, spec, reply),
        )

    def on_put_off(self, reply, known, answer):
        if known:
            reply(200, answer)
        else:
            self.later(reply, "this controller is short of memory")

    def on_not_yet(self, reply, known, answer):
        if known:
            reply(200, answer)
        else:
            self.later(reply, "not all controllers run the version yet that lets jobs await others")

    def never(self, spec):
        team = self.settings.teams.get(spec.team)
        if team is None:
            return f"crew {spec.team} is not known"
        if self.machine_types and not fits_some_type(spec, self.machine_types):
            return "a task fits no allowed machine type"
        count = spec.tasks if spec.service or spec.gang else 1
        for limit, need, what in (
            (team.cpu_quota, spec.cpus, "cpus"),
            (team.gpu_quota, spec.gpus, "cards"),
        ):
            if limit > 0 and need * count > limit + 1e-9:
                return f"the job needs more {what} than the limit of {spec.team}"
        return None

    def on_malformed(self, job_id, reason, reply, known, answer):
        if known:
            reply(200, answer)
        elif known is None:
            # Once broken: a malformed repeat of a job that was over got 400 while the state service
            # did not answer (dependencies/random_faults.txt, 730).
            self.later(reply, "the state service does not answer")
        else:
            reply(400, wire.error(reason))

    def on_refusal(self, reason, reply, known, answer):
        if known is None:
            self.later(reply, "the state service does not answer")
        elif known:
            reply(200, answer)
        else:
            reply(422, wire.error(reason))

    def on_submitted(self, spec, reply, status, revision, failed):
        self.open_submissions -= 1
        if status == 200:
            log.info(
                "%s accepted: %d tasks of %g cpus, rank %d, team %s, due %s",
                spec.id,
                spec.tasks,
                spec.cpus,
                spec.priority,
                spec.team,
                "never" if spec.deadline_s is None else f"in {spec.deadline_s:g} s",
            )
            reply(201, wire.state(spec.id, "pending"))
        elif status == 409:
            self.look_up(spec.id, callback(self.on_resubmitted, reply))
        elif status == 429:
            reply(429, wire.error("too many requests at once"), RETRY_S)
        else:
            if status == 400:
                log.error("the state service refuses %s (%s)", spec.id, failed)
            self.later(reply, "the state service does not answer")

    def on_resubmitted(self, reply, known, answer):
        if known:
            reply(200, answer)
        else:
            self.later(reply, "the state service does not answer")

    # --- looking a job up: `reply(known, answer)`, known None when it can't be said now

    def look_up(self, job_id, reply):
        if job_id in self.final:
            reply(True, self.final_answer(job_id))
            return
        if self.open_questions >= self.most_questions:
            # A flood of questions is not to take the processor from the workers' reports.
            reply(None, None)
            return
        self.open_questions += 1
        tell(self.store.on_sync, callback(self.on_look_synced, job_id, reply))

    def on_look_synced(self, job_id, reply, revision):
        self.open_questions -= 1
        if revision is None:
            reply(None, None)
            return
        # From what is committed, not from the job_manager, whose view runs ahead while it writes.
        row = self.live.get(job_id)
        if row is None and job_id in self.graph.waiting:
            self.tell_waiting(job_id, reply)
            return
        if row is None:
            # Not live at the sync: over, or never accepted. Final states are never removed.
            tell(
                self.store.on_read,
                DECISIONS,
                FINAL_PREFIX + final_key(job_id),
                callback(self.on_look_read, job_id, reply),
            )
            return
        data, _, further = row
        generation = data.get("g", "")
        parts = [
            data.get("p", {}),
            *(part for (of, _), part in further.items() if of == generation),
        ]
        running = sum(len(part.get("b", ())) for part in parts)
        done = sum(last - first + 1 for part in parts for first, last in part.get("d", ()))
        reply(
            True,
            wire.state(
                job_id,
                "withdrawn" if data.get("w") else "running" if running else "pending",
                done,
                running,
            ),
        )

    def on_look_read(self, job_id, reply, status, data, mod_revision):
        if status == 200 and isinstance(data, dict) and data.get("glow") in ("done", "withdrawn"):
            self.final[job_id] = (data["glow"], data.get("d", 0), data.get("n", 0))
            if len(self.final) > MAX_FINAL_STATES:
                self.final.popitem(last=False)
            reply(True, self.final_answer(job_id))
        elif status == 404:
            reply(False, None)
        else:
            reply(None, None)

    def final_answer(self, job_id):
        glow, done, _ = self.final[job_id]
        return wire.state(job_id, glow, done, 0)

    def tell_final(self, job_id, reply):
        reply(200, self.final_answer(job_id))

    # --- polls

    def on_poll(self, job_id, reply):
        if not wire.JOB_ID.match(job_id):
            reply(404, wire.error("no such job"))
            return
        self.look_up(job_id, callback(self.on_polled, reply))

    def on_polled(self, reply, known, answer):
        if known is None:
            self.later(reply, "the state service does not answer")
        elif known:
            reply(200, answer)
        else:
            reply(404, wire.error("no such job"))

    # --- aborts

    def on_abort(self, job_id, reply, tries):
        if not wire.JOB_ID.match(job_id):
            reply(404, wire.error("no such job"))
        elif job_id in self.final:
            self.tell_final(job_id, reply)
        else:
            tell(self.store.on_sync, callback(self.on_abort_synced, job_id, reply, tries))

    def on_abort_synced(self, job_id, reply, tries, revision):
        if revision is None:
            self.later(reply, "the state service does not answer")
            return
        row = self.live.get(job_id)
        if row is None and job_id in self.graph.waiting:
            self.abort_waiting(job_id, reply, tries)
            return
        if row is None:
            self.look_up(job_id, callback(self.on_polled, reply))
            return
        data, mod_revision, _ = row
        if data.get("w"):
            tell(self.agents.on_confirm_cancellation, job_id)
            reply(200, wire.state(job_id, "withdrawn"))
            return
        tell(
            self.store.on_commit,
            DECISIONS,
            [(LIVE_PREFIX + job_key(job_id), mod_revision)],
            [state_wire.put(LIVE_PREFIX + job_key(job_id), {**data, "w": 1})],
            callback(self.on_aborted, job_id, reply, tries),
        )

    def on_aborted(self, job_id, reply, tries, status, revision, failed):
        if status == 200:
            log.info("%s cancelled by its user", job_id)
            # Nothing is told that this controller's own copy does not show: others conclude from
            # its revision that they miss nothing, and its halts go to every machine that the copy
            # names.
            tell(self.store.on_sync, callback(self.on_abort_synced, job_id, reply, tries))
        elif status == 409 and tries < 8:
            # Its holder wrote in between.
            self.on_abort(job_id, reply, tries + 1)
        else:
            self.later(reply, "the state service does not answer")
