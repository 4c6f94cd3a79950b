"""What each machine's image cache should hold: the most recently used images up to its size."""

from collections.abc import Container


class ImageCaches:
    """Which images each machine is expected to have cached."""

    def __init__(self) -> None:
        # {machine: {image: GB}}, the image that was used longest ago first.
        self._caches: dict[str, dict[str, float]] = {}

    def add(self, machine: str, image: str, image_gb: float, cache_gb: float) -> None:
        """A task of this image goes to a machine: others may have to make way for it.

        Args:
            machine: Name of the machine.
            image: Name of the image.
            image_gb: Its size, in GB.
            cache_gb: Size of the machine's cache, in GB.
        """
        cache = self._caches.setdefault(machine, {})
        cache.pop(image, None)
        cache[image] = image_gb
        while sum(cache.values()) > cache_gb and len(cache) > 1:
            cache.pop(next(iter(cache)))

    def has(self, machine: str, image: str) -> bool:
        """Whether a machine is expected to have an image."""
        return image in self._caches.get(machine, ())

    def keep_only(self, machines: Container[str]) -> None:
        """Forgets all other machines."""
        for name in [name for name in self._caches if name not in machines]:
            del self._caches[name]
