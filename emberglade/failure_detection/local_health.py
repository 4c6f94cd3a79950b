"""Whether this controller is itself the one that is slow or cut off (after Lifeguard, 2018)."""

LATE_SHARE = 0.5  # of a heartbeat interval: later than this is a late turn
MAX_SCORE = 8
SLOW_SCORE = 4  # from here on this controller calls itself slow
ON_TIME_TURNS = 4  # turns on time that undo one late turn
DOUBT_INTERVALS = 2  # so many intervals after a very late turn nobody is accused


class LocalHealth:
    """Follows how late this controller's own loop runs."""

    def __init__(self, heartbeat_s):
        self.heartbeat_s = heartbeat_s
        self.score = 0
        self.on_time = 0
        self.doubt_until = float("-inf")
        self.last_late_s = 0.0  # how late the last very late turn came

    def turn(self, now, late_s):
        """Notes a turn of the loop that came so late; True if it was late enough to doubt."""
        if late_s > LATE_SHARE * self.heartbeat_s:
            self.score = min(MAX_SCORE, self.score + 1 + int(late_s / (4 * self.heartbeat_s)))
            self.on_time = 0
        else:
            self.on_time += 1
            if self.on_time >= ON_TIME_TURNS:
                self.score, self.on_time = max(0, self.score - 1), 0
        if late_s <= self.heartbeat_s:
            return False
        self.doubt_until = now + DOUBT_INTERVALS * self.heartbeat_s
        self.last_late_s = late_s
        return True

    @property
    def slow(self):
        """Whether late turns are the rule here, so that others should do this controller's work."""
        return self.score >= SLOW_SCORE

    def excuse_s(self, now, overdue_s):
        """For how long this controller stood still of late; `overdue_s`: its next turn is late."""
        return max(overdue_s, self.last_late_s if self.doubtful(now) else 0.0)

    def doubtful(self, now):
        """Whether a late turn was so recent that others' silence may be this controller's own."""
        return now < self.doubt_until
