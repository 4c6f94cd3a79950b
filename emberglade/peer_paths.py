"""The paths of the internal server, for requests between controllers.

Their bodies are read and written in the `wire` modules of the packages that use them.
"""

MACHINES = "/peer/heard"  # requests a peer's view of the machines; carries heartbeats
TASK_UPDATES = "/peer/facts"  # reports task updates to the owner of their jobs
REPLICA_CHANGES = "/peer/changes"  # requests the changes that a replica has not applied yet
CANCELLATION = "/peer/withdrawn"  # notifies a peer of a committed cancellation
PING = "/peer/ping"  # checks whether a peer is alive
PROBE = "/peer/probe"  # requests a ping of a third controller
