"""The routes of the internal server, which serves the other controllers."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import orjson

from . import peer_paths
from .actors import send, send_inline
from .agents import (
    AgentManager,
    read_cancellation,
    read_question,
    read_task_updates,
)
from .jobs import JobManager
from .state import Store, read_changes_request

if TYPE_CHECKING:
    from .failure_detection import PeerMonitor

Reply = Callable[..., None]  # reply(status, body)
PeerHandler = Callable[[Any, Reply], None]


def reply_no_such_path(reply: Reply) -> None:
    """Answers a request to an unknown path, or with a body that its path does not accept."""
    reply(404, {"error": "no such path"})


class PeerRoutes:
    """Dispatches each request of a peer to an actor; called by the server's threads."""

    def __init__(
        self,
        store: Store,
        job_manager: JobManager,
        agents: AgentManager,
        peer_monitor: "PeerMonitor | None",
    ) -> None:
        self.store = store
        self.job_manager = job_manager
        self.agents = agents
        self.peer_monitor = peer_monitor
        self.handlers: dict[str, PeerHandler] = {
            peer_paths.MACHINES: self._machines,
            peer_paths.TASK_UPDATES: self._task_updates,
            peer_paths.REPLICA_CHANGES: self._replica_changes,
            peer_paths.CANCELLATION: self._cancellation,
        }
        if peer_monitor is not None:
            self.handlers[peer_paths.PING] = self._ping
            self.handlers[peer_paths.PROBE] = self._probe

    def route(self, method: str, path: str, body: bytes, reply: Reply) -> None:
        """Dispatches one request.

        `reply(status, body)` is called exactly once, perhaps only after this method has returned.
        """
        try:
            data = orjson.loads(body) if body else None
        except ValueError:
            reply(400, {"error": "not JSON"})
            return
        handler = self.handlers.get(path)
        if handler is None or method != "POST":
            reply_no_such_path(reply)
        else:
            handler(data, reply)

    def _machines(self, data: Any, reply: Reply) -> None:
        """Answers with this controller's view of machines.

        With failure detection, request and answer also carry heartbeats of the two controllers.
        """
        if self.peer_monitor is not None:
            send_inline(self.peer_monitor.on_hear_question, data)
            reply = self.peer_monitor.reply_with_heartbeat(reply)
        send_inline(self.agents.on_machine_question, read_question(data), reply)

    def _ping(self, data: Any, reply: Reply) -> None:
        """Answers a ping."""
        assert self.peer_monitor is not None
        send_inline(self.peer_monitor.probing.on_ping, data, reply)

    def _probe(self, data: Any, reply: Reply) -> None:
        """Answers whether this controller can reach a third controller."""
        assert self.peer_monitor is not None
        send_inline(self.peer_monitor.probing.on_probe, data, reply)

    def _task_updates(self, data: Any, reply: Reply) -> None:
        """Accepts a peer's updates of tasks whose jobs this controller owns."""
        if not isinstance(data, list):
            reply_no_such_path(reply)
            return
        for update in read_task_updates(data):
            send(self.job_manager.on_task_update, update)
        reply(200, {})

    def _replica_changes(self, data: Any, reply: Reply) -> None:
        """Answers with the changes that the peer's replica lacks.

        A peer requests these while the state service does not answer it.
        """
        since = read_changes_request(data)
        if since is None:
            reply_no_such_path(reply)
            return
        send_inline(self.store.on_changes_for_peer, since, reply)

    def _cancellation(self, data: Any, reply: Reply) -> None:
        """Accepts a peer's notification that the cancellation of a job is committed."""
        cancellation = read_cancellation(data)
        if cancellation is None:
            reply_no_such_path(reply)
            return
        send_inline(self.agents.on_hear_cancellation, *cancellation)
        reply(200, {})
