"""The state machine of failure detection alone, on a clock that the scenario moves."""

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
HEARTBEAT_GAP_S = 0.99
CLOCK_SLACK_S = 1e-9
START_S = 100.0
BOUNDS = DetectionBounds(
    heartbeat_s=1.0,
    suspect_s=2.0,
    confirm_s=10 / 3,
    suspect_phi=Operators.suspect_phi,
    serves_without_key_s=20 / 9,
    skew_s=0.01,
)
ME = "me"
HOME_DOMAIN = "home"
UNKNOWN_PROCESS = Incarnation(1, 99)
NOT_SERVING = "not_serving"


class DetectorScenario(Scenario):
    """Peers that send heartbeats each second or fall silent, and what is concluded of them.

    What `never` names is watched at each turn; the state is the rule that is broken.
    """

    def __init__(self, patch: pytest.MonkeyPatch, directory: Path) -> None:
        super().__init__(patch, directory)
        self.now = START_S
        self.seed: Any = 1
        self.domains = {ME: HOME_DOMAIN}
        self.names: list[str] = []
        self.detector: Any = None  # a PeerDetector, once there are peers
        self.view: Any = None
        self.sending: set[str] = set()  # peers whose heartbeats come each second
        self.last_heartbeat: dict[str, float] = {}
        self.sequences: dict[str, int] = {}
        self.processes: dict[str, Incarnation] = {}
        self.forbidden: list[tuple[str, str]] = []
        self.broken: list[str] = []
        self.probes: list = []
        self.malformed = 0
        self.duplicates = 0
        self.in_contact = True

    def broken_rules(self) -> set[str]:
        """The states that were watched for and came."""
        return set(self.broken)

    def end(self) -> None:
        """None of them may have come."""
        assert not self.broken, self.broken

    # --- peers and time

    def do_seed(self, seed: str) -> None:
        """Only a scenario with seeds is played with them; nothing is random here."""
        self.seed = parse_value(seed)

    def do_peers(self, *words: str) -> None:
        """Names, or name=domain."""
        plain, named = parse_arguments(words)
        domains = {name: name for name in plain} | {
            name: str(domain) for name, domain in named.items()
        }
        self.domains.update(domains)
        self.names = sorted(set(self.domains) - {ME})
        self.detector = PeerDetector(ME, self.names, BOUNDS, FailureDomains(self.domains))
        self.detector.start(self.now)
        for lease, name in enumerate(self.names, 1):
            self.processes[name] = Incarnation(1, lease)
            self.detector.note_key(name, lease)

    def do_domain(self, name: str) -> None:
        """Our own domain, for peers that are named later."""
        self.domains[ME] = name

    def do_heartbeats_from(self, *names: str) -> None:
        """From now on their heartbeats come each second."""
        self.sending.update(names)

    def do_no_heartbeats_from(self, *names: str) -> None:
        """From now on no heartbeats of theirs come."""
        self.sending.difference_update(names)

    def do_state_contact(self, word: str) -> None:
        """Whether this controller is in contact with the state service: `on` or `off`."""
        self.in_contact = word == "on"

    def do_wait(self, seconds: str) -> None:
        """Time passes."""
        until = self.now + float(seconds)
        while self.now < until - CLOCK_SLACK_S:
            self.turn(0.0)

    def do_pause(self, seconds: str) -> None:
        """This controller stands still; nothing is heard meanwhile."""
        self.now += float(seconds)
        self.turn(float(seconds))

    def turn(self, late_s: float) -> None:
        """One turn of the detector, late by so much."""
        self.now += TURN_S
        if self.in_contact:
            self.detector.note_store_contact(self.now)
        for name in sorted(self.sending):
            gap_s = self.now - self.last_heartbeat.get(name, -1e9)
            if gap_s >= HEARTBEAT_GAP_S and not late_s:
                self.last_heartbeat[name] = self.now
                self.receive(self.heartbeat(name))
        result = self.detector.turn(self.now, late_s)
        self.view = result.view
        self.probes += result.probes
        self.broken += [state for name, state in self.forbidden if self.is_in(name, state)]

    def is_in(self, name: str, state: str) -> bool:
        """Whether a peer is in a state, or is not serving."""
        if state == NOT_SERVING:
            return name not in self.view.serving
        return self.detector.peers[name].state.value == state

    # --- heartbeats and other signs

    def heartbeat(
        self,
        name: str,
        sequence: int | None = None,
        process: Incarnation | None = None,
        age_s: float = 0.0,
        contact_age_s: float = 0.0,
        opinions: tuple[Opinion, ...] = (),
    ) -> Heartbeat:
        """A heartbeat of a peer, the next one if no sequence is given."""
        if sequence is None:
            sequence = self.sequences.get(name, 0) + 1
        self.sequences[name] = max(sequence, self.sequences.get(name, 0))
        mark = HeartbeatVersion(process or self.processes.get(name, UNKNOWN_PROCESS), sequence)
        return Heartbeat(name, mark, self.now - age_s, contact_age_s, False, opinions)

    def receive(self, heartbeat: Heartbeat) -> None:
        """A heartbeat arrives."""
        try:
            if not self.detector.receive_heartbeat(heartbeat, self.now, self.now):
                self.duplicates += 1
        except MalformedPeerMessageError:
            self.malformed += 1

    def do_receive_heartbeat(self, name: str, *words: str) -> None:
        """One heartbeat; `sequence=`, `age=`, `contact=`, its process by `revision=`, `lease=`."""
        fields: dict[str, Any] = parse_arguments(words)[1]
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
        """From now on another process sends its heartbeats."""
        self.processes[name] = Incarnation(int(revision), int(lease))
        self.sequences[name] = 0

    def do_reported_alive_by(self, witness: str, name: str, age_s: str) -> None:
        """The witness's next heartbeat says that it heard the peer so long ago."""
        sequence = self.sequences[name] = self.sequences.get(name, 0) + 1
        mark = HeartbeatVersion(self.processes[name], sequence)
        opinion = Opinion(name, PeerState.ALIVE, mark, float(age_s), 0.0, 0.0)
        self.receive(self.heartbeat(witness, opinions=(opinion,)))

    def do_asked_to_wait_by(self, witness: str, seconds: str) -> None:
        """The witness says that this controller should wait for its shards."""
        opinion = Opinion(ME, PeerState.ALIVE, None, 0.0, 0.0, float(seconds))
        self.receive(self.heartbeat(witness, opinions=(opinion,)))

    def do_key(self, name: str, lease: str) -> None:
        """The key of a peer hangs on this lease now, or is `gone`."""
        self.detector.note_key(name, None if lease == "gone" else int(lease))

    def do_refuses_connection(self, name: str) -> None:
        """A peer's machine refuses a connection."""
        self.detector.note_call_outcome(name, PingOutcome.REFUSED, self.now)

    def do_probe_answer(self, relay: str, name: str, outcome: str) -> None:
        """A relay says what came of its probe of a peer."""
        result = ProbeResult(name, PingOutcome(outcome), None, 0.0)
        self.detector.note_probe_result(relay, result, self.now)

    def do_malformed(self, text: str) -> None:
        """A heartbeat as text, of which one field is replaced."""
        body = add_heartbeat({}, self.heartbeat(self.names[0]))
        body["heartbeat"].update(orjson.loads(text))
        try:
            read_carried_heartbeat(body)
        except MalformedPeerMessageError:
            self.malformed += 1

    # --- what is watched and expected

    def do_never(self, name: str, state: str) -> None:
        """This peer must not be in this state at any turn, or must not be `not_serving`."""
        self.forbidden.append((name, state))

    def expect_state(self, name: str, state: str) -> None:
        """The state of a peer now."""
        assert self.detector.peers[name].state.value == state, self.detector.peers[name].state

    def expect_serving(self, *names: str) -> None:
        """These peers serve, and no others."""
        assert self.view.serving == {ME, *names}, self.view.serving

    def expect_malformed_refused(self, count: str) -> None:
        """So many messages were refused so far."""
        assert self.malformed == int(count), self.malformed

    def expect_duplicates(self, count: str) -> None:
        """So many heartbeats were taken for duplicates so far."""
        assert self.duplicates == int(count), self.duplicates

    def expect_relays(self, name: str, *relays: str) -> None:
        """These controllers were asked to probe a peer, the last time that any was."""
        orders = [order.relays for order in self.probes if order.target == name]
        assert orders, f"nobody was asked to probe {name}"
        assert set(orders[-1]) == set(relays), orders

    def expect_no_probes(self) -> None:
        """Nobody was asked to probe anybody."""
        assert not self.probes, self.probes

    def expect_may_fail_back(self, word: str) -> None:
        """Whether this controller may take its shards back: `yes` or `no`."""
        assert self.view.may_fail_back == (word == "yes"), self.view

    def expect_failback_delay(self, name: str, minimum: str, maximum: str) -> None:
        """How long a peer should wait before it takes its shards back, in seconds."""
        wait_s = self.detector.peers[name].failback_delay_s(self.now)
        assert float(minimum) <= wait_s <= float(maximum), wait_s
