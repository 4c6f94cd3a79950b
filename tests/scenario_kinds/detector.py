"""Scenarios of the failure detector alone, with a clock that the scenario advances."""

from pathlib import Path
from typing import Any

import orjson
import pytest

from emberglade.config import Operators
from emberglade.failure_detection import DetectionBounds, FailureDomains
from emberglade.failure_detection.detector import PeerDetector
from emberglade.failure_detection.messages import (
    Heartbeat,
    HeartbeatVersion,
    Incarnation,
    MalformedPeerMessageError,
    Opinion,
    PeerState,
    PingOutcome,
    ProbeResult,
)
from emberglade.failure_detection.wire import add_heartbeat, read_carried_heartbeat

from .arguments import parse_arguments, parse_value
from .scenario import Scenario

TURN_S = 0.25
HEARTBEAT_INTERVAL_S = 0.99
CLOCK_TOLERANCE_S = 1e-9  # sums of turns are inexact
START_S = 100.0
BOUNDS = DetectionBounds(
    heartbeat_s=1.0,
    suspect_s=2.0,
    confirm_s=10 / 3,
    suspect_phi=Operators.suspect_phi,
    serves_without_key_s=20 / 9,
    skew_s=0.01,
)
OWN_NAME = "me"
OWN_DOMAIN = "home"
UNKNOWN_PROCESS = Incarnation(1, 99)
NOT_SERVING = "not_serving"


