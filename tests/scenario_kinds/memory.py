"""The guard of a process's memory, with figures of the scenario's own."""

from emberglade.memory_guard import MemoryGuard


class MemoryScenario:
    """`holds MB` sets what the process holds; the guard looks each time."""

    def __init__(self, patch, tmp_path):
        self.held_mb, self.told, self.guard = 0.0, [], None

    def step(self, verb, words):
        if verb == "limit":
            self.guard = MemoryGuard(
                float(words[0]), self.told.append, lambda: "", lambda: self.held_mb * 1024 * 1024
            )
        elif verb == "holds":
            self.held_mb = float(words[0])
            self.guard.check()
        elif verb == "expect" and words[0] == "told":
            assert self.told == [word == "short" for word in words[1:]], self.told
        else:
            raise AssertionError(verb)
