"""Broken builds of failure detection between controllers and of failover."""

from emberglade.actors import send
from emberglade.failure_detection import FailureDomains, PeerMonitor, ShardPlanner
from emberglade.failure_detection.detector import PeerDetector
from emberglade.failure_detection.local_health import LocalHealth
from emberglade.failure_detection.messages import Incarnation, PeerState
from emberglade.failure_detection.peer import Peer
from emberglade.membership import NO_OWNER


def confirms_suspicions_at_once(patch):
    """A suspected peer is declared dead immediately."""

    def confirm(self, peer, isolated, now):
        self._set_state(peer, PeerState.DEAD, "suspected")
        return True

    patch.setattr(PeerDetector, "_confirm", confirm)


def ignores_indirect_heartbeats(patch):
    """Heartbeats that a peer sent to other controllers are no evidence that it is alive."""
    patch.setattr(
        PeerDetector, "_note_indirect_heartbeat", lambda self, peer, version, sent_at, now: False
    )


def accepts_duplicate_peer_heartbeats(patch):
    """Duplicate and old heartbeats count as evidence that their sender is alive."""
    original = PeerDetector.receive_heartbeat

    def receive_heartbeat(self, heartbeat, now, wall_time):
        peer = self.peers[heartbeat.sender]
        peer.direct_version = peer.version = None
        return original(self, heartbeat._replace(sent_wall_time=wall_time), now, wall_time)

    patch.setattr(PeerDetector, "receive_heartbeat", receive_heartbeat)


def ignores_own_pauses(patch):
    """A controller does not notice its own pauses."""
    patch.setattr(LocalHealth, "note_turn", lambda self, now, late_s: False)


def never_isolated(patch):
    """A controller never considers itself isolated."""
    patch.setattr(PeerDetector, "_is_isolated", lambda self: False)


def counts_domains_twice(patch):
    """Each controller counts as a failure domain of its own."""
    patch.setattr(FailureDomains, "of", lambda self, controller: controller)


def no_startup_grace(patch):
    """Startup counts as complete at once, so peers not known yet count as not serving."""
    original = Peer.serves
    patch.setattr(Peer, "serves", lambda self, now, startup_complete: original(self, now, True))


def serves_by_key_alone(patch):
    """A peer whose key is missing counts as not serving, even if its heartbeats arrive."""
    original = Peer.serves
    patch.setattr(
        Peer,
        "serves",
        lambda self, now, startup_complete: (
            self.key_lease is not None and original(self, now, startup_complete)
        ),
    )


def no_pause_allowance(patch):
    """Local pauses are not subtracted from the age of the contact with the state service."""
    patch.setattr(LocalHealth, "recent_pause_s", lambda self, now, overdue_s: 0.0)


def no_failback_delay(patch):
    """A controller claims its home shards again without a delay."""
    patch.setattr(Peer, "failback_delay_s", lambda self, now: 0.0)
    original = ShardPlanner._is_failback_due

    def is_failback_due(self, shard, owner, view):
        return original(self, shard, owner, view._replace(may_fail_back=True))

    patch.setattr(ShardPlanner, "_is_failback_due", is_failback_due)


def never_fails_over(patch):
    """Only shards without an owner are claimed, not those of a failed controller."""
    patch.setattr(
        ShardPlanner, "_is_due", lambda self, shard, owner, successors, view, now: owner == NO_OWNER
    )


def fails_over_on_stale_view(patch):
    """Claims are based on the view of the last turn, even if it is older than the replica."""
    on_changed = PeerMonitor.on_changed

    def change_without_view(self, events, revision, is_snapshot):
        with patch.context() as without_publish:
            without_publish.setattr(PeerMonitor, "publish", lambda self, view: None)
            on_changed(self, events, revision, is_snapshot)

    def publish(self, view):
        for listener in self.listeners:
            send(listener.on_liveness, view._replace(revision=2**60))

    patch.setattr(PeerMonitor, "publish", publish)
    patch.setattr(PeerMonitor, "on_changed", change_without_view)
    patch.setattr(PeerDetector, "note_first_replica", lambda self, now: None)


def ignores_slow_peers(patch):
    """Slow controllers are chosen as successors like any other."""
    original = ShardPlanner.shards_to_take

    def shards_to_take(self, incarnation, owners, view, now):
        return original(self, incarnation, owners, view._replace(slow=frozenset()), now)

    patch.setattr(ShardPlanner, "shards_to_take", shards_to_take)


def one_survivor_takes_all(patch):
    """Successors are chosen regardless of how many shards each of them owns already."""
    original = ShardPlanner._successors
    patch.setattr(
        ShardPlanner,
        "_successors",
        lambda self, shard, counts, view: original(self, shard, {}, view),
    )


def orders_incarnations_by_lease(patch):
    """Incarnations are ordered by lease number alone, not by revision."""
    patch.setattr(Incarnation, "__lt__", lambda self, other: self.lease < other.lease)
    patch.setattr(Incarnation, "__gt__", lambda self, other: self.lease > other.lease)


def accepts_future_heartbeats(patch):
    """Heartbeats with a send time in the future are accepted."""
    original = PeerDetector.receive_heartbeat
    patch.setattr(
        PeerDetector,
        "receive_heartbeat",
        lambda self, heartbeat, now, wall_time: original(
            self,
            heartbeat._replace(sent_wall_time=min(heartbeat.sent_wall_time, wall_time)),
            now,
            wall_time,
        ),
    )
