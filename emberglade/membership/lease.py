"""This controller's lease at the state service, and the incarnation that it gives the process."""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..actors import Actor, ActorPart, callback, send, send_after
from ..state import wire as state_wire

if TYPE_CHECKING:
    from ..config import Settings
    from ..state import Store

log = logging.getLogger("emberglade.membership")

LEASES_PER_AGENT_LEASE = 3  # how many times shorter it is than a worker's
MIN_LIFE_S = 0.1
RENEWALS_PER_LIFE = 3
RETRY_S = 0.5  # after a lease was not granted
MS_PER_S = 1000


class NodeLease(ActorPart):
    """The part of the member that takes, renews and replaces the lease.

    Attributes:
        number: The lease, None while there is none.
        incarnation: The first lease of this process, which tells it from all others.
        life_s: How long the lease lasts without renewal.
    """

    def __init__(
        self,
        actor: Actor,
        settings: "Settings",
        store: "Store",
        on_identified: Callable[[int], None],
        on_granted: Callable[[], None],
    ) -> None:
        """Makes a lease that is taken once it is started.

        `on_identified(incarnation)` is called with the first lease, `on_granted()` with each.
        """
        super().__init__(actor)
        self.store = store
        self.on_identified, self.on_granted = on_identified, on_granted
        self.number: int | None = None
        self.incarnation: int | None = None
        # A crashed node is failed over within a third of a worker's lease; mostly it is back
        # sooner.
        self.life_s = max(MIN_LIFE_S, settings.lease_s / LEASES_PER_AGENT_LEASE)

    def start(self) -> None:
        """Asks for the first lease, and renews it from then on."""
        self.on_request()
        send_after(self.life_s / RENEWALS_PER_LIFE, self.on_renew)

    def on_request(self) -> None:
        """Handles `request`, sent to itself: asks the store for a lease."""
        life_ms = int(self.life_s * MS_PER_S)
        send(self.store.on_grant_lease, life_ms, callback(self.on_answer))

    def on_answer(self, lease: Any) -> None:
        """Handles the store's answer to the request: the lease's number, or None.

        Without a lease, asks again after RETRY_S.
        """
        if not isinstance(lease, int):
            send_after(RETRY_S, self.on_request)
            return
        self.number = lease
        if self.incarnation is None:
            # The state service never gives a lease's number twice, so neither is this.
            self.incarnation = lease
            self.on_identified(lease)
        self.on_granted()

    def on_renew(self) -> None:
        """Handles `renew`, sent to itself three times a life: renews the lease."""
        send_after(self.life_s / RENEWALS_PER_LIFE, self.on_renew)
        if self.number is not None:
            send(self.store.on_keep_alive, self.number, callback(self.on_renewed, self.number))

    def on_renewed(self, lease: int, status: int) -> None:
        """Handles the store's answer to a renewal of `lease`: a 404 takes a new lease."""
        if status == 404 and lease == self.number:
            log.info("the node's lease expired; taking a new one")
            self._replace()

    def replace_if_lost(self, lease: int | None, status: int, failed: Any) -> bool:
        """Takes a new lease if a transaction under `lease` failed for want of it; True if it did.

        `status` and `failed` are the store's answer to the transaction.
        """
        if status != 400 or failed != state_wire.NO_SUCH_LEASE or lease != self.number:
            return False
        self._replace()
        return True

    def _replace(self) -> None:
        self.number = None
        self.on_request()
