"""Local health: detects that this controller itself is slow (after Lifeguard, 2018)."""

LATE_SHARE = 0.5  # a turn is late if its delay exceeds this fraction of a heartbeat interval
MAX_SCORE = 8
SLOW_SCORE = 4  # from this score on, the controller reports itself as slow
# A late turn adds one point to the score, and one more per this many heartbeat intervals of delay.
INTERVALS_PER_POINT = 4
ON_TIME_TURNS_PER_POINT = 4  # consecutive turns on time that take one point off the score
PAUSED_INTERVALS = 2  # after a pause, no peer is suspected for this many heartbeat intervals


class LocalHealth:
    """Tracks the delay of this controller's own detection loop.

    A turn that is late by more than a heartbeat interval counts as a pause of this process.

    Attributes:
        score: The local health score, from 0 (healthy) to MAX_SCORE.
    """

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self.score = 0
        self._turns_on_time = 0
        self._paused_until = float("-inf")
        self._pause_s = 0.0  # duration of the last pause

    def note_turn(self, now: float, late_s: float) -> bool:
        """Notes a turn of the loop that was late by `late_s`; returns whether that was a pause."""
        if late_s > LATE_SHARE * self.heartbeat_s:
            points = 1 + int(late_s / (INTERVALS_PER_POINT * self.heartbeat_s))
            self.score = min(MAX_SCORE, self.score + points)
            self._turns_on_time = 0
        else:
            self._note_turn_on_time()
        if late_s <= self.heartbeat_s:
            return False
        self._paused_until = now + PAUSED_INTERVALS * self.heartbeat_s
        self._pause_s = late_s
        return True

    def _note_turn_on_time(self) -> None:
        self._turns_on_time += 1
        if self._turns_on_time >= ON_TIME_TURNS_PER_POINT:
            self.score = max(0, self.score - 1)
            self._turns_on_time = 0

    @property
    def slow(self) -> bool:
        """Whether turns are often late, so that others should take over shards and leadership."""
        return self.score >= SLOW_SCORE

    def recent_pause_s(self, now: float, overdue_s: float) -> float:
        """The longer of a recent pause and the current delay, in seconds; zero if there is neither.

        `overdue_s` is the time since the next turn was due, negative if it is not due yet.
        """
        return max(overdue_s, self._pause_s if self.recently_paused(now) else 0.0)

    def recently_paused(self, now: float) -> bool:
        """Whether a recent pause of this process may explain missing heartbeats."""
        return now < self._paused_until
