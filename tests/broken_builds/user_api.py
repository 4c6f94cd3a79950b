"""Broken builds of answers to users."""

import orjson

from emberglade.actors import send_after
from emberglade.user_api import wire
from emberglade.user_api.answers import Answer
from emberglade.user_api.cancellations import CancellationRequests
from emberglade.user_api.job_state import JobState, JobStatus, LookupFailure
from emberglade.user_api.lookup import JobLookup
from emberglade.user_api.submissions import Submissions


def forgets_final_states(patch):
    """Final states are never found in the store."""
    patch.setattr(
        JobLookup,
        "on_final_state_read",
        lambda self, job_id, then, status, data, mod_revision: then(LookupFailure.NEVER_ACCEPTED),
    )


def answers_for_any_id(patch):
    """Polls of unknown job ids are answered as if the job were pending."""
    invented = Answer(200, {"id": "x", "glow": "pending"})
    patch.setattr(
        JobLookup,
        "answer_poll",
        lambda self, job_id, reply: self.answer(job_id, reply, invented, invented),
    )


def swaps_final_states(patch):
    """The final states done and cancelled are interchanged."""
    swapped = {"done": JobStatus.CANCELLED, "withdrawn": JobStatus.DONE}
    patch.setattr(
        JobLookup,
        "on_final_state_read",
        lambda self, job_id, then, status, data, mod_revision: then(
            JobState(job_id, swapped[data["glow"]])
        ),
    )


def ignores_polls(patch):
    """Polls of job-1 are never answered."""
    original = JobLookup.look_up

    def look_up(self, job_id, then):
        if job_id != "job-1":
            original(self, job_id, then)

    patch.setattr(JobLookup, "look_up", look_up)


def confirms_before_commit(patch):
    """A cancellation is confirmed to the user before it is committed."""
    original = CancellationRequests.on_cancel_synced

    def on_cancel_synced(self, job_id, reply, retries, revision):
        if self.view.live_jobs.get(job_id) is not None:
            reply(200, wire.write_state(JobState(job_id, JobStatus.CANCELLED)))
            send_after(5.0, self.on_cancel_late, job_id)
        else:
            original(self, job_id, reply, retries, revision)

    patch.setattr(CancellationRequests, "on_cancel_synced", on_cancel_synced)
    patch.setattr(
        CancellationRequests,
        "on_cancel_late",
        lambda self, job_id: original(self, job_id, lambda *_: None, 0, self.store.revision),
        raising=False,
    )


def accepts_invalid_jobs(patch):
    """Missing fields of a submission are filled with defaults instead of being refused."""
    original = Submissions.on_submit

    def on_submit(self, body, reply):
        data = orjson.loads(body)
        defaults = {
            "breed": "b",
            "crew": "core",
            "shape": "sweep",
            "rank": "normal",
            "embers": 1,
            "cpus": 1.0,
            "cards": 0.0,
            "ram_gb": 1.0,
            "kindling": "img",
            "image_gb": 0.0,
            "one_zone": False,
            "scatter": False,
            "driftwood": False,
            "burn_s": 1.0,
            "bank_s": 0.0,
            "banking_s": 0.0,
        }
        original(self, orjson.dumps({**defaults, **data}), reply)

    patch.setattr(Submissions, "on_submit", on_submit)