class DetectorScenario(Scenario):
    """Simulates the heartbeats of peers and checks what the detector concludes from them.

    States forbidden by `never` are checked after each turn; a state that is reached counts as a
    broken rule of that name.
    """

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.now = START_S
        self.seed: Any = 1
        self.failure_domains = {OWN_NAME: OWN_DOMAIN}
        self.names: list[str] = []
        self.detector: Any = None  # a PeerDetector, created by `peers`
        self.view: Any = None
        self.sending: set[str] = set()  # peers that send a heartbeat each second
        self.last_heartbeat: dict[str, float] = {}
        self.sequences: dict[str, int] = {}
        self.processes: dict[str, Incarnation] = {}
        self.forbidden: list[tuple[str, str]] = []
        self.reached: list[str] = []
        self.probes: list = []
        self.malformed = 0
        self.duplicates = 0
        self.has_store_contact = True

    def broken_rules(self) -> set[str]:
        """Returns the forbidden states that were reached."""
        return set(self.reached)

    def end(self) -> None:
        """Checks that no forbidden state was reached."""
        assert not self.reached, self.reached

    # --- peers and time

    def do_seed(self, seed: str) -> None:
        """Keeps the seed of a scenario with a `seeds` line; nothing here is random."""
        self.seed = parse_value(seed)

    def do_peers(self, *arguments: str) -> None:
        """Creates the detector with these peers, given as `name` or `name=domain`.

        A peer without a domain is in a failure domain of its own.
        """
        positional, named = parse_arguments(arguments)
        failure_domains = {name: name for name in positional} | {
            name: str(domain) for name, domain in named.items()
        }
        self.failure_domains.update(failure_domains)
        self.names = sorted(set(self.failure_domains) - {OWN_NAME})
        self.detector = PeerDetector(
            OWN_NAME, self.names, BOUNDS, FailureDomains(self.failure_domains)
        )
        self.detector.start(self.now)
        for lease, name in enumerate(self.names, 1):
            self.processes[name] = Incarnation(1, lease)
            self.detector.note_key(name, lease)

    def do_domain(self, name: str) -> None:
        """Sets the failure domain of this controller; has to precede `peers`."""
        self.failure_domains[OWN_NAME] = name

    def do_heartbeats_from(self, *names: str) -> None:
        """From now on these peers send a heartbeat each second."""
        self.sending.update(names)

    def do_no_heartbeats_from(self, *names: str) -> None:
        """From now on no heartbeats of these peers are received."""
        self.sending.difference_update(names)

    def do_state_contact(self, setting: str) -> None:
        """Sets whether this controller has contact with the state service, `on` or `off`."""
        self.has_store_contact = setting == "on"

    def do_wait(self, seconds: str) -> None:
        """Advances the clock in turns of TURN_S."""
        until = self.now + float(seconds)
        while self.now < until - CLOCK_TOLERANCE_S:
            self.turn(0.0)

    def do_pause(self, seconds: str) -> None:
        """Suspends this controller; no heartbeat is received meanwhile."""
        self.now += float(seconds)
        self.turn(float(seconds))

    def turn(self, late_s: float) -> None:
        """Advances the clock by TURN_S and runs one turn of the detector, late by `late_s`."""
        self.now += TURN_S
        if self.has_store_contact:
            self.detector.note_store_contact(self.now)
        for name in sorted(self.sending):
            gap_s = self.now - self.last_heartbeat.get(name, -1e9)
            if gap_s >= HEARTBEAT_INTERVAL_S and not late_s:
                self.last_heartbeat[name] = self.now
                self.receive(self.heartbeat(name))
        result = self.detector.turn(self.now, late_s)
        self.view = result.view
        self.probes += result.probes
        self.reached += [state for name, state in self.forbidden if self.is_in(name, state)]

    def is_in(self, name: str, state: str) -> bool:
        """Whether a peer is in a state; `not_serving` means that it is not among those serving."""
        if state == NOT_SERVING:
            return name not in self.view.serving
        return self.detector.peers[name].state.value == state

    # --- heartbeats and other evidence

    def heartbeat(
        self,
        name: str,
        sequence: int | None = None,
        process: Incarnation | None = None,
        age_s: float = 0.0,
        contact_age_s: float = 0.0,
        opinions: tuple[Opinion, ...] = (),
    ) -> Heartbeat:
        """Builds a heartbeat of a peer, with its next sequence number if none is given."""
        if sequence is None:
            sequence = self.sequences.get(name, 0) + 1
        self.sequences[name] = max(sequence, self.sequences.get(name, 0))
        version = HeartbeatVersion(process or self.processes.get(name, UNKNOWN_PROCESS), sequence)
        return Heartbeat(name, version, self.now - age_s, contact_age_s, False, opinions)

    def receive(self, heartbeat: Heartbeat) -> None:
        """Passes a heartbeat to the detector and counts it if it is refused or a duplicate."""
        try:
            if not self.detector.receive_heartbeat(heartbeat, self.now, self.now):
                self.duplicates += 1
        except MalformedPeerMessageError:
            self.malformed += 1

    def do_receive_heartbeat(self, name: str, *arguments: str) -> None:
        """Receives one heartbeat of a peer.

        Options: `sequence=`; `age=`, seconds since it was sent; `contact=`, age of the peer's
        contact with the state service; `revision=` and `lease=`, the sending incarnation.
        """
        fields: dict[str, Any] = parse_arguments(arguments)[1]
        process = None
        if "revision" in fields:
            process = Incarnation(fields["revision"], fields["lease"])
        self.receive(
            self.heartbeat(
                name,
                fields.get("sequence"),
                process,
                fields.get("age", 0.0),
                fields.get("contact", 0.0),
            )
        )

    def do_restart(self, name: str, revision: str, lease: str) -> None:
        """Restarts a peer: its next heartbeats are those of another incarnation."""
        self.processes[name] = Incarnation(int(revision), int(lease))
        self.sequences[name] = 0

    def do_reported_alive_by(self, witness: str, name: str, age_s: str) -> None:
        """Receives a heartbeat of the witness: the peer's last heartbeat reached it `age_s` ago."""
        sequence = self.sequences[name] = self.sequences.get(name, 0) + 1
        version = HeartbeatVersion(self.processes[name], sequence)
        opinion = Opinion(name, PeerState.ALIVE, version, float(age_s), 0.0, 0.0)
        self.receive(self.heartbeat(witness, opinions=(opinion,)))

    def do_asked_to_wait_by(self, witness: str, seconds: str) -> None:
        """Receives a heartbeat of the witness that asks this controller to delay its failback."""
        opinion = Opinion(OWN_NAME, PeerState.ALIVE, None, 0.0, 0.0, float(seconds))
        self.receive(self.heartbeat(witness, opinions=(opinion,)))

    def do_key(self, name: str, lease: str) -> None:
        """Attaches a peer's membership key to this lease, or deletes the key if `gone`."""
        self.detector.note_key(name, None if lease == "gone" else int(lease))

    def do_refuses_connection(self, name: str) -> None:
        """Reports that a connection to a peer was refused."""
        self.detector.note_call_outcome(name, PingOutcome.REFUSED, self.now)

    def do_probe_answer(self, relay: str, name: str, outcome: str) -> None:
        """Reports the outcome of a relay's probe of a peer."""
        result = ProbeResult(name, PingOutcome(outcome), None, 0.0)
        self.detector.note_probe_result(relay, result, self.now)

    def do_malformed(self, text: str) -> None:
        """Decodes a heartbeat some of whose fields are replaced by those of a JSON object."""
        body = add_heartbeat({}, self.heartbeat(self.names[0]))
        body["heartbeat"].update(orjson.loads(text))
        try:
            read_carried_heartbeat(body)
        except MalformedPeerMessageError:
            self.malformed += 1

    # --- expectations

    def do_never(self, name: str, state: str) -> None:
        """Forbids a state, or `not_serving`, for a peer in all later turns."""
        self.forbidden.append((name, state))

    def expect_state(self, name: str, state: str) -> None:
        """The peer is in this state now."""
        assert self.detector.peers[name].state.value == state, self.detector.peers[name].state

    def expect_serving(self, *names: str) -> None:
        """Exactly these peers are serving."""
        assert self.view.serving == {OWN_NAME, *names}, self.view.serving

    def expect_malformed_refused(self, count: str) -> None:
        """This many messages were refused as malformed so far."""
        assert self.malformed == int(count), self.malformed

    def expect_duplicates(self, count: str) -> None:
        """This many heartbeats were treated as duplicates so far."""
        assert self.duplicates == int(count), self.duplicates

    def expect_relays(self, name: str, *relays: str) -> None:
        """The last request to probe this peer went to these relays."""
        orders = [order.relays for order in self.probes if order.target == name]
        assert orders, f"no probe of {name} was requested"
        assert set(orders[-1]) == set(relays), orders

    def expect_no_probes(self) -> None:
        """No probe was requested."""
        assert not self.probes, self.probes

    def expect_may_fail_back(self, expected: str) -> None:
        """This controller may claim its home shards again, or may not, as `yes` or `no` states."""
        assert self.view.may_fail_back == (expected == "yes"), self.view

    def expect_failback_delay(self, name: str, minimum: str, maximum: str) -> None:
        """The delay before a peer should claim its home shards again is within these seconds."""
        delay_s = self.detector.peers[name].failback_delay_s(self.now)
        assert float(minimum) <= delay_s <= float(maximum), delay_s
