"""The machine catalog, which the leader reads from the cloud and writes to the store."""

import logging
from http import HTTPStatus
from typing import Any

from ..actors import Actor, ActorPart, callback
from ..placement import MachineType, read_machine_types, write_machine_types
from ..transport import Client
from . import wire
from .leadership import Leadership

log = logging.getLogger("emberglade.fleet")

REFRESH_S = 30.0  # prices of spot machines change
RETRY_S = 2.0
REQUEST_TIMEOUT_S = 3.0


class MachineCatalog(ActorPart):
    """The committed machine types, and the leader's requests that keep them up to date.

    Attributes:
        machine_types: {name: MachineType}; empty until a leader has stored a catalog.
        last_request_at: When the catalog was last requested, by the monotonic clock; set back after
            a failure, so that the next request is due earlier.
    """

    def __init__(self, actor: Actor, cloud: Client, leadership: Leadership) -> None:
        super().__init__(actor)
        self.cloud = cloud
        self.leadership = leadership
        self.machine_types: dict[str, MachineType] = {}
        self.last_request_at = -1e9

    def apply(self, data: dict) -> None:
        """Applies a new value of the catalog's key."""
        self.machine_types = read_machine_types(data)

    def refresh(self, now: float) -> None:
        """Requests the catalog from the cloud if a refresh is due; called on the leader only."""
        if now - self.last_request_at > (REFRESH_S if self.machine_types else RETRY_S):
            self.request()

    def request(self) -> None:
        """Requests the catalog from the cloud now."""
        self.last_request_at = self.now()
        self.cloud.call(
            "GET", wire.CATALOG_PATH, None, REQUEST_TIMEOUT_S, callback(self.on_catalog)
        )

    def on_catalog(self, status: int, body: Any) -> None:
        """Handles the cloud's answer: writes a changed catalog, or schedules a retry.

        The retry is due after RETRY_S, or at the next tick if no catalog is committed yet.
        """
        machine_types = wire.read_catalog(body) if status == HTTPStatus.OK else None
        if machine_types is None:
            log.info(
                "no valid catalog from the cloud (status %s); keeping the last one and retrying",
                status or "no answer",
            )
            self.last_request_at = self.now() - (REFRESH_S - RETRY_S)
            return
        if not self.leadership.is_leader or machine_types == self.machine_types:
            return
        self.leadership.commit(
            [],
            [(wire.CATALOG_KEY, write_machine_types(machine_types))],
            lambda *_: None,  # the replica shows the outcome
        )
