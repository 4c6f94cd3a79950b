"""The paths of the internal server, for requests between controllers.

The bodies of requests and answers are read and written in the `wire` modules of the packages that
use the paths.
"""

MACHINES = "/peer/heard"  # requests a peer's view of the machines; carries controllers' heartbeats
TASK_UPDATES = "/peer/facts"  # reports task updates to the owner of their jobs
REPLICA_CHANGES = "/peer/changes"  # requests the changes that the sender's replica lacks
CANCELLATION = "/peer/withdrawn"  # notifies a peer of a committed cancellation
PING = "/peer/ping"  # checks whether a peer is alive
PROBE = "/peer/probe"  # asks a peer to ping a third controller
