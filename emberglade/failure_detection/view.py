"""The result of a detector turn, and the liveness view that other actors receive."""

from typing import NamedTuple, Protocol

from .messages import PeerState


class LivenessView(NamedTuple):
    """The liveness of all controllers, as this one sees it now.

    Attributes:
        states: The state of each other controller.
        serving: The controllers that can commit, this one included.
        slow: The controllers that should not take over shards or leadership.
        may_fail_over: Whether this controller's view is reliable enough for failover, because this
            process was not paused recently.
        may_fail_back: Whether this controller may take its home shards back: it has served long
            enough, was not paused recently, and does not suspect most of its peers.
        revision: The revision of the last change of a node's key, a shard's key or the leader's key
            that this view reflects.
    """

    states: dict[str, PeerState]
    serving: frozenset[str]
    slow: frozenset[str]
    may_fail_over: bool
    may_fail_back: bool
    revision: int = -1

    @property
    def suspected(self) -> frozenset[str]:
        """The controllers that are suspected or confirmed dead."""
        return frozenset(
            name
            for name, state in self.states.items()
            if state in (PeerState.SUSPECTED, PeerState.DEAD)
        )


class Transition(NamedTuple):
    """A change of a peer's state."""

    peer: str
    before: PeerState
    after: PeerState
    reason: str


class IndirectProbe(NamedTuple):
    """A request to ask the relays whether they reach the target."""

    target: str
    relays: tuple[str, ...]


class TurnResult(NamedTuple):
    """The result of one turn of the detection loop."""

    transitions: tuple[Transition, ...]
    probes: tuple[IndirectProbe, ...]
    view: LivenessView


class LivenessListener(Protocol):
    """An actor that the monitor notifies of the liveness of controllers."""

    def on_liveness(self, view: LivenessView) -> None:
        """Handles `liveness(view)`: the liveness view has changed."""

    def on_peer_dead(self, name: str) -> None:
        """Handles `peer_dead(name)`: a peer's death is confirmed.

        The view in which the peer is dead was sent before.
        """
