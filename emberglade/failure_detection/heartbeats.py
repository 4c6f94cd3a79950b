"""Creates the heartbeats of this process, and receives those of its peers."""

import logging
from collections import Counter
from collections.abc import Collection
from typing import Any

from ..actors import Actor, ActorPart
from . import wire
from .detector import PeerDetector
from .messages import Heartbeat, HeartbeatVersion, Incarnation, MalformedPeerMessageError

log = logging.getLogger("emberglade.failure_detection")

MAX_CONTACT_AGE_S = 1e6  # maximum that is sent; stands for "no contact yet"
UNKNOWN_SENDER = "an unknown sender"


class HeartbeatSource(ActorPart):
    """The part of the monitor that creates this process's heartbeats.

    Attributes:
        first_revision: The revision of this process's first replica; None before it was read.
        lease: The ID of this process's first lease, as received by the handler `on_identity`
            of the monitor; None until then.
        turn_due: When the monitor's next turn is due.
    """

    def __init__(self, actor: Actor, node: str, detector: PeerDetector) -> None:
        super().__init__(actor)
        self.node, self.detector = node, detector
        self.first_revision: int | None = None
        self.lease: int | None = None
        self.turn_due = 0.0
        self._sequence = 0

    def next(self) -> Heartbeat | None:
        """The next heartbeat, or None while the incarnation of this process is unknown."""
        if self.lease is None or self.first_revision is None:
            return None
        now = self.now()
        self._sequence += 1
        # The age of the contact excludes a pause of this process, because a process that runs again
        # is in contact again at once.
        pause_s = self.detector.health.recent_pause_s(now, now - self.turn_due)
        contact_age_s = max(0.0, now - self.detector.store_contact_at - pause_s)
        return Heartbeat(
            sender=self.node,
            version=HeartbeatVersion(Incarnation(self.first_revision, self.lease), self._sequence),
            sent_wall_time=self.system.wall_time(),
            store_contact_age_s=min(MAX_CONTACT_AGE_S, contact_age_s),
            slow=self.detector.health.slow,
            opinions=self.detector.opinions(now),
        )

    def add_to(self, body: Any) -> Any:
        """The body of a message with the next heartbeat added."""
        return wire.add_heartbeat(body, self.next())


class HeartbeatReceiver(ActorPart):
    """The part of the monitor that receives heartbeats, and rejects invalid messages."""

    def __init__(self, actor: Actor, peers: Collection[str], detector: PeerDetector) -> None:
        super().__init__(actor)
        self.peers, self.detector = peers, detector
        self._refused: Counter[str] = Counter()  # peer -> number of its messages that were rejected

    @property
    def refused_count(self) -> int:
        """How many messages were rejected since the start of the process."""
        return sum(self._refused.values())

    def receive(self, peer: str, body: Any) -> None:
        """Applies the heartbeat that a peer's message carries, or rejects the message."""
        try:
            heartbeat = wire.read_carried_heartbeat(body)
            self.detector.receive_heartbeat(heartbeat, self.now(), self.system.wall_time())
        except MalformedPeerMessageError as error:
            self.refuse(peer, error)

    def refuse(self, peer: str, error: MalformedPeerMessageError) -> None:
        """Counts a rejected message, and logs the first one of each peer."""
        peer = peer if peer in self.peers else UNKNOWN_SENDER
        self._refused[peer] += 1
        if self._refused[peer] == 1:
            log.warning(
                "rejected a message of %s; further rejections of this peer are only counted: %s",
                peer,
                error,
            )
