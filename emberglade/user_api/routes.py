"""The routes of the front server: users' requests, agents' heartbeats and the health check."""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import orjson

from ..actors import send_inline
from . import wire
from .answers import NO_SUCH_PATH, Reply, malformed, method_not_allowed, service_unavailable
from .cancellations import CancellationRequests
from .lookup import JobLookup
from .submissions import Submissions

if TYPE_CHECKING:
    from ..agents import AgentManager

GET, POST = "GET", "POST"
MALFORMED_HEARTBEAT = malformed("the report is not JSON")
NOT_READY = service_unavailable("not in step with the state service yet")


class Route(NamedTuple):
    """The HTTP method that a path allows, and the handler of its requests."""

    method: str
    handle: Callable[[bytes, Reply], None]


class FrontRoutes:
    """Dispatches each request of the front server to the actor that answers it.

    Called on the server's threads, so it keeps no state of its own.
    """

    def __init__(
        self,
        agents: "AgentManager",
        submissions: Submissions,
        lookup: JobLookup,
        cancellations: CancellationRequests,
    ) -> None:
        self.agents = agents
        self.submissions = submissions
        self.lookup = lookup
        self.cancellations = cancellations
        self.routes = {
            wire.AGENT_HEARTBEAT_PATH: Route(POST, self._heartbeat),
            wire.READY_PATH: Route(GET, self._ready),
            wire.SUBMISSIONS_PATH: Route(POST, self._submit),
        }

    def route(self, method: str, path: str, body: bytes, reply: Reply) -> None:
        """Dispatches one request; `reply(status, body, retry_after_s)` is called once for it."""
        path = path.partition("?")[0]
        route = self.routes.get(path) or self._job_route(path)
        if route is None:
            NO_SUCH_PATH.send(reply)
        elif method != route.method:
            method_not_allowed(route.method).send(reply)
        else:
            route.handle(body, reply)

    def _job_route(self, path: str) -> Route | None:
        """The route of a path that names a job; None for other paths."""
        target = wire.read_job_path(path)
        if target is None:
            return None
        handler = self.cancellations.on_cancel if target.cancel else self.lookup.on_poll

        def handle(body: bytes, reply: Reply) -> None:
            send_inline(handler, target.job_id, reply)

        return Route(POST if target.cancel else GET, handle)

    def _heartbeat(self, body: bytes, reply: Reply) -> None:
        try:
            data = orjson.loads(body)
        except ValueError:
            MALFORMED_HEARTBEAT.send(reply)
            return
        send_inline(self.agents.on_heartbeat, data, reply)

    def _ready(self, body: bytes, reply: Reply) -> None:
        def answer(ready: bool) -> None:
            if ready:
                reply(200, wire.ready())
            else:
                NOT_READY.send(reply)

        send_inline(self.agents.on_ready, answer)

    def _submit(self, body: bytes, reply: Reply) -> None:
        send_inline(self.submissions.on_submit, body, reply)
