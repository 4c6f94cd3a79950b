"""The kinds of scenarios, each with its verbs."""

from .actors import ActorsScenario
from .cluster import ClusterScenario
from .server import ServerScenario
from .settings import SettingsScenario
from .sizing import SizingScenario

KINDS = {
    "actors": ActorsScenario,
    "server": ServerScenario,
    "cluster": ClusterScenario,
    "sizing": SizingScenario,
    "settings": SettingsScenario,
}

__all__ = ["KINDS"]
