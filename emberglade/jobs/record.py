"""A job and its tasks as kept in the state service.

The job's own key holds its description and its first part; a part holds the tasks
[number * part_size, (number + 1) * part_size). Waiting tasks that never ran take no room and
finished ones are kept as ranges, so 100,000 tasks fit the value limit part by part.
"""

import zlib
from dataclasses import dataclass, field, replace
from typing import NamedTuple

import orjson

BINDING_BYTES = 48  # upper bound of one bound task in a record
RECORD_BYTES = 128  # upper bound of a record's field names, flags and generation
PRIORITIES = ("critical", "urgent", "normal", "idle")

# How a bound task is to be stopped; 0: not at all.
KEEP, STOP, SAVE = 0, 1, 2


def job_key(job_id):
    """The key of a live job."""
    return "j/" + job_id


class PartKey(NamedTuple):
    """The key of a further part. `generation` names the layout that it belongs to; the first has
    none.
    """

    job_id: str
    generation: str
    number: int


def part_key(job_id, number, generation=""):
    """The key of a further part of a live job."""
    return f"t/{job_id}/{generation}/{number}" if generation else f"t/{job_id}/{number}"


def read_part_key(key):
    """The PartKey of a key under `t/`."""
    _, job_id, *generation, number = key.split("/")
    return PartKey(job_id, "".join(generation), int(number))


def final_key(job_id):
    """The key of a job's final state, without its prefix."""
    return job_id


