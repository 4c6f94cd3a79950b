"""Checks who holds the shards and the leadership, over the whole history of the state service.

A `role` is what a controller can hold: `s/3` for a shard, `lead` for the leadership.
"""

from collections.abc import Callable
from typing import NamedTuple

from . import state_service, state_wire
from .cluster import Cluster
from .state_wire import LEADER, LIVE_PREFIX, SHARD, SHARD_PREFIX, Transaction

# Times as shares of an agent's lease.
MAX_SERVED_AGE_SHARE = (
    2 / 9
)  # a controller served by the state service within it can do its shards' work
MAX_UNOWNED_SHARE = 1.0  # what a controller that has ended held must be others' after that
HANDOVER_WINDOW_S, MAX_HANDOVERS_IN_WINDOW = 60.0, 4
CHECK_INTERVAL_S = 0.5
FIRST_CHECK_S = 1.0
STARTUP_S = 10  # until then roles may be nobody's


class Change(NamedTuple):
    """A role's key was written."""

    at: float
    role: str
    owner: str | None
    before: str | None


class Ownership:
    """Follows each transaction; `watch` adds rules on failovers to the observer's.

    Attributes:
        changes: All changes of roles, in their order.
        served_at: When the state service last served a controller.
        first_served_at: When it served a process first.
        unowned_since: Since when the owner of a role is no more.
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
        """Also records failovers from controllers that could work, what is left, and flapping."""
        self.watching = True
        self.world.at(FIRST_CHECK_S, self.check_unowned)

    # --- the state service's history

    def note_served(self, host: str) -> None:
        """The state service has answered a host."""
        process = self.cluster.processes.get(host)
        if process is not None:
            self.served_at[host] = self.world.now
            self.first_served_at.setdefault(process, self.world.now)

    def audit(self, transaction: Transaction, source: str) -> Callable[[], None]:
        """Looks at a transaction before it is carried out."""
        before = {role: self.owner(role) for role in self.claimed_roles(transaction)}
        existing = {key for key in self.job_keys(transaction) if key in self.state.keys}
        owners = {role: self.owner(role) for role in self.shards_conditioned_on(transaction)}

        def committed() -> None:
            self.check_epochs(transaction, source, owners)
            self.check_records(transaction, source, existing)
            for role, former in before.items():
                self.note_change(role, former, self.owner(role))

        return committed

    @staticmethod
    def claimed_roles(transaction: Transaction) -> list[str]:
        """The roles whose keys a transaction writes."""
        written = [write.key for write in transaction.writes if write.data is not None]
        roles = [key[len(LIVE_PREFIX) :] for key in written]
        return [role for role in roles if role == LEADER or role.startswith(SHARD)]

    @staticmethod
    def shards_conditioned_on(transaction: Transaction) -> list[str]:
        """The shards on whose epoch a transaction hangs."""
        keys = [key for key, _ in transaction.conditions]
        return [key[len(LIVE_PREFIX) :] for key in keys if key.startswith(SHARD_PREFIX)]

    @staticmethod
    def job_keys(transaction: Transaction) -> list[str]:
        """The keys of job records that a transaction changes."""
        keys = [write.key for write in transaction.writes]
        return [key for key in keys if key.startswith(state_wire.JOB_PREFIXES)]

    def owner(self, role: str) -> str | None:
        """Who holds a role now."""
        row = self.state.keys.get(LIVE_PREFIX + role)
        return None if row is None else state_wire.read_owner(row.data)

    def check_epochs(
        self, transaction: Transaction, source: str, owners: dict[str, str | None]
    ) -> None:
        """Who commits on a shard's epoch holds the shard, or claims it just then.

        Args:
            transaction: What was committed.
            source: Who committed it.
            owners: Who held the shards on whose epochs it hangs.
        """
        claimed = self.claimed_roles(transaction)
        former = {
            role: owner for role, owner in owners.items() if owner != source and role not in claimed
        }
        if former:
            self.observer.record("stale_owner_write", f"{source} commits on the epoch of {former}")

    def check_records(self, transaction: Transaction, source: str, existing: set[str]) -> None:
        """What a job's record already held is changed on a shard's epoch, or cancelled.

        Args:
            transaction: What was committed.
            source: Who committed it.
            existing: The keys of job records among its writes that were there before.
        """
        # Chunks that no record names any more are removed without.
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
                "stale_owner_write", f"{source} changes {existing} on no shard's epoch"
            )

    def note_change(self, role: str, before: str | None, owner: str | None) -> None:
        """A role was claimed, perhaps by its owner."""
        self.changes.append(Change(self.world.now, role, owner, before))
        if not self.watching or before is None or before == owner:
            return
        if role != LEADER and owner == self.home(role):
            return
        if self.is_able(before):
            self.observer.record(
                "false_failover", f"{owner} takes {role} from {before}, which could work"
            )
        recent_handovers = [
            change
            for change in self.handovers(0.0)
            if change.role == role and change.at > self.world.now - HANDOVER_WINDOW_S
        ]
        if len(recent_handovers) > MAX_HANDOVERS_IN_WINDOW:
            self.observer.record(
                "shard_flapping", f"{role} changed hands {len(recent_handovers)} times in a minute"
            )

    # --- what roles and controllers are like

    def home(self, shard: str) -> str:
        """The controller that holds a shard when all are well."""
        return self.cluster.names[int(shard[len(SHARD) :]) % len(self.cluster.names)]

    def is_able(self, controller: str) -> bool:
        """Whether a controller can do its work, for long enough that others could know.

        It runs, does not stand still, and the state service serves it.
        """
        process, now = self.cluster.processes[controller], self.world.now
        fresh_s = self.cluster.deployment.lease_s * MAX_SERVED_AGE_SHARE
        return (
            process.alive
            and process.paused_until <= now
            and self.world.partition_between(controller, state_service.HOST) is None
            and now - self.first_served_at.get(process, now) >= fresh_s
            and now - self.served_at.get(controller, -1e9) < fresh_s
        )

    def is_alive(self, controller: str | None) -> bool:
        """Whether there is a process of this controller."""
        return controller is not None and self.cluster.processes[controller].alive

    def check_unowned(self) -> None:
        """What is held by a process that is no more must find another owner in time."""
        self.world.at(CHECK_INTERVAL_S, self.check_unowned)
        now = self.world.now
        any_able = any(map(self.is_able, self.cluster.names))
        for role in [LEADER, *self.shards()]:
            owner = self.owner(role)
            if self.is_alive(owner) or not any_able or now < STARTUP_S:
                self.unowned_since.pop(role, None)
                continue
            since = self.unowned_since.setdefault(role, now)
            if now - since > MAX_UNOWNED_SHARE * self.cluster.deployment.lease_s:
                self.observer.record(
                    "left_unowned", f"{role} is {owner}'s, which is no more, since {since}"
                )

    def shards(self) -> list[str]:
        """All shards that have a key."""
        return [key[len(LIVE_PREFIX) :] for key in self.state.keys if key.startswith(SHARD_PREFIX)]

    # --- what scenarios ask

    def handovers(self, since: float) -> list[Change]:
        """The changes from one owner to another, from a moment on."""
        return [
            change
            for change in self.changes
            if change.at >= since and change.before is not None and change.before != change.owner
        ]

    def losses(self, controller: str, since: float) -> list[Change]:
        """What others took from a controller from a moment on; but for shards not its own."""
        return [
            change
            for change in self.handovers(since)
            if change.before == controller
            and (change.role == LEADER or change.owner != self.home(change.role))
        ]

    def held_at(self, controller: str, moment: float) -> set[str]:
        """What a controller held at a moment."""
        held: dict[str, str | None] = {}
        for change in self.changes:
            if change.at <= moment:
                held[change.role] = change.owner
        return {role for role, owner in held.items() if owner == controller}

    def failover_s(self, controller: str, moment: float) -> float:
        """How long it took until all that a controller held was others'; infinite if it isn't."""
        waiting = self.held_at(controller, moment)
        assert waiting, f"{controller} held nothing at {moment}"
        for change in self.changes:
            if change.at > moment and change.owner != controller:
                waiting.discard(change.role)
                if not waiting:
                    return change.at - moment
        return float("inf")

    def most_shards_held(self, controller: str, since: float) -> int:
        """The most shards that a controller ever held from a moment on."""
        held: set[str] = set()
        maximum = 0
        for change in self.changes:
            if change.role == LEADER:
                continue
            if change.owner == controller:
                held.add(change.role)
            else:
                held.discard(change.role)
            if change.at >= since:
                maximum = max(maximum, len(held))
        return maximum

    def away_from_home(self) -> dict[str, str | None]:
        """The shards whose owner is not their home now."""
        return {
            shard: self.owner(shard)
            for shard in self.shards()
            if self.owner(shard) != self.home(shard)
        }
