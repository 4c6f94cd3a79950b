"""Which controller may answer a worker, and which one it had better report to."""

import logging
import zlib

log = logging.getLogger("emberglade.agents")


class Routing:
    """The part of the agent manager that sends workers elsewhere."""

    def __init__(self):
        self.sent_home = {}  # machine -> when it was sent to a node in its own zone
        self.tried_home = {}  # node -> when a worker was last sent there
        self.suspected = frozenset()  # controllers that no worker is sent to

    def entitled(self, now):
        """Whether no cancellation that this copy lacks can have been told to its user longer than
        `max_staleness_s` ago.

        Either a sync was answered since, or every peer has stated since that its copy is no newer
        than this one: whatever a controller tells a user is in its own copy before (docs/safety.md,
        8).
        """
        if self.revision < 0:
            return False
        max_staleness_s = self.settings.max_staleness_s
        return (
            now - self.last_contact <= max_staleness_s
            or now - self.evidence.level_since() <= max_staleness_s
        )

    def better_node(self, now):
        """A node that can follow the state service while this one can't."""
        quarter = self.settings.lease_s / 4
        if now - self.last_contact < quarter:
            return None
        for name, said in self.evidence.told.items():
            if (
                now - said.got < 2 * self.settings.agent_heartbeat_s
                and said.contact_age_s + now - said.got < quarter
            ):
                return name
        return None

    def home_node(self, heartbeat, now):
        """A node in the worker's own zone that can take it, if it is not there already.

        When a zone is cut off, its workers need their lease renewed by a node inside. Once broken:
        most reported to nodes outside, and with five of them the search for the one inside took
        longer than a lease (agents/zone_partitioned_of_five.txt). A worker is sent once in four
        leases, so that one which can't reach that node stays where it is heard.
        """
        settings, name = self.settings, heartbeat.machine
        if (
            heartbeat.zone == settings.zone
            or heartbeat.spot_notice_s is not None
            or now - self.sent_home.get(name, float("-inf")) < 4 * settings.lease_s
        ):
            return None
        inside = []
        for peer in settings.peers:
            said = self.evidence.told.get(peer.name)
            if (
                peer.zone == heartbeat.zone
                and peer.name in self.nodes
                and peer.name not in self.suspected
                and said is not None
                and now - said.got < 2 * settings.agent_heartbeat_s
                and said.contact_age_s + now - said.got < settings.lease_s / 4
                # It hears workers, or is to show by one now and then that it does.
                and (
                    said.hearing
                    or now - self.tried_home.get(peer.name, float("-inf")) > settings.lease_s / 4
                )
                # One node is not to hear them all, if most machines are in its zone.
                and said.hearing <= 3 * len(self.evidence.view) / settings.size
            ):
                inside.append(peer.name)
        if not inside:
            return None
        chosen = inside[zlib.crc32(name.encode()) % len(inside)]
        self.sent_home[name] = self.tried_home[chosen] = now
        return chosen

    def on_liveness(self, view):
        """Who can be relied on has changed."""
        self.suspected = view.suspected

    def on_ready(self, reply):
        reply(self.revision >= 0 and self.better_node(self.now()) is None)