def part_size(value_bytes):
    """Tasks of a part: three quarters of a value for tasks, the rest for the description."""
    return max(1, value_bytes * 3 // 4 // BINDING_BYTES)


def part_size_for(spec, value_bytes):
    """Tasks of a part of this job, such that its first part fits a value; 0 if not even the
    description does.
    """
    free = value_bytes - len(orjson.dumps(spec.encode())) - RECORD_BYTES
    return max(0, min(part_size(value_bytes), free // BINDING_BYTES))


@dataclass
class Binding:
    """A task that may be on a machine: attempt, machine, its session, and how it is to be stopped.

    An attempt belongs to one session: started again in a later one, a report of the earlier that
    comes late would pass for its exit while it runs.
    """

    attempt: int
    machine: str
    agent_epoch: int
    stop: int = KEEP
    since: float = 0.0  # when this node first saw it; not kept

    def row(self):
        """As it is kept."""
        found = [self.attempt, self.machine, self.agent_epoch]
        if self.stop:
            found.append(self.stop)
        return found


@dataclass
class Part:
    """The tasks of a part: done, bound, and tried before."""

    done: set = field(default_factory=set)
    bindings: dict = field(default_factory=dict)
    tried: dict = field(
        default_factory=dict
    )  # task -> last attempt, for tasks neither bound nor done
    mod_revision: int = 0

    def encode(self):
        data = {}
        if self.done:
            data["d"] = to_ranges(self.done)
        if self.bindings:
            data["b"] = {str(n): b.row() for n, b in self.bindings.items()}
        if self.tried:
            data["t"] = {str(n): attempt for n, attempt in self.tried.items()}
        return data

    @staticmethod
    def binding_rows(data):
        """{task: row as kept} of an encoded part."""
        return {int(n): row for n, row in data.get("b", {}).items()}

    def take_over(self, data, mod_revision):
        """Becomes what was committed, but for the bound tasks, which the caller compares."""
        self.done = from_ranges(data.get("d", ()))
        self.tried = {int(n): attempt for n, attempt in data.get("t", {}).items()}
        self.mod_revision = mod_revision


def to_ranges(numbers):
    """Numbers as a list of [first, last]."""
    ranges = []
    for number in sorted(numbers):
        if ranges and ranges[-1][1] == number - 1:
            ranges[-1][1] = number
        else:
            ranges.append([number, number])
    return ranges


def from_ranges(ranges):
    """The set of numbers in a list of [first, last]."""
    found = set()
    for first, last in ranges:
        found.update(range(first, last + 1))
    return found


@dataclass(frozen=True)
class Spec:
    """What the user asked for, in this project's own words."""

    id: str
    job_class: str
    team: str
    service: bool
    priority: int
    tasks: int
    cpus: float
    gpus: float
    ram_gb: float
    image: str
    image_gb: float
    allowed_types: tuple | None
    zone: str | None
    single_zone: bool
    zone_spread: bool
    spot: bool
    estimated_run_s: float
    checkpoint_interval_s: float
    checkpoint_save_s: float
    deadline_s: float | None
    submitted_at: float  # time of day
    gang: bool = False  # tasks run only all at once

    def encode(self):
        return [
            self.job_class,
            self.team,
            int(self.service),
            self.priority,
            self.tasks,
            self.cpus,
            self.gpus,
            self.ram_gb,
            self.image,
            self.image_gb,
            list(self.allowed_types) if self.allowed_types is not None else None,
            self.zone,
            int(self.single_zone),
            int(self.zone_spread),
            int(self.spot),
            self.estimated_run_s,
            self.checkpoint_interval_s,
            self.checkpoint_save_s,
            self.deadline_s,
            self.submitted_at,
            int(self.gang),
        ]

    @classmethod
    def decode(cls, job_id, row):
        row = list(row)
        row[2], row[12], row[13], row[14] = (
            bool(row[2]),
            bool(row[12]),
            bool(row[13]),
            bool(row[14]),
        )
        row[20] = bool(row[20])
        row[10] = tuple(row[10]) if row[10] is not None else None
        return cls(job_id, *row)


class Job:
    """A job that is not over yet."""

    def __init__(self, spec, size, cancelled=False, generation=""):
        self.request = spec  # as it was accepted and is kept
        self.spec = (
            spec  # the same with the rank and the due time that jobs which need it lend to it
        )
        self.size = size
        self.generation = generation  # of the layout of its parts
        self.fitting_size = None  # tasks of a part that fits a value, once that was worked out
        self.cancelled = cancelled
        self.parts = {}
        # When this controller last saw a task of it bound; not durable.
        self.last_bound_at = float("-inf")
        self.not_before = {}  # task -> earliest next try; not durable

    @property
    def id(self):
        return self.spec.id

    def borrow_urgency(self, urgency):
        """Takes the higher rank and the earlier due time of the jobs that need this one (None:
        nobody does).
        """
        own = self.request
        if urgency is None:
            self.spec = own
            return
        within = urgency.due - own.submitted_at
        if own.deadline_s is not None:
            within = min(within, own.deadline_s)
        self.spec = replace(
            own,
            priority=min(own.priority, urgency.priority),
            deadline_s=within if within < float("inf") else None,
        )

    def part_key(self, number):
        """The key that keeps a part; the first one is in the job's own."""
        return part_key(self.id, number, self.generation) if number else job_key(self.id)

    def part(self, task):
        number = task // self.size
        found = self.parts.get(number)
        if found is None:
            found = self.parts[number] = Part()
        return found

    def mod_revision(self):
        return self.parts[0].mod_revision if 0 in self.parts else 0

    def bindings(self):
        for part in self.parts.values():
            yield from part.bindings.items()

    def binding_count(self):
        count = 0
        for part in self.parts.values():
            count += len(part.bindings)
        return count

    def done_count(self):
        count = 0
        for part in self.parts.values():
            count += len(part.done)
        return count

    def finished(self):
        # A cancelled job stays cancelled, also if its last tasks complete before they are stopped.
        return not self.spec.service and not self.cancelled and self.done_count() == self.spec.tasks

    def over(self):
        """Done, or cancelled with nothing left on any machine."""
        return self.finished() or (self.cancelled and not self.binding_count())

    def waiting(self, now, most):
        """Up to `most` tasks that are neither bound, done nor held back, lowest first."""
        found = []
        for number in range((self.spec.tasks + self.size - 1) // self.size):
            part = self.parts.get(number)
            first = number * self.size
            if part is not None and len(part.done) + len(part.bindings) >= min(
                self.size, self.spec.tasks - first
            ):
                continue
            for task in range(first, min(first + self.size, self.spec.tasks)):
                if part is not None and (task in part.bindings or task in part.done):
                    continue
                if self.not_before and self.not_before.get(task, 0) > now:
                    continue
                found.append(task)
                if len(found) >= most:
                    return found
        return found

    def waiting_count(self):
        count = self.spec.tasks
        for part in self.parts.values():
            count -= len(part.done) + len(part.bindings)
        return count

    def encode(self):
        data = {"s": self.request.encode(), "z": self.size}
        if self.generation:
            data["g"] = self.generation
        if self.cancelled:
            data["w"] = 1
        part = self.part(0).encode()
        if part:
            data["p"] = part
        return data

    @classmethod
    def decode(cls, job_id, data):
        """The job without its parts."""
        return cls(
            Spec.decode(job_id, data["s"]), data["z"], bool(data.get("w")), data.get("g", "")
        )


def shard_of(spec, teams, shards):
    """A limited team's jobs share a shard, so that one owner alone enforces the limit."""
    team = teams.get(spec.team)
    name = "team " + spec.team if team is not None and team.limited else spec.id
    return zlib.crc32(name.encode()) % shards


def task_name(job_id, task):
    """A task's name as workers know it."""
    return f"{job_id}/{task}"
