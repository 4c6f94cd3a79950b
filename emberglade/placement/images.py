"""What each machine's image cache should hold: the most recently used images up to its size."""


class ImageCaches:
    """Which images each machine is expected to have cached."""

    def __init__(self):
        self.machines = {}

    def note(self, machine, image, gigabytes, cache_gb):
        held = self.machines.setdefault(machine, {})
        held.pop(image, None)
        held[image] = gigabytes
        while sum(held.values()) > cache_gb and len(held) > 1:
            held.pop(next(iter(held)))

    def has(self, machine, image):
        return image in self.machines.get(machine, ())

    def keep_only(self, machines):
        for name in [name for name in self.machines if name not in machines]:
            del self.machines[name]
