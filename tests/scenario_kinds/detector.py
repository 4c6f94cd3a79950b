"""The state machine of failure detection alone, on a clock that the scenario moves."""

import orjson

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
from scenario_kinds.words import split, value

TURN_S = 0.25
BOUNDS = DetectionBounds(
    heartbeat_s=1.0,
    suspect_s=2.0,
    confirm_s=10 / 3,
    suspect_phi=Operators.suspect_phi,
    serves_without_key_s=20 / 9,
    skew_s=0.01,
)
ME = "me"


class DetectorScenario:
    """`peers a b`, `beating a b` (their heartbeats come each second), `silent a`, `wait 3`;
    `never a dead` is watched at each turn and breaks the rule `dead`.
    """

    def __init__(self, patch, tmp_path):
        self.now, self.seed = 100.0, 1
        self.domains, self.names = {ME: "home"}, []
        self.detector, self.view = None, None
        self.beating, self.sequences, self.processes = set(), {}, {}
        self.forbidden, self.broken = [], []
        self.probes, self.refused, self.copies = [], 0, 0
        self.contact, self.pause = True, 0.0
        self.last_beat = {}

    def step(self, verb, words):
        getattr(self, "do_" + verb)(*words)

    def rules(self):
        """The states that were watched for and came."""
        return set(self.broken)

    def end(self):
        assert not self.broken, self.broken

    def play(self):
        """All has been played step by step."""

    # --- what happens

    def do_seed(self, seed):
        self.seed = value(seed)

    def do_peers(self, *words):
        """Names, or name=domain."""
        plain, named = split(words)
        self.domains.update({name: name for name in plain} | named)
        self.names = sorted(set(self.domains) - {ME})
        self.detector = PeerDetector(ME, self.names, BOUNDS, FailureDomains(self.domains))
        self.detector.start(self.now)
        for number, name in enumerate(self.names):
            self.processes[name] = Incarnation(1, number + 1)
            self.detector.note_key(name, number + 1)

    def do_domain(self, name):
        """Our own domain."""
        self.domains[ME] = name

    def do_beating(self, *names):
        self.beating.update(names)

    def do_silent(self, *names):
        self.beating.difference_update(names)

    def do_contact(self, word):
        """Whether this controller is in contact with the state service."""
        self.contact = word == "on"

    def do_wait(self, seconds):
        until = self.now + float(seconds)
        while self.now < until - 1e-9:
            self.turn(0.0)

    def do_pause(self, seconds):
        """This controller stands still; nothing is heard meanwhile."""
        self.now += float(seconds)
        self.turn(float(seconds))

    def turn(self, late_s):
        self.now += TURN_S
        if self.contact:
            self.detector.note_store_contact(self.now)
        for name in sorted(self.beating):
            if self.now - self.last_beat.get(name, -1e9) >= 0.99 and not late_s:
                self.last_beat[name] = self.now
                self.hear(self.heartbeat(name))
        result = self.detector.turn(self.now, late_s)
        self.view = result.view
        self.probes += result.probes
        for name, state in self.forbidden:
            serving = name in self.view.serving
            if self.detector.peers[name].state.value == state or (
                state == "unserved" and not serving
            ):
                self.broken.append(state)

    def heartbeat(
        self, name, sequence=None, process=None, age_s=0.0, contact_age_s=0.0, opinions=()
    ):
        sequence = sequence if sequence is not None else self.sequences.get(name, 0) + 1
        self.sequences[name] = max(sequence, self.sequences.get(name, 0))
        version = HeartbeatVersion(
            process or self.processes.get(name, Incarnation(1, 99)), sequence
        )
        return Heartbeat(name, version, self.now - age_s, contact_age_s, False, opinions)

    def hear(self, heartbeat):
        try:
            if not self.detector.receive_heartbeat(heartbeat, self.now, self.now):
                self.copies += 1
        except MalformedPeerMessageError:
            self.refused += 1

    def do_hear(self, name, *words):
        """One heartbeat; `sequence=`, `age=`, `contact=`, its process by `revision=`, `lease=`."""
        named = split(words)[1]
        process = None
        if "revision" in named:
            process = Incarnation(named["revision"], named["lease"])
        self.hear(
            self.heartbeat(
                name,
                named.get("sequence"),
                process,
                named.get("age", 0.0),
                named.get("contact", 0.0),
            )
        )

    def do_restart(self, name, revision, lease):
        """From now on another process sends its heartbeats."""
        self.processes[name] = Incarnation(int(revision), int(lease))
        self.sequences[name] = 0

    def do_vouch(self, witness, name, age_s):
        """The witness's next heartbeat says that it heard the peer so long ago."""
        sequence = self.sequences[name] = self.sequences.get(name, 0) + 1
        version = HeartbeatVersion(self.processes[name], sequence)
        opinion = Opinion(name, PeerState.ALIVE, version, float(age_s), 0.0, 0.0)
        self.hear(self.heartbeat(witness, opinions=(opinion,)))

    def do_told_to_wait(self, witness, seconds):
        """The witness says that this controller should wait for its shards."""
        opinion = Opinion(ME, PeerState.ALIVE, None, 0.0, 0.0, float(seconds))
        self.hear(self.heartbeat(witness, opinions=(opinion,)))

    def do_key(self, name, lease):
        self.detector.note_key(name, None if lease == "gone" else int(lease))

    def do_refuses(self, name):
        self.detector.note_call_outcome(name, PingOutcome.REFUSED, self.now)

    def do_probed(self, relay, name, outcome):
        result = ProbeResult(name, PingOutcome(outcome), None, 0.0)
        self.detector.note_probe_result(relay, result, self.now)

    def do_malformed(self, text):
        """A heartbeat as text, of which one field is replaced."""
        body = add_heartbeat({}, self.heartbeat(self.names[0]))
        body["heartbeat"].update(orjson.loads(text))
        try:
            read_carried_heartbeat(body)
        except MalformedPeerMessageError:
            self.refused += 1

    # --- what is watched and expected

    def do_never(self, name, state):
        self.forbidden.append((name, state))

    def do_expect(self, what, *words):
        getattr(self, "expect_" + what)(*words)

    def expect_state(self, name, state):
        assert self.detector.peers[name].state.value == state, self.detector.peers[name].state

    def expect_serving(self, *names):
        assert self.view.serving == {ME, *names}, self.view.serving

    def expect_refused(self, count):
        assert self.refused == int(count), self.refused

    def expect_copies(self, count):
        assert self.copies == int(count), self.copies

    def expect_asked(self, name, *relays):
        asked = [order.relays for order in self.probes if order.target == name]
        assert asked and set(asked[-1]) == set(relays), asked

    def expect_nobody_asked(self):
        assert not self.probes, self.probes

    def expect_may_return(self, word):
        assert self.view.may_fail_back == (word == "yes"), self.view

    def expect_return_wait(self, name, least, most):
        wait_s = self.detector.peers[name].failback_delay_s(self.now)
        assert float(least) <= wait_s <= float(most), wait_s
