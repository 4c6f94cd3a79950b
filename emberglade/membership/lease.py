"""This controller's lease at the state service, which also identifies the process."""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..actors import Actor, ActorPart, callback, send, send_after
from ..state import wire as state_wire

if TYPE_CHECKING:
    from ..config import Settings
    from ..state import Store

log = logging.getLogger("emberglade.membership")

NODE_LEASES_PER_AGENT_LEASE = 3  # ratio of an agent's lease duration to a controller's
MIN_TTL_S = 0.1
RENEWALS_PER_TTL = 3
RETRY_S = 0.5  # delay before a lease that was not granted is requested again
MS_PER_S = 1000


class NodeLease(ActorPart):
    """The part of the membership actor that requests, renews and replaces the lease.

    Attributes:
        id: The ID of the current lease; None while there is none.
        incarnation: The ID of this process's first lease, which identifies the process.
        ttl_s: The time until the lease expires without a renewal.
    """

    def __init__(
        self,
        actor: Actor,
        settings: "Settings",
        store: "Store",
        on_identified: Callable[[int], None],
        on_granted: Callable[[], None],
    ) -> None:
        """Creates the part; the lease is requested by `start`.

        Every grant of a lease calls `on_granted()`; the first one calls
        `on_identified(incarnation)` before that.
        """
        super().__init__(actor)
        self.store = store
        self.on_identified, self.on_granted = on_identified, on_granted
        self.id: int | None = None
        self.incarnation: int | None = None
        # When a controller crashes, its lease and the keys under it expire within this time. In
        # most cases the controller has restarted before that.
        self.ttl_s = max(MIN_TTL_S, settings.lease_s / NODE_LEASES_PER_AGENT_LEASE)

    def start(self) -> None:
        """Requests the first lease, and starts the renewals."""
        self.on_request()
        send_after(self.ttl_s / RENEWALS_PER_TTL, self.on_renew)

    def on_request(self) -> None:
        """Handles `request`, sent to itself for a retry: requests a lease from the store.

        `start` and `_replace` call this method directly.
        """
        ttl_ms = int(self.ttl_s * MS_PER_S)
        send(self.store.on_grant_lease, ttl_ms, callback(self.on_answer))

    def on_answer(self, lease: Any) -> None:
        """Handles the store's answer to the request: the lease's ID, or None.

        Without a lease, retries after RETRY_S.
        """
        if not isinstance(lease, int):
            send_after(RETRY_S, self.on_request)
            return
        self.id = lease
        if self.incarnation is None:
            # The state service never reuses the ID of a lease, so the incarnation is unique.
            self.incarnation = lease
            self.on_identified(lease)
        self.on_granted()

    def on_renew(self) -> None:
        """Handles `renew`, sent to itself RENEWALS_PER_TTL times per TTL: renews the lease."""
        send_after(self.ttl_s / RENEWALS_PER_TTL, self.on_renew)
        if self.id is not None:
            send(self.store.on_keep_alive, self.id, callback(self.on_renewed, self.id))

    def on_renewed(self, lease: int, status: int) -> None:
        """Handles the store's answer to a renewal of `lease`: after a 404 requests a new lease."""
        if status == 404 and lease == self.id:
            log.info("lease of this controller expired; requesting a new one")
            self._replace()

    def replace_if_expired(self, lease: int | None, status: int, failed: Any) -> bool:
        """Requests a new lease if a transaction failed because `lease` has expired.

        `status` and `failed` are the store's answer to the transaction. Returns whether a new lease
        was requested.
        """
        if status != 400 or failed != state_wire.NO_SUCH_LEASE or lease != self.id:
            return False
        self._replace()
        return True

    def _replace(self) -> None:
        self.id = None
        self.on_request()
