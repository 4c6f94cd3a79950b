"""What users, operators and machines do in a whole-cluster scenario."""

import orjson
from stand_ins.cluster import JOB, NOT_NULL

from scenario_kinds.words import split


class UserActions:
    """The verbs of users and of machines that are added; `cluster` is the deployment."""

    def do_name(self, word, who):
        """From now on the word stands for the controller that leads now, or for the n-th one after
        it.
        """
        names, _, steps = self.cluster.names, *who.partition("+")[1:]
        self.named[word] = names[
            (names.index(self.cluster.leader()) + int(steps or 0)) % len(names)
        ]

    def do_report_to(self, node):
        """All workers report to this controller, and their reports reach no other; commands still
        reach them.
        """
        node, cluster = self.node(node), self.cluster
        for machine in cluster.cloud.machines.values():
            machine.node = cluster.names.index(node)
        cluster.world.close(
            list(cluster.cloud.machines), [n for n in cluster.names if n != node], 1e9
        )

    def do_machines(self, zone, count, *words):
        for _ in range(int(count)):
            self.cluster.cloud.add(zone, "spot" in words, 0.0)

    def do_submit(self, job_id, *words):
        self.cluster.submit(job_id, **split(words)[1])

    def do_chain(self, prefix, count, *words):
        """So many jobs, each of which awaits the one before."""
        fields = split(words)[1]
        for number in range(int(count)):
            needs = {"awaits": [f"job-{prefix}{number - 1}"]} if number else {}
            self.cluster.submit(f"job-{prefix}{number}", **{**fields, **needs})

    def do_fan(self, prefix, count, *words):
        """So many jobs, and one that awaits them all."""
        self.do_fill(prefix, count, *words)
        self.cluster.submit(
            f"job-{prefix}end", awaits=[f"job-{prefix}{number}" for number in range(int(count))]
        )

    def do_upgrade(self, node, seconds):
        self.cluster.upgrade(self.node(node), float(seconds))

    def do_limits_fall(self):
        self.cluster.limits_fall()

    def do_step_back(self, node, seconds):
        """The controller ends and comes back with the older version."""
        self.cluster.production.add(node)
        self.cluster.crash(node, float(seconds))

    def do_ask_everywhere(self, job_id, count):
        """A user asks all controllers, again and again within milliseconds."""
        for number in range(int(count)):
            self.cluster.world.at(number * 0.004, self.cluster.poll_once, job_id)

    def do_repeat(self, job_id):
        self.cluster.submit_again(job_id)

    def do_fill(self, prefix, count, *words):
        """So many jobs of a kind, a tenth of a second apart."""
        for number in range(int(count)):
            self.cluster.world.at(number / 10, self.do_submit, f"job-{prefix}{number}", *words)

    def do_abort(self, job_id, node=None):
        self.cluster.abort(job_id, node=self.node(node))

    def do_user_asks(self, job_id):
        self.cluster.poll(job_id)

    def do_ask(self, node, method, path, *body):
        text = " ".join(body)
        if text.startswith("bytes:"):
            text = "x" * int(text[6:])
        elif text.startswith("job:"):
            # A whole submission, but for these fields; null takes one away.
            fields = {**JOB, **orjson.loads(text[4:])}
            text = orjson.dumps(
                {
                    key: value
                    for key, value in fields.items()
                    if value is not None or key not in NOT_NULL
                }
            ).decode()
        self.cluster.ask(self.node(node), method, path, text, self.answers)

    def do_flood(self, node, count, job_id):
        for _ in range(int(count)):
            self.cluster.ask(node, "GET", f"/submissions/{job_id}", "", self.answers)

    # --- expectations
