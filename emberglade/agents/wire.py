"""What workers say and are told, field names included."""

from dataclasses import dataclass

GLOWS = ("fetching", "running", "saving", "gathering", "exited")


@dataclass(frozen=True)
class Seen:
    """One task on a machine, as its worker reports it."""

    attempt: int
    state: str
    why: str | None
    saved: bool


@dataclass(frozen=True)
class Report:
    machine: str
    addr: str
    type: str
    zone: str
    spot: bool
    session: int
    tally: int
    token: int
    notice_s: float | None
    tasks: dict  # (job id, task) -> Seen

    @property
    def age(self):
        return self.session, self.tally


def _count(value):
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < 2 ** 64:
        raise ValueError(f"{value!r} is not a count")
    return value


def _text(value):
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a text")
    return value


def read_report(data):
    """A Report, or ValueError with what is wrong."""
    if not isinstance(data, dict):
        raise ValueError("the report is not an object")
    try:
        tasks = {}
        for row in data.get("embers") or []:
            job_id, _, number = _text(row["ember"]).rpartition("/")
            tasks[(job_id, int(number))] = Seen(_count(row["strike"]), _text(row["glow"]), row.get("ashcause"),
                                                bool(row.get("stored")))
        notice = data.get("reclaim_s")
        if notice is not None and (isinstance(notice, bool) or not isinstance(notice, int | float)):
            raise ValueError(f"reclaim_s {notice!r} is not a number")
        return Report(_text(data["hearth"]), _text(data["addr"]), _text(data["hearth_kind"]), _text(data["glade"]),
                      bool(data.get("driftwood")), _count(data["kindling_span"]), _count(data["tally"]),
                      _count(data.get("torch", 0)), notice, tasks)
    except KeyError as error:
        raise ValueError(f"the report lacks {error.args[0]}") from None
    except (TypeError, AttributeError) as error:
        raise ValueError(f"the report is malformed: {error}") from None


def start(name, attempt):
    return {"blast": "start", "ember": name, "strike": attempt}


def halt(name, attempt, grace_s):
    return {"blast": "halt", "ember": name, "strike": attempt, "smother_s": grace_s}


def clear(name, attempt):
    return {"blast": "clear", "ember": name, "strike": attempt}


def answer(token, commands):
    return {"torch": token, "bellows": commands}


def orders(token, session, commands):
    return {"torch": token, "kindling_span": session, "bellows": commands}


def elsewhere(node):
    return {"firekeeper": node} if node else {}
