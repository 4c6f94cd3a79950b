"""The scenario kinds: classes whose methods are the verbs of scenario lines."""

from .actors import ActorsScenario
from .calls import CallsScenario
from .cluster import ClusterScenario
from .detector import DetectorScenario
from .loopback import LoopbackScenario
from .memory import MemoryScenario
from .server import ServerScenario
from .settings import SettingsScenario
from .sizing import SizingScenario
from .startup import StartupScenario
from .transaction import TransactionScenario

# Maps the argument of a scenario's `kind` line to its class.
KINDS = {
    "actors": ActorsScenario,
    "calls": CallsScenario,
    "detector": DetectorScenario,
    "loopback": LoopbackScenario,
    "memory": MemoryScenario,
    "server": ServerScenario,
    "cluster": ClusterScenario,
    "sizing": SizingScenario,
    "settings": SettingsScenario,
    "startup": StartupScenario,
    "transaction": TransactionScenario,
}

__all__ = ["KINDS"]
