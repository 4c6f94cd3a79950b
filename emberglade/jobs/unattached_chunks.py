"""Chunks in the replica that no job's record refers to.

A chunk is unattached in one of two cases:

- The replica contains no record of its job: the record has not arrived yet, or the chunk is an
  orphan, whose job has no record in the store.
- Its job uses another generation of chunks: the chunk belongs to the next generation, which a
  rechunking is writing, or to a previous one, which a rechunking has replaced.
"""

from collections.abc import Iterator
from typing import NamedTuple

from . import wire


class ChunkVersion(NamedTuple):
    """A chunk's record, and the mod revision of its key."""

    record: wire.Record
    mod_revision: int


class UnattachedChunks:
    """The unattached chunks; a job's first chunk, stored in the job's own key, is never one.

    Attributes:
        by_job: job id -> {(generation, number): ChunkVersion}; jobs without any have no entry.
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
        others = {key: chunk for key, chunk in chunks.items() if key[0] != generation}
        if others:
            self.by_job[job_id] = others
        return taken

    def keys_of(self, job_id: str) -> Iterator[tuple[str, int]]:
        """(key, mod revision) of all unattached chunks of a job that has an entry in `by_job`."""
        for (generation, number), chunk in self.by_job[job_id].items():
            yield wire.chunk_key(job_id, number, generation), chunk.mod_revision
