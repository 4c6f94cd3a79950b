"""Chunks in the replica that no job's record names: seen before it, replaced, or not used yet."""

from collections.abc import Iterator
from typing import NamedTuple

from . import wire


class ChunkVersion(NamedTuple):
    """A chunk's record, and the mod revision of its key."""

    record: wire.Record
    mod_revision: int


class UnattachedChunks:
    """Further chunks without a job, or of another generation than their job's.

    Attributes:
        of_jobs: job id -> {(generation, number): ChunkVersion}; no job has an empty entry.
    """

    def __init__(self) -> None:
        self.of_jobs: dict[str, dict[tuple[str, int], ChunkVersion]] = {}

    def put(self, key: wire.ChunkKey, chunk: ChunkVersion) -> None:
        """Keeps a chunk."""
        self.of_jobs.setdefault(key.job_id, {})[(key.generation, key.number)] = chunk

    def discard(self, key: wire.ChunkKey) -> None:
        """Forgets a chunk, whose key was removed."""
        chunks = self.of_jobs.get(key.job_id)
        if chunks is None:
            return
        chunks.pop((key.generation, key.number), None)
        if not chunks:
            del self.of_jobs[key.job_id]

    def take(self, job_id: str, generation: str) -> list[tuple[int, ChunkVersion]]:
        """Takes out the chunks of one generation of a job: [(number, ChunkVersion)]."""
        chunks = self.of_jobs.pop(job_id, {})
        taken = [(number, chunk) for (of, number), chunk in chunks.items() if of == generation]
        others = {name: chunk for name, chunk in chunks.items() if name[0] != generation}
        if others:
            self.of_jobs[job_id] = others
        return taken

    def keys_of(self, job_id: str) -> Iterator[tuple[str, int]]:
        """(key, mod revision) of all that is kept for a job."""
        for (generation, number), chunk in self.of_jobs[job_id].items():
            yield wire.chunk_key(job_id, number, generation), chunk.mod_revision
