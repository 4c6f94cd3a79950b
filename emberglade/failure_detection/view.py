"""What comes of a turn of the detector, and what the rest of a controller is told of its peers."""

from typing import NamedTuple, Protocol

from .messages import PeerState


class LivenessView(NamedTuple):
    """Which controllers can be relied on, as this one sees it now.

    Attributes:
        states: What each other controller is taken for.
        serving: These can commit; this controller is among them.
        slow: These ask not to be given others' work.
        may_fail_over: Whether this controller trusts its own picture enough to fail over.
        may_fail_back: Whether it has served for long enough to get its home shards back.
        revision: Of the last change of a node's key, a shard's or the leader's key that this view
            takes in.
    """

    states: dict[str, PeerState]
    serving: frozenset[str]
    slow: frozenset[str]
    may_fail_over: bool
    may_fail_back: bool
    revision: int = -1

    @property
    def suspected(self) -> frozenset[str]:
        """Those that are silent, unconfirmed or confirmed."""
        return frozenset(
            name
            for name, state in self.states.items()
            if state in (PeerState.SUSPECTED, PeerState.DEAD)
        )


class Transition(NamedTuple):
    """A peer is taken for something else than before."""

    peer: str
    before: PeerState
    after: PeerState
    reason: str


class IndirectProbe(NamedTuple):
    """The relays are to be asked whether they reach the target."""

    target: str
    relays: tuple[str, ...]


class TurnResult(NamedTuple):
    """What a turn of the loop led to."""

    transitions: tuple[Transition, ...]
    probes: tuple[IndirectProbe, ...]
    view: LivenessView


class LivenessListener(Protocol):
    """An actor that the monitor tells of who is alive; it owns both handlers."""

    def on_liveness(self, view: LivenessView) -> None:
        """Handles `liveness(view)`: who can be relied on has changed."""

    def on_peer_dead(self, name: str) -> None:
        """Handles `peer_dead(name)`: the end of a peer is confirmed; the view came before."""
