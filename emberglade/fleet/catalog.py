"""The machine catalog: the leader reads it from the cloud and keeps it in the store."""

import logging
from http import HTTPStatus
from typing import Any

from ..actors import Actor, ActorPart, callback
from ..placement import MachineType, read_machine_types, write_machine_types
from ..transport import Client
from . import wire
from .leadership import Leadership

log = logging.getLogger("emberglade.fleet")

REFRESH_S = 30.0  # prices of spot machines move
RETRY_S = 2.0
REQUEST_TIMEOUT_S = 3.0


class MachineCatalog(ActorPart):
    """The machine types, as every controller's replica shows them.

    Attributes:
        machine_types: {name: MachineType}; empty until somebody has read the catalog.
    """

    def __init__(self, actor: Actor, cloud: Client, leadership: Leadership) -> None:
        super().__init__(actor)
        self.cloud = cloud
        self.leadership = leadership
        self.machine_types: dict[str, MachineType] = {}
        self.asked_at = -1e9

    def note(self, data: dict) -> None:
        """Notes a change of the catalog's key."""
        self.machine_types = read_machine_types(data)

    def refresh(self, now: float) -> None:
        """Asks the cloud for the catalog if that is due; the leader's only."""
        if now - self.asked_at > (REFRESH_S if self.machine_types else RETRY_S):
            self.ask()

    def ask(self) -> None:
        """Asks the cloud for the catalog now."""
        self.asked_at = self.now()
        self.cloud.call(
            "GET", wire.CATALOG_PATH, None, REQUEST_TIMEOUT_S, callback(self.on_catalog)
        )

    def on_catalog(self, status: int, body: Any) -> None:
        """Handles the cloud's answer: keeps a catalog that is new, or asks again soon."""
        machine_types = wire.read_catalog(body) if status == HTTPStatus.OK else None
        if machine_types is None:
            log.info("no catalog from the cloud (status %s); asking again", status or "no answer")
            self.asked_at = self.now() - (REFRESH_S - RETRY_S)
            return
        if not self.leadership.is_leader or machine_types == self.machine_types:
            return
        self.leadership.commit(
            [],
            [(wire.CATALOG_KEY, write_machine_types(machine_types))],
            lambda *_: None,  # whatever became of it, the replica shows it
        )
