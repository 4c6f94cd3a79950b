"""Chunks in the replica that no job's record refers to: not yet used, replaced, or orphaned."""

from collections.abc import Iterator
from typing import NamedTuple

from . import wire


class ChunkVersion(NamedTuple):
    """A chunk's record, and the mod revision of its key."""

    record: wire.Record
    mod_revision: int


class UnattachedChunks:
    """Further chunks without a job, or not of the current generation of their job.

    Attributes:
        by_job: job id -> {(generation, number): ChunkVersion}; no job has an empty entry.
    """

    def __init__(self) -> None:
        self.by_job: dict[str, dict[tuple[str, int], ChunkVersion]] = {}

    def put(self, key: wire.ChunkKey, chunk: ChunkVersion) -> None:
        """Adds or replaces a chunk."""
        self.by_job.setdefault(key.job_id, {})[(key.generation, key.number)] = chunk

    def discard(self, key: wire.ChunkKey) -> None:
        """Removes a chunk whose key was removed."""
        chunks = self.by_job.get(key.job_id)
        if chunks is None:
            return
        chunks.pop((key.generation, key.number), None)
        if not chunks:
            del self.by_job[key.job_id]

    def take(self, job_id: str, generation: str) -> list[tuple[int, ChunkVersion]]:
        """Removes and returns the chunks of one generation of a job: [(number, ChunkVersion)]."""
        chunks = self.by_job.pop(job_id, {})
        taken = [
            (number, chunk)
            for (chunk_generation, number), chunk in chunks.items()
            if chunk_generation == generation
        ]
        others = {name: chunk for name, chunk in chunks.items() if name[0] != generation}
        if others:
            self.by_job[job_id] = others
        return taken

    def keys_of(self, job_id: str) -> Iterator[tuple[str, int]]:
        """(key, mod revision) of all unattached chunks of a job."""
        for (generation, number), chunk in self.by_job[job_id].items():
            yield wire.chunk_key(job_id, number, generation), chunk.mod_revision
