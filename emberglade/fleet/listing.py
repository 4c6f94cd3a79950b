"""Reads the cloud's list of machines page by page, and updates the leader's machine records."""

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
# A list can be older than the previous one, so one list without a recently requested machine does
# not prove that the machine is gone.
MAX_MISSED_LISTS = 3
MAX_UNLISTED_LAGS = 10  # multiples of `list_lag_s` for which lists may lack a new machine
STALE_LISTING_LAGS = 20  # multiples of `list_lag_s` for which lists may show a scaled-in one

STARTING = MachineState.STARTING


class MachineListing(ActorPart):
    """Updates the leader's machine records from the cloud's list.

    Attributes:
        has_complete_list: Whether a complete list has been read since this leadership began.
        last_request_at: When the last read of the list began, by the monotonic clock.
        is_reading: Whether a read is in progress.
        rows: The rows received by the read in progress.
        pages: Number of pages of the read in progress, or else of the last read.
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
        self.has_complete_list = False
        self.last_request_at = 0.0
        self.is_reading = False
        self.rows: list[wire.ListedMachine] = []
        self.pages = 0

    def begin_leadership(self) -> None:
        """Aborts a read in progress; the next list is the first one of this leadership."""
        self.rows = []
        self.pages = 0
        self.is_reading = False
        self.has_complete_list = False

    def refresh(self, now: float) -> None:
        """Starts reading the list if that is due; called on the leader only."""
        if self.is_reading or now - self.last_request_at <= self._interval_s():
            return
        self.last_request_at = now
        self.is_reading = True
        self.rows = []
        self.pages = 0
        self._request_page("")

    def _interval_s(self) -> float:
        """The time between reads: with it, they use at most half of the cloud's request rate."""
        return max(self.settings.list_lag_s / 2, 2 * self.pages / self.settings.cloud_rps)

    def _request_page(self, after: str) -> None:
        self.cloud.call(
            "GET", wire.page_path(after), None, REQUEST_TIMEOUT_S, callback(self.on_page)
        )

    def on_page(self, status: int, body: Any) -> None:
        """Handles the cloud's answer: requests the next page, or applies the complete list."""
        page = wire.read_page(body) if status == HTTPStatus.OK else None
        if page is None:
            self.is_reading = False
            return
        self.rows += page.rows
        self.pages += 1
        if page.has_more and page.rows:
            self._request_page(page.rows[-1].name)
            return
        self.is_reading = False
        if self.leadership.is_leader:
            self._apply_list()
            self.has_complete_list = True

    def _apply_list(self) -> None:
        now = self.now()
        listed_names = {row.name for row in self.rows}
        for row in self.rows:
            self._apply_row(row, now)
        self._forget_missing(listed_names, now)
        self._forget_scaled_in(now)
        self.taint_writer.change(self._obsolete_gone_taints(listed_names), None)

    def _apply_row(self, row: wire.ListedMachine, now: float) -> None:
        machine = self.machines.by_name.get(row.name)
        if machine is None:
            if row.name in self.machines.scaled_in_at or self.taints.get(row.name) == Taint.GONE:
                return
            machine = FleetMachine(row.name, row.type, row.zone, row.spot, now - row.age_s)
            self.machines.by_name[row.name] = machine
        machine.was_listed = True
        machine.missed_lists = 0
        # A machine that has sent heartbeats is running, even if a stale list shows it as starting.
        if row.state != STARTING or machine.state == STARTING:
            machine.state = row.state

    def _forget_missing(self, listed_names: set[str], now: float) -> None:
        """Removes the records of machines that are missing in the list.

        The cloud lists a machine until it is gone. The record of a machine that this list lacks is
        removed in two cases: the machine was listed before, and now more than MAX_MISSED_LISTS
        consecutive lists lack it; or it was requested more than MAX_UNLISTED_LAGS lags ago, whether
        or not it was ever listed.
        """
        max_unlisted_s = MAX_UNLISTED_LAGS * self.settings.list_lag_s
        for machine in list(self.machines.by_name.values()):
            if machine.name in listed_names:
                continue
            machine.missed_lists += 1
            if (
                machine.was_listed and machine.missed_lists > MAX_MISSED_LISTS
            ) or now - machine.requested_at > max_unlisted_s:
                del self.machines.by_name[machine.name]

    def _forget_scaled_in(self, now: float) -> None:
        """Removes entries of machines scaled in so long ago that no stale list can show them."""
        stale_listing_s = STALE_LISTING_LAGS * self.settings.list_lag_s
        scaled_in_at = self.machines.scaled_in_at
        for name in [name for name, at in scaled_in_at.items() if now - at > stale_listing_s]:
            del scaled_in_at[name]

    def _obsolete_gone_taints(self, listed_names: set[str]) -> list[str]:
        """The machines tainted as gone whose taint can be removed.

        That is so once the list lacks the machine, no task is bound to it, and no stale list can
        show it any more.
        """
        return [
            name
            for name, taint in self.taints.items()
            if taint == Taint.GONE
            and name not in listed_names
            and name not in self.machines.occupied
            and name not in self.machines.scaled_in_at
        ]
