"""The machines that the leader counts: listed, heard, silent, and given back."""

import logging

from ..actors import callback, tell, tell_after
from . import wire
from .machine import Machine, some

log = logging.getLogger("emberglade.fleet")


MAX_RETURNED = 100  # machines in one return, PROTOCOL's limit


class MachineWatch:
    """The part of the autoscaler that follows machines from their boot to their return."""

    def on_watch(self):
        """Tasks of a silent machine wait for proof that its lease is over: asked more often."""
        tell_after(self.settings.agent_heartbeat_s / 6, self.on_watch)
        if self.leading and any(
            taint == "lost" and name in self.occupied for name, taint in self.taints.items()
        ):
            tell(self.agents.on_ask_liveness, callback(self.on_silent), True)

    def on_listed(self, status, body):
        page = wire.read_list(body) if status == 200 else None
        if page is None:
            self.listing = False
            return
        rows, more = page
        self.list_found += rows
        self.list_pages += 1
        if more and rows:
            self.cloud.call(
                "GET", wire.list_path(rows[-1].name), None, 3.0, callback(self.on_listed)
            )
            return
        self.listing = False
        if not self.leading:
            return
        now = self.now()
        names = set()
        for row in self.list_found:
            names.add(row.name)
            machine = self.machines.get(row.name)
            if machine is None:
                if row.name in self.returned or self.taints.get(row.name) == "gone":
                    continue
                machine = self.machines[row.name] = Machine(
                    row.name, row.type, row.zone, row.spot, now - row.age_s
                )
            machine.listed, machine.missing = True, 0
            if row.state != "starting" or machine.state == "starting":
                machine.state = row.state
        for machine in list(self.machines.values()):
            if machine.name not in names:
                machine.missing += 1
                # Listed once stays listed until gone; lists can be older than the one before.
                if (
                    machine.listed and machine.missing > 3
                ) or now - machine.asked > 10 * self.settings.list_lag_s:
                    del self.machines[machine.name]
        for name in [
            n for n, at in self.returned.items() if now - at > 20 * self.settings.list_lag_s
        ]:
            del self.returned[name]
        self.taint(
            [
                name
                for name, taint in self.taints.items()
                if taint == "gone"
                and name not in names
                and name not in self.occupied
                and name not in self.returned
            ],
            None,
        )
        self.listed_once = True

    def on_occupancy(self, occupied):
        self.occupied = occupied
        now = self.now()
        for machine in self.machines.values():
            if machine.name in occupied or not machine.seen:
                machine.idle_since = None
            elif machine.idle_since is None:
                machine.idle_since = now

    def on_silent(self, silence, slack):
        if not self.leading:
            return
        now = self.now()
        lost, ended, back = [], [], []
        for name, (heard, proven, unreachable, ever) in silence.items():
            taint = self.taints.get(name)
            machine = self.machines.get(name)
            if machine is not None and heard > machine.seen and now - heard < self.settings.lease_s:
                machine.seen = heard
                machine.state = "running"
            if machine is not None:
                machine.unreachable_since = (
                    (machine.unreachable_since or now) if unreachable else None
                )
            quiet = now - heard
            if taint is None and (
                (quiet > self.settings.lease_s * 0.6 + slack and name in self.occupied)
                or unreachable
            ):
                lost.append(name)
            elif taint in ("lost", "drain") and proven and name in self.occupied:
                ended.append(name)
            elif (
                taint in ("lost", "ended")
                and ever
                and quiet < self.settings.agent_heartbeat_s * 2
                and not unreachable
            ):
                # Once broken: a new leader took its own birth for a sign of life of the machines
                # behind a cut.
                if taint == "lost" or name not in self.occupied:
                    back.append(name)
            elif (
                taint in ("lost", "ended")
                and machine is None
                and name not in self.occupied
                and quiet > 6 * self.settings.lease_s
            ):
                back.append(name)
        for names, taint, text in (
            (lost, "lost", "no node is in touch with %s; nothing more is placed there"),
            (ended, "ended", "the leases of %s have run out; their tasks move"),
            (back, None, "%s may be used again"),
        ):
            names = [
                name for name in names if name not in self.tainting and name not in self.wishes
            ]
            if names:
                log.info(text, some(names))
                self.taint(names, taint)

    def counted(self, machine):
        return (
            machine.state != "failed"
            and self.taints.get(machine.name) is None
            and machine.name not in self.returning
        )

    def tidy(self, now):
        """Returns drained machines, boots that failed, and machines that stopped or stay silent."""
        ready, drain = [], []
        for machine in self.machines.values():
            taint = self.taints.get(machine.name)
            if machine.name in self.returning or taint == "gone":
                continue
            boot = (
                self.machine_types[machine.type].boot_s if machine.type in self.machine_types else 0
            ) or self.operators.boot_guess_s
            if taint == "drain":
                if machine.name not in self.occupied:
                    ready.append(machine.name)
            elif taint == "ended":
                # A new leader has heard of nobody yet; a machine behind a cut may well come back.
                if now - max(
                    machine.seen, self.since
                ) > 4 * self.settings.lease_s or self.long_unreachable(machine, now):
                    ready.append(machine.name)
            elif taint == "lost" and self.long_unreachable(machine, now):
                drain.append(machine.name)
            elif machine.state == "failed":
                # It has stopped: nothing runs there, and the cloud's 200 will prove it.
                ready.append(machine.name)
            elif (
                not machine.seen
                and now - max(machine.asked, self.since) > 3 * boot
                and taint is None
            ):
                log.info("%s never came up; returning it", machine.name)
                drain.append(machine.name)
            elif machine.seen and now - machine.seen > 6 * self.settings.lease_s and taint is None:
                drain.append(machine.name)
        self.taint(drain, "drain")
        for first in range(0, len(ready), MAX_RETURNED)[: self.requests_a_round()]:
            self.give_back(ready[first : first + MAX_RETURNED])

    def give_back(self, names):
        """Returns up to MAX_RETURNED machines to the cloud."""
        self.returning.update(names)
        log.info("giving %s back to the cloud", some(names))
        self.cloud.call(
            "POST", "/hosts/return", wire.give_back(names), 4.0, callback(self.on_given_back, names)
        )

    def long_unreachable(self, machine, now):
        """Deaf for so long that another machine is to take its place for good."""
        return (
            machine.unreachable_since is not None
            and now - machine.unreachable_since > 4 * self.settings.lease_s
        )

    def on_given_back(self, names, status, body):
        self.returning.difference_update(names)
        if status != 200 or not self.leading:
            return
        now = self.now()
        for name in names:
            self.machines.pop(name, None)
            self.returned[name] = now
        self.taint(names, "gone")
