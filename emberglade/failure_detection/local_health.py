"""Whether this controller is itself the one that is slow or cut off (after Lifeguard, 2018)."""

LATE_SHARE = 0.5  # of a heartbeat interval: later than this is a late turn
MAX_SCORE = 8
SLOW_SCORE = 4  # from here on this controller calls itself slow
INTERVALS_PER_POINT = 4  # a turn that is late by so many intervals adds one more to the score
ON_TIME_TURNS = 4  # turns on time that undo one late turn
PAUSED_INTERVALS = 2  # so many intervals after a pause nobody is accused


class LocalHealth:
    """Follows how late this controller's own loop runs.

    A turn that comes later than a whole heartbeat interval counts as a pause of this process.

    Attributes:
        score: The local health score: 0 is healthy, MAX_SCORE the worst.
    """

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self.score = 0
        self._turns_on_time = 0
        self._paused_until = float("-inf")
        self._pause_s = 0.0  # how long the last pause was

    def note_turn(self, now: float, late_s: float) -> bool:
        """Notes a turn of the loop that came so late; True if that was a pause."""
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
        if self._turns_on_time >= ON_TIME_TURNS:
            self.score = max(0, self.score - 1)
            self._turns_on_time = 0

    @property
    def slow(self) -> bool:
        """Whether late turns are the rule here, so that others should do this controller's work."""
        return self.score >= SLOW_SCORE

    def recent_pause_s(self, now: float, overdue_s: float) -> float:
        """For how long this controller stood still of late; `overdue_s`: its next turn is late."""
        return max(overdue_s, self._pause_s if self.paused_lately(now) else 0.0)

    def paused_lately(self, now: float) -> bool:
        """Whether a pause was so recent that others' silence may be this controller's own."""
        return now < self._paused_until
