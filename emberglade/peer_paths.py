"""The paths of the internal server: what controllers ask and tell each other.

The bodies are read and written in the `wire` modules of the slices that use them.
"""

MACHINES = "/peer/heard"  # asks for a peer's view of the machines; carries heartbeats
TASK_UPDATES = "/peer/facts"  # tells an owner of its jobs' tasks
REPLICA_CHANGES = "/peer/changes"  # asks for what a replica lacks
CANCELLATION = "/peer/withdrawn"  # tells of a cancellation that was committed
PING = "/peer/ping"  # asks for a sign of life
PROBE = "/peer/probe"  # asks whether a peer reaches another one
