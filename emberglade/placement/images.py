"""The expected contents of machines' image caches: the most recently used images that fit."""

from collections.abc import Container


class ImageCaches:
    """The images that each machine is expected to have cached."""

    def __init__(self) -> None:
        # {machine: {image: GB}}, the least recently used image first.
        self._caches: dict[str, dict[str, float]] = {}

    def add(self, machine: str, image: str, image_gb: float, cache_gb: float) -> None:
        """Adds the image of a task placed on a machine; evicts the least recently used images.

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
        """Whether a machine is expected to have an image cached."""
        return image in self._caches.get(machine, ())

    def keep_only(self, machines: Container[str]) -> None:
        """Drops the images of all machines other than these."""
        for name in [name for name in self._caches if name not in machines]:
            del self._caches[name]
