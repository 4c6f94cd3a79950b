"""Reads the cloud's list of machines, page by page, and brings the leader's account up to it."""

from http import HTTPStatus
from typing import Any

from ..actors import Actor, ActorPart, callback
from ..config import Settings
from ..transport import Client
from . import wire
from .leadership import Leadership
from .machines import FleetMachine, FleetMachines
from .states import MachineState, Taint
from .taint_writer import TaintWriter

REQUEST_TIMEOUT_S = 3.0
# Lists can be older than the one before, so a machine has to be missing in several.
MAX_LISTS_WITHOUT = 3
# In `list_lag_s`: until when a machine that was scaled out may be missing in lists, and one that
# was scaled in may be shown by them.
UNLISTED_LAGS = 10
STILL_LISTED_LAGS = 20

STARTING = MachineState.STARTING


class MachineListing(ActorPart):
    """Follows the cloud's list of machines.

    Attributes:
        read_once: Whether a whole list was read in this leadership.
    """

    def __init__(
        self,
        actor: Actor,
        settings: Settings,
        cloud: Client,
        leadership: Leadership,
        machines: FleetMachines,
        taint_writer: TaintWriter,
    ) -> None:
        super().__init__(actor)
        self.settings = settings
        self.cloud = cloud
        self.leadership = leadership
        self.machines = machines
        self.taints = machines.taints
        self.taint_writer = taint_writer
        self.read_once = False
        self.asked_at = 0.0
        self.reading = False  # whether a list is being read
        self.rows: list[wire.ListedMachine] = []  # of the list that is being read
        self.pages = 0  # of the list that is being read, or was read last

    def begin_leadership(self) -> None:
        """Drops a list that is being read; the next one counts as the first."""
        self.rows = []
        self.pages = 0
        self.reading = False
        self.read_once = False

    def refresh(self, now: float) -> None:
        """Begins to read the list if that is due; the leader's only."""
        if self.reading or now - self.asked_at <= self._interval_s():
            return
        self.asked_at = now
        self.reading = True
        self.rows = []
        self.pages = 0
        self._ask_page("")

    def _interval_s(self) -> float:
        """Lists take at most half of what the cloud answers, however many pages they have."""
        return max(self.settings.list_lag_s / 2, 2 * self.pages / self.settings.cloud_rps)

    def _ask_page(self, after: str) -> None:
        self.cloud.call(
            "GET", wire.page_path(after), None, REQUEST_TIMEOUT_S, callback(self.on_page)
        )

    def on_page(self, status: int, body: Any) -> None:
        """Handles the cloud's answer: asks for the next page, or takes over the whole list."""
        page = wire.read_page(body) if status == HTTPStatus.OK else None
        if page is None:
            self.reading = False
            return
        self.rows += page.rows
        self.pages += 1
        if page.more and page.rows:
            self._ask_page(page.rows[-1].name)
            return
        self.reading = False
        if self.leadership.is_leader:
            self._take_over_list()
            self.read_once = True

    def _take_over_list(self) -> None:
        now = self.now()
        listed = {row.name for row in self.rows}
        for row in self.rows:
            self._take_over_row(row, now)
        self._forget_missing(listed, now)
        self._forget_scaled_in(now)
        self.taint_writer.change(self._over_for_good(listed), None)

    def _take_over_row(self, row: wire.ListedMachine, now: float) -> None:
        machine = self.machines.by_name.get(row.name)
        if machine is None:
            if row.name in self.machines.scaled_in_at or self.taints.get(row.name) == Taint.GONE:
                return
            machine = FleetMachine(row.name, row.type, row.zone, row.spot, now - row.age_s)
            self.machines.by_name[row.name] = machine
        machine.listed = True
        machine.lists_without = 0
        # A machine that was heard is up, whatever an old list says.
        if row.state != STARTING or machine.state == STARTING:
            machine.state = row.state

    def _forget_missing(self, listed: set[str], now: float) -> None:
        """Forgets machines that lists lack. A machine that was listed stays so until it is gone."""
        unlisted_s = UNLISTED_LAGS * self.settings.list_lag_s
        for machine in list(self.machines.by_name.values()):
            if machine.name in listed:
                continue
            machine.lists_without += 1
            if (
                machine.listed and machine.lists_without > MAX_LISTS_WITHOUT
            ) or now - machine.requested_at > unlisted_s:
                del self.machines.by_name[machine.name]

    def _forget_scaled_in(self, now: float) -> None:
        """Forgets machines scaled in so long ago that no list shows them any more."""
        still_listed_s = STILL_LISTED_LAGS * self.settings.list_lag_s
        scaled_in_at = self.machines.scaled_in_at
        for name in [name for name, at in scaled_in_at.items() if now - at > still_listed_s]:
            del scaled_in_at[name]

    def _over_for_good(self, listed: set[str]) -> list[str]:
        """Machines tainted as gone that nothing tells of any more: their taints can go."""
        return [
            name
            for name, taint in self.taints.items()
            if taint == Taint.GONE
            and name not in listed
            and name not in self.machines.occupied
            and name not in self.machines.scaled_in_at
        ]
