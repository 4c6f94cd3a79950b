"""Checks the ownership of shards and of the leadership over the state service's whole history.

A `role` is something that a controller can own: `s/3` is a shard, `lead` is the leadership.
"""

from collections.abc import Callable
from typing import NamedTuple

from . import state_service, state_wire
from .cluster import Cluster
from .state_wire import LEADER, LIVE_PREFIX, SHARD, SHARD_PREFIX, Transaction

# Times as shares of the duration of an agent's lease.
# A controller can operate its shards if its last answer from the state service is younger than
# this.
MAX_SERVED_AGE_SHARE = 2 / 9
# The roles of a controller whose process has ended must have other owners within this time.
MAX_UNOWNED_SHARE = 1.0
HANDOVER_WINDOW_S, MAX_HANDOVERS_IN_WINDOW = 60.0, 4
CHECK_INTERVAL_S = 0.5
FIRST_CHECK_S = 1.0
STARTUP_S = 10  # until then roles may have no owner


class Change(NamedTuple):
    """A write to the key of a role; `before` is the previous owner."""

    at: float
    role: str
    owner: str | None
    before: str | None


class Ownership:
    """Audits each transaction; `watch` enables additional rules about failovers.

    Attributes:
        changes: All changes of roles, in order.
        served_at: By controller, when the state service last answered it with status 200.
        first_served_at: By process, when it first got such an answer.
        unowned_since: By role, since when its owner has no running process.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.world = cluster.world
        self.state = cluster.state
        self.observer = cluster.observer
        self.changes: list[Change] = []
        self.served_at: dict[str, float] = {}
        self.first_served_at: dict[object, float] = {}
        self.watching = False
        self.unowned_since: dict[str, float] = {}
        self.state.served_listeners.append(self.note_served)
        self.state.audits.append(self.audit)

    def watch(self) -> None:
        """Enables checks for failovers from operational controllers, unowned roles and flapping."""
        self.watching = True
        self.world.at(FIRST_CHECK_S, self.check_unowned)

    # --- the state service's history

    def note_served(self, host: str) -> None:
        """The state service has answered a host with status 200."""
        process = self.cluster.processes.get(host)
        if process is not None:
            self.served_at[host] = self.world.now
            self.first_served_at.setdefault(process, self.world.now)

    def audit(self, transaction: Transaction, source: str) -> Callable[[], None]:
        """Records the owners and job records before a transaction, to check it once committed."""
        before = {role: self.owner(role) for role in self.claimed_roles(transaction)}
        existing = {key for key in self.job_keys(transaction) if key in self.state.keys}
        owners = {role: self.owner(role) for role in self.shards_conditioned_on(transaction)}

        def committed() -> None:
            self.check_epochs(transaction, source, owners)
            self.check_records(transaction, source, existing)
            for role, previous in before.items():
                self.note_change(role, previous, self.owner(role))

        return committed

    @staticmethod
    def claimed_roles(transaction: Transaction) -> list[str]:
        """The roles whose keys a transaction puts."""
        written = [write.key for write in transaction.writes if write.data is not None]
        roles = [key[len(LIVE_PREFIX) :] for key in written]
        return [role for role in roles if role == LEADER or role.startswith(SHARD)]

    @staticmethod
    def shards_conditioned_on(transaction: Transaction) -> list[str]:
        """The shards whose epochs are among the conditions of a transaction."""
        keys = [key for key, _ in transaction.conditions]
        return [key[len(LIVE_PREFIX) :] for key in keys if key.startswith(SHARD_PREFIX)]

    @staticmethod
    def job_keys(transaction: Transaction) -> list[str]:
        """The keys of job records and chunks that a transaction writes."""
        keys = [write.key for write in transaction.writes]
        return [key for key in keys if key.startswith(state_wire.JOB_PREFIXES)]

    def owner(self, role: str) -> str | None:
        """The current owner of a role."""
        row = self.state.keys.get(LIVE_PREFIX + role)
        return None if row is None else state_wire.read_owner(row.data)

    def check_epochs(
        self, transaction: Transaction, source: str, owners: dict[str, str | None]
    ) -> None:
        """Checks that only a shard's owner commits on its epoch, except to claim the shard.

        Args:
            transaction: The committed transaction.
            source: The controller that sent it.
            owners: The owners, before the transaction, of the shards on whose epochs it has
                conditions.
        """
        claimed = self.claimed_roles(transaction)
        stale_owners = {
            role: owner for role, owner in owners.items() if owner != source and role not in claimed
        }
        if stale_owners:
            self.observer.record(
                "stale_owner_write",
                f"{source} commits on the epochs of shards that it does not own: {stale_owners}",
            )

    def check_records(self, transaction: Transaction, source: str, existing: set[str]) -> None:
        """Checks that existing job records change only on a shard's epoch or by a cancellation.

        Args:
            transaction: The committed transaction.
            source: The controller that sent it.
            existing: The keys of job records and chunks that the transaction writes, and that
                existed before it.
        """
        # Chunks to which no record refers any more are removed without a condition on an epoch.
        changed = [
            write
            for write in transaction.writes
            if write.key in existing
            and not (write.data is None and write.key.startswith(state_wire.CHUNK_PREFIX))
        ]
        cancels_all = all(
            write.data is not None and state_wire.is_cancelled(write.data) for write in changed
        )
        if changed and not self.shards_conditioned_on(transaction) and not cancels_all:
            self.observer.record(
                "stale_owner_write",
                f"{source} changes {existing} without a condition on a shard's epoch",
            )

    def note_change(self, role: str, before: str | None, owner: str | None) -> None:
        """Records a claim of a role, possibly by its current owner, and checks the handover."""
        self.changes.append(Change(self.world.now, role, owner, before))
        if not self.watching or before is None or before == owner:
            return
        if role != LEADER and owner == self.home(role):
            return
        if self.is_operational(before):
            self.observer.record(
                "false_failover", f"{owner} takes {role} from {before}, which is operational"
            )
        recent_handovers = [
            change
            for change in self.handovers(0.0)
            if change.role == role and change.at > self.world.now - HANDOVER_WINDOW_S
        ]
        if len(recent_handovers) > MAX_HANDOVERS_IN_WINDOW:
            self.observer.record(
                "shard_flapping", f"{role} changed owners {len(recent_handovers)} times in a minute"
            )

    # --- state of roles and controllers

    def home(self, shard: str) -> str:
        """The home of a shard: its owner while all controllers are healthy."""
        return self.cluster.names[int(shard[len(SHARD) :]) % len(self.cluster.names)]

    def is_operational(self, controller: str) -> bool:
        """Whether a controller has been operational for long enough that its peers can know.

        Its process runs, is not paused, and gets answers from the state service.
        """
        process, now = self.cluster.processes[controller], self.world.now
        max_served_age_s = self.cluster.deployment.lease_s * MAX_SERVED_AGE_SHARE
        return (
            process.alive
            and process.paused_until <= now
            and self.world.partition_between(controller, state_service.HOST) is None
            and now - self.first_served_at.get(process, now) >= max_served_age_s
            and now - self.served_at.get(controller, -1e9) < max_served_age_s
        )

    def is_alive(self, controller: str | None) -> bool:
        """Whether the process of this controller runs."""
        return controller is not None and self.cluster.processes[controller].alive

    def check_unowned(self) -> None:
        """Checks that roles get new owners in time once their owner's process has ended."""
        self.world.at(CHECK_INTERVAL_S, self.check_unowned)
        now = self.world.now
        any_operational = any(map(self.is_operational, self.cluster.names))
        for role in [LEADER, *self.shards()]:
            owner = self.owner(role)
            if self.is_alive(owner) or not any_operational or now < STARTUP_S:
                self.unowned_since.pop(role, None)
                continue
            since = self.unowned_since.setdefault(role, now)
            if now - since > MAX_UNOWNED_SHARE * self.cluster.deployment.lease_s:
                self.observer.record(
                    "left_unowned",
                    f"{role} is owned by {owner}, whose process has ended, since {since}",
                )

    def shards(self) -> list[str]:
        """All shards that have a key."""
        return [key[len(LIVE_PREFIX) :] for key in self.state.keys if key.startswith(SHARD_PREFIX)]

    # --- queries of scenarios

    def handovers(self, since: float) -> list[Change]:
        """The changes from one owner to another since a moment."""
        return [
            change
            for change in self.changes
            if change.at >= since and change.before is not None and change.before != change.owner
        ]

    def losses(self, controller: str, since: float) -> list[Change]:
        """The roles taken over from a controller since a moment, except shards returned home."""
        return [
            change
            for change in self.handovers(since)
            if change.before == controller
            and (change.role == LEADER or change.owner != self.home(change.role))
        ]

    def owned_at(self, controller: str, moment: float) -> set[str]:
        """The roles that a controller owned at a moment."""
        owned: dict[str, str | None] = {}
        for change in self.changes:
            if change.at <= moment:
                owned[change.role] = change.owner
        return {role for role, owner in owned.items() if owner == controller}

    def failover_s(self, controller: str, moment: float) -> float:
        """The time from `moment` until all roles of a controller had other owners.

        It is infinite if some of them have had no other owner since.
        """
        remaining = self.owned_at(controller, moment)
        assert remaining, f"{controller} owned no role at {moment}"
        for change in self.changes:
            if change.at > moment and change.owner != controller:
                remaining.discard(change.role)
                if not remaining:
                    return change.at - moment
        return float("inf")

    def most_shards_owned(self, controller: str, since: float) -> int:
        """The largest number of shards that a controller owned at once since a moment."""
        owned: set[str] = set()
        maximum = 0
        for change in self.changes:
            if change.role == LEADER:
                continue
            if change.owner == controller:
                owned.add(change.role)
            else:
                owned.discard(change.role)
            if change.at >= since:
                maximum = max(maximum, len(owned))
        return maximum

    def away_from_home(self) -> dict[str, str | None]:
        """The shards that are not owned by their home now, with their owners."""
        return {
            shard: self.owner(shard)
            for shard in self.shards()
            if self.owner(shard) != self.home(shard)
        }
