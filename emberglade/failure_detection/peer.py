"""What is known of one other controller."""

from collections import deque

from .arrivals import ArrivalWindow
from .messages import Mark, PeerState, PingOutcome


class Peer:
    """One controller as messages, keys and the results of probes show it; pure bookkeeping."""

    def __init__(self, name, bounds):
        self.name, self.bounds = name, bounds
        self.state = PeerState.UNKNOWN
        self.mark: Mark | None = None  # of the newest heartbeat that anybody told of
        self.direct_mark: Mark | None = None  # of the newest one that came here
        self.direct_at = float("-inf")  # when that one was sent, by our clock
        self.direct_contact_at = float("-inf")  # the contact that it stated
        self.arrived_at = float("-inf")  # when it came
        self.heard_at = float("-inf")  # when the newest sign of life was given
        self.arrivals = ArrivalWindow(bounds.heartbeat_s)
        self.contact_at = float("-inf")  # its last contact with the state service, by any account
        self.slow = False
        self.key_lease = None  # the process that its key names, None if the key is missing
        self.refused_at = float("-inf")  # since when its connections are refused
        self.denials = {}  # who was asked -> (PingOutcome, when)
        self.asked_at = float("-inf")
        self.asked = ()
        self.was_serving = False
        self.serving_since = float("-inf")
        self.losses: deque[float] = deque(maxlen=16)  # when it stopped serving

    # --- signs of life

    def begin_incarnation(self):
        """Forgets what only its former process showed."""
        self.arrivals = ArrivalWindow(self.bounds.heartbeat_s)
        self.arrived_at = self.direct_at = float("-inf")
        self.contact_at = float("-inf")
        self.slow = False
        self.forget_evidence()

    def forget_evidence(self):
        """Forgets what spoke for its end."""
        self.refused_at = float("-inf")
        self.denials = {}
        self.asked_at = float("-inf")

    def note_mark(self, mark):
        """Notes a mark that somebody heard; True unless it is of a former process."""
        if self.mark is not None and mark.incarnation < self.mark.incarnation:
            return False
        if self.mark is not None and mark.incarnation > self.mark.incarnation:
            self.begin_incarnation()
        if self.mark is None or mark > self.mark:
            self.mark = mark
        return True

    @property
    def heard_directly(self):
        """Whether this controller itself has heard the process that is there now."""
        return self.direct_at > float("-inf")

    def live(self, at):
        """Notes a sign of life given at that moment."""
        self.heard_at = max(self.heard_at, at)

    def silence(self, now):
        """How long it has been silent."""
        return now - self.heard_at

    def suspicion_s(self):
        """The silence from which on it is suspected."""
        surprising = self.arrivals.quiet_for_phi(self.bounds.suspect_phi)
        return min(max(surprising, self.bounds.suspect_s), self.bounds.confirm_s)

    # --- what others found

    def denying(self, outcomes, now):
        """Who was asked lately and found one of these outcomes."""
        oldest = now - 2 * self.bounds.heartbeat_s
        return [
            name
            for name, (outcome, at) in self.denials.items()
            if outcome in outcomes and at >= oldest
        ]

    def refuses(self, now):
        """Whether its connections are refused here, as of lately."""
        return now - self.refused_at <= 2 * self.bounds.heartbeat_s

    # --- whether it can commit

    def serves(self, now, startup_over):
        """Whether it can be relied on to do the work of its shards."""
        if self.state is PeerState.DEAD:
            return False
        if self.key_lease is not None:
            return True
        if self.state is PeerState.UNKNOWN:
            return not startup_over
        # Its key is gone: what counts is how old its contact with the state service was when it was
        # last heard. Once broken: a pause of two seconds made the contact of one that was not even
        # suspected look old (failure_detection/short_pause.txt). A suspected one serves for a
        # while, until others have been asked.
        return (
            self.heard_at - self.contact_at < self.bounds.serves_without_key_s
            and self.silence(now) < 2 * self.bounds.confirm_s
        )

    def follow_service(self, serving, now):
        """Keeps account of when it stopped serving and when it began again."""
        if self.was_serving and not serving:
            self.losses.append(now)
        if serving and not self.was_serving:
            self.serving_since = now
        self.was_serving = serving

    def return_wait_s(self, now):
        """How long it should still serve before it gets shards back."""
        lately = [at for at in self.losses if now - at < 2 * self.bounds.last_return_s]
        if not lately:
            return 0.0
        wait_s = min(self.bounds.first_return_s * 2 ** (len(lately) - 1), self.bounds.last_return_s)
        if not self.was_serving:
            return wait_s
        return max(0.0, self.serving_since + wait_s - now)

    def confirming_outcomes(self, now, key_shown_gone):
        """The outcomes of others' probes that would confirm its end now; none: nothing would."""
        if key_shown_gone and self.silence(now) >= self.bounds.confirm_s:
            return (PingOutcome.REFUSED, PingOutcome.SILENT)
        if self.refuses(now):
            return (PingOutcome.REFUSED,)
        return ()
