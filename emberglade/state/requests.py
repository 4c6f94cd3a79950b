"""Requests to the state service: queued by priority and sent within the budgets."""

import enum
from collections import deque
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any, NamedTuple

from ..actors import Actor, ActorPart, callback_inline
from .token_bucket import TokenBucket

if TYPE_CHECKING:
    from ..config import Settings
    from ..transport import Client, Reply

TOO_MANY_REQUESTS = 429  # HTTP status; also the status of a request that was never sent
MAX_QUEUED_PER_PRIORITY = 200
MAX_IN_FLIGHT = 6  # requests without a response; the client has as many threads
MAX_TIMEOUT_S = 3.0


class Priority(enum.IntEnum):
    """The priority of a request; lower values are sent first."""

    HEARTBEATS = 0  # the store's own requests: full reads, syncs and leases
    DECISIONS = 1  # controllers' decisions
    SUBMISSIONS = 2  # users' submissions


class Request(NamedTuple):
    """A request that waits to be sent."""

    queued_at: float
    writes: int  # number of writes that it contains
    method: str
    path: str
    body: Any
    reply: "Reply"


class RequestQueue(ActorPart):
    """The part of the store that sends its requests.

    Attributes:
        timeout_s: A request fails after this long in the queue, or this long without a response.
        pause_s: For how long no request is sent after the service refused one.
    """

    def __init__(
        self, actor: Actor, settings: "Settings", client: "Client", pause_s: float
    ) -> None:
        super().__init__(actor)
        self.client = client
        # An unanswered request occupies a client thread until it times out, hence the upper bound.
        self.timeout_s = min(settings.lease_s / 4, MAX_TIMEOUT_S)
        self.pause_s = pause_s
        self._queues: dict[Priority, deque[Request]] = {priority: deque() for priority in Priority}
        self._in_flight = 0
        self._submission_sent_at = float("-inf")
        self._paused_until = 0.0
        nodes = settings.cluster_size
        self._request_budget = TokenBucket(settings.state_rps, nodes, settings.state_rps / nodes)
        self._write_budget = TokenBucket(
            settings.state_write_rps, nodes, settings.state_write_rps / nodes
        )

    def get(self, path: str, reply: "Reply", priority: Priority = Priority.HEARTBEATS) -> None:
        """Queues a read; `reply(status, body)` as for `send`."""
        self.send(priority, "GET", path, None, reply)

    def send(
        self,
        priority: Priority,
        method: str,
        path: str,
        body: Any,
        reply: "Reply",
        writes: int = 0,
    ) -> None:
        """Queues one request; `writes` is the number of writes that it contains.

        `reply(status, body)` receives the response of the state service. The status is 429 at once
        if the queue is full, and 429 after `timeout_s` if the request could not be sent.
        """
        waiting = self._queues[priority]
        if len(waiting) > MAX_QUEUED_PER_PRIORITY:
            reply(TOO_MANY_REQUESTS, None)
            return
        waiting.append(Request(self.now(), writes, method, path, body, reply))
        self.send_queued()

    def send_queued(self) -> None:
        """Sends queued requests while the budgets and the bound on requests in flight allow."""
        now = self.now()
        for waiting, limit in self._queues_in_order(now):
            if not self._send_from(waiting, limit, now):
                # Lower priorities wait too: they must not use up the budget that this queue needs.
                return

    def _queues_in_order(self, now: float) -> Iterator[tuple[deque[Request], int]]:
        """Yields (queue, maximum number of requests to send from it) in the order of service.

        The order is that of the priorities, with one exception: if the oldest submission has waited
        long and none was sent recently, it goes first. Without this exception, decisions use up the
        write budget for seconds after the loss of a third of the machines, and submissions are
        answered too late (fleet/third_of_machines_fail.txt).
        """
        submissions = self._queues[Priority.SUBMISSIONS]
        if (
            submissions
            and now - submissions[0].queued_at > self.timeout_s / 4
            and now - self._submission_sent_at > self.timeout_s / 8
        ):
            yield submissions, 1
        for waiting in self._queues.values():
            yield waiting, len(waiting)

    def _send_from(self, waiting: deque[Request], limit: int, now: float) -> bool:
        """Sends up to `limit` requests of one queue; False if paused or a budget is used up.

        Requests that waited longer than the timeout are answered 429 instead.
        """
        while waiting and limit > 0 and self._in_flight < MAX_IN_FLIGHT:
            limit -= 1
            request = waiting[0]
            if now - request.queued_at > self.timeout_s:
                waiting.popleft()
                request.reply(TOO_MANY_REQUESTS, None)
                continue
            if not self._may_send(request, now):
                return False
            waiting.popleft()
            if waiting is self._queues[Priority.SUBMISSIONS]:
                self._submission_sent_at = now
            self._send_now(request, now)
        return True

    def _may_send(self, request: Request, now: float) -> bool:
        if now < self._paused_until or not self._request_budget.allows(now):
            return False
        return not request.writes or self._write_budget.allows(now)

    def _send_now(self, request: Request, now: float) -> None:
        self._request_budget.take(now, 1)
        self._write_budget.take(now, request.writes)
        self._in_flight += 1
        self.client.call(
            request.method,
            request.path,
            request.body,
            self.timeout_s,
            callback_inline(self.on_answered, request),
        )

    def on_answered(self, request: Request, status: int, body: Any) -> None:
        """Handles the state service's response to one request, from the client.

        A 429 pauses all requests for `pause_s`. It also lowers the rate of the write budget if the
        request contained writes, else that of the request budget.
        """
        self._in_flight -= 1
        if status == TOO_MANY_REQUESTS:
            now = self.now()
            self._paused_until = now + self.pause_s
            budget = self._write_budget if request.writes else self._request_budget
            budget.back_off(now)
        request.reply(status, body)
        self.send_queued()
