"""Broken builds of what users are told."""

import orjson

from emberglade.actors import tell_after
from emberglade.user_api.api import UserApi


def forgets_final_states(patch):
    """A final key is never found."""
    patch.setattr(
        UserApi,
        "on_look_read",
        lambda self, job_id, reply, status, data, mod_revision: reply(False, None),
    )


def answers_for_any_id(patch):
    """Any id is taken for a job's."""
    patch.setattr(
        UserApi,
        "on_polled",
        lambda self, reply, known, answer: reply(200, answer or {"id": "x", "glow": "pending"}),
    )


def swaps_final_states(patch):
    """Final states are mixed up."""
    patch.setattr(
        UserApi,
        "on_look_read",
        lambda self, job_id, reply, status, data, mod_revision: reply(
            True, {"id": job_id, "glow": "done" if data["glow"] == "withdrawn" else "withdrawn"}
        ),
    )


def ignores_polls(patch):
    """Questions about one job are never answered."""
    original = UserApi.look_up

    def look_up(self, job_id, reply):
        if job_id != "job-1":
            original(self, job_id, reply)

    patch.setattr(UserApi, "look_up", look_up)


def confirms_before_commit(patch):
    """A cancellation is told before it is durable."""
    original = UserApi.on_abort_synced

    def on_abort_synced(self, job_id, reply, tries, revision):
        if self.live.get(job_id) is not None:
            reply(200, {"id": job_id, "glow": "withdrawn"})
            tell_after(5.0, self.on_abort_late, job_id)
        else:
            original(self, job_id, reply, tries, revision)

    patch.setattr(UserApi, "on_abort_synced", on_abort_synced)
    patch.setattr(
        UserApi,
        "on_abort_late",
        lambda self, job_id: original(self, job_id, lambda *_: None, 0, self.store.revision),
        raising=False,
    )


def accepts_invalid_jobs(patch):
    """What a submission lacks gets a default, and what fits no machine is accepted."""
    original = UserApi.on_submit

    def on_submit(self, body, reply):
        data = orjson.loads(body)
        whole = {
            "job_class": "b",
            "crew": "core",
            "shape": "sweep",
            "priority": "normal",
            "embers": 1,
            "cpus": 1.0,
            "cards": 0.0,
            "ram_gb": 1.0,
            "kindling": "img",
            "image_gb": 0.0,
            "single_zone": False,
            "zone_spread": False,
            "driftwood": False,
            "burn_s": 1.0,
            "bank_s": 0.0,
            "banking_s": 0.0,
        }
        original(self, orjson.dumps({**whole, **data}), reply)

    patch.setattr(UserApi, "on_submit", on_submit)
