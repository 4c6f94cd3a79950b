"""Takes the shards that this node should hold, and the lead when it is free.

Taking a shard writes its key, and every write to a job is conditional on that key's stamp: a
former holder can't write any more, however late it learns of it. So nothing here has to be
exact about who is alive; wrong guesses cost time, never safety.
"""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from ..state import LIVE, Follower
from ..state import wire as state_wire
from ..state.store import DECISIONS

log = logging.getLogger("emberglade.membership")

SHARDS_PER_NODE = 4


def shard_count(settings):
    """How many shards the jobs are spread over."""
    return SHARDS_PER_NODE * settings.size


class Holder(NamedTuple):
    """Who holds a shard or the lead: the key's content and its stamp."""

    node: str | None
    incarnation: int | None
    stamp: int


NOBODY = Holder(None, None, 0)


def claims_revision(events, revision, whole):
    """The revision of the last change of a node's key, a shard or the lead; None: there is none."""
    if whole:
        return revision
    return max(
        (stamp for key, _, stamp in events if key == "lead" or key.startswith(("n/", "s/"))),
        default=None,
    )


class Claims(Follower):
    """The part of the member that claims; without a view of peers, their keys alone speak."""

    # Set by the member.
    settings: Any
    lease: int | None
    nodes: dict[str, int | None]  # node -> incarnation of its live process
    loaded: bool
    lost_lease: Callable[[int | None, int, object], bool]

    def __init__(self, settings):
        self.shards, self.lead = {}, None  # Holder by shard, Holder of the lead
        self.watches_peers = False  # whether failure detection is on, so that a view will come
        self.view = None  # the LivenessView
        # The failure detection's planners, once peers are watched.
        self.shard_planner: Any = None
        self.lead_planner: Any = None
        self.claims_revision = -1  # of the last change of a node's key, a shard or the lead
        self.busy_shards = False
        self.busy_lead = False

    def watch_peers(self, shard_planner, lead_planner):
        """Claims follow these plans, and wait for the first view of peers."""
        self.watches_peers = True
        self.shard_planner, self.lead_planner = shard_planner, lead_planner

    def forget_claims(self):
        """Forgets all holders, before the whole copy is told anew."""
        self.shards, self.lead = {}, None

    def note_claim(self, key, data, stamp):
        """Notes a change of a claim's key; False if it is none."""
        if key != "lead" and not key.startswith("s/"):
            return False
        holder = None if data is None else Holder(data.get("node"), data.get("inc"), stamp)
        if key == "lead":
            self.lead = holder
        elif holder is None:
            self.shards.pop(int(key[2:]), None)
        else:
            self.shards[int(key[2:])] = holder
        return True

    def on_liveness(self, view):
        """Who can be relied on has changed."""
        self.view = view
        self.claim()

    def on_peer_dead(self, name):
        """The view that came before says so too."""

    def wanted(self, shard):
        """Who should hold the shard: its home node, or if that is not alive the next live one."""
        names = self.settings.names
        home = names[shard % len(names)]
        if home in self.nodes:
            return home
        live = [name for name in names if name in self.nodes]
        return live[(shard // len(names)) % len(live)] if live else None

    def shards_to_take(self):
        """The shards that this process should take now and does not hold.

        From the shard planner once a view of peers is there, else from the nodes' keys alone.
        """
        if self.view is not None:
            return self.shard_planner.shards_to_take(
                self.incarnation, self.shards, self.view, self.now()
            )
        mine = (self.settings.node, self.incarnation)
        return [
            shard
            for shard in range(shard_count(self.settings))
            if self.wanted(shard) == self.settings.node
            and self.shards.get(shard, NOBODY)[:2] != mine
        ]

    def should_lead(self):
        """Whether this process should take the leader's key now."""
        if self.view is not None:
            return self.lead_planner.should_take(self.incarnation, self.lead, self.view, self.now())
        # A node that is back at once finds the lead of its own former process, which is no more.
        return self.lead is None or (
            self.lead.node == self.settings.node and self.lead.incarnation != self.incarnation
        )

    def claim(self):
        """Takes the shards and the leader's key that are due, unless a take is on its way.

        Nothing is taken before the copy is read, without a lease, or while the view of peers lags
        behind the last change of a claim.
        """
        me = self.settings.node
        if not self.loaded or self.lease is None or self.nodes.get(me) != self.incarnation:
            return
        if self.watches_peers and (self.view is None or self.view.revision < self.claims_revision):
            # Once broken: a controller that was in contact again after long took all shards in the
            # moment in which its copy showed their holders and its view did not
            # (failure_detection/contact_at_last.txt).
            return
        if not self.busy_shards:
            take = self.shards_to_take()[: self.settings.txn_ops]
            if take:
                self.take_shards(take)
        if not self.busy_lead and self.should_lead():
            self.busy_lead = True
            stamp = 0 if self.lead is None else self.lead.stamp
            self.store.tell(
                "commit",
                DECISIONS,
                [(LIVE + "lead", stamp)],
                [state_wire.put(LIVE + "lead", {"node": me, "inc": self.incarnation}, self.lease)],
                self.then("led", self.lease),
            )

    def take_shards(self, take):
        """Takes `take` (shard numbers) in one compare-and-swap on their keys' stamps."""
        self.busy_shards = True
        conditions = [(f"{LIVE}s/{shard}", self.shards.get(shard, NOBODY).stamp) for shard in take]
        writes = [
            state_wire.put(
                f"{LIVE}s/{shard}", {"node": self.settings.node, "inc": self.incarnation}
            )
            for shard in take
        ]
        log.info("taking shards %s", take)
        self.store.tell("commit", DECISIONS, conditions, writes, self.then("claimed"))

    def on_claimed(self, status, revision, failed):
        """Handles the store's answer to `take_shards`: a sync shows what became of it."""
        self.store.tell("sync", self.then("claim_seen"))

    def on_claim_seen(self, revision):
        """Handles the sync after a take of shards: claims again if the sync was answered."""
        self.busy_shards = False
        if revision is not None:
            self.claim()

    def on_led(self, lease, status, revision, failed):
        """Handles the store's answer to a take of the leader's key made with `lease`.

        A refused lease takes a new one; either way, a sync shows what became of it.
        """
        if status == 200:
            log.info("leading from revision %s", revision)
        else:
            self.lost_lease(lease, status, failed)
        self.store.tell("sync", self.then("lead_seen"))

    def on_lead_seen(self, revision):
        """Handles the sync after a take of the leader's key: another may be tried."""
        self.busy_lead = False
