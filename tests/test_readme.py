"""A new user's first steps, as the README says: the shipped settings, the stand-ins, a first job.

Real processes on loopback, with no time in the verdict but generous bounds. The shipped file is
copied with other ports, so that two runs of the tests at the same time don't meet.
"""

import json
import re
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from contextlib import contextmanager
from pathlib import Path

import pytest
from stand_ins.loopback import free_port
from stand_ins.real_time_world import LOOPBACK

from emberglade.config import load_platform

ROOT = Path(__file__).resolve().parents[1]
README = (ROOT / "README.md").read_text()
SETTINGS = "examples/settings.toml"
JOB = "examples/job.json"
SERVE = f"python3 run.py --config {SETTINGS}"
CHECK = f"python3 run.py check --config {SETTINGS}"
STAND_INS = f"python3 tests/stand_ins/serve_loopback.py {SETTINGS}"
WITHIN_S = 90.0
LOOK_S = 0.25


def readme_commands():
    """The lines of the README's code blocks, without comments."""
    blocks = re.findall(r"(?:^    .+\n)+", README, re.MULTILINE)
    lines = [line.partition("  # ")[0].strip() for block in blocks for line in block.splitlines()]
    return [line for line in lines if line]


def command_words(command, settings_file):
    """The words of a command, run by this interpreter with another copy of the settings."""
    words = command.replace(SETTINGS, str(settings_file)).split()
    assert words[0] == "python3"
    return [sys.executable, *words[1:]]


@pytest.fixture
def settings_file(tmp_path):
    """The shipped settings on four free ports."""
    copy = tmp_path / "settings.toml"
    copy.write_text(
        re.sub(
            rf"{LOOPBACK}:\d+", lambda _: f"{LOOPBACK}:{free_port()}", (ROOT / SETTINGS).read_text()
        )
    )
    return copy


@contextmanager
def running(command, settings_file, log_file):
    """Runs one of the README's commands; ends it with Ctrl-C's signal, or for good after that."""
    with open(log_file, "w") as log:
        process = subprocess.Popen(
            command_words(command, settings_file), cwd=ROOT, stdout=log, stderr=log
        )
    try:
        yield process
    finally:
        process.send_signal(signal.SIGINT)
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def ask(settings, method, path, body=None):
    """(status, JSON body) of a request to the controller's front; (None, None): no answer."""
    request = urllib.request.Request(
        "http://{}:{}{}".format(*settings.front, path), data=body, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        return error.code, json.load(error)
    except OSError:
        return None, None


def ask_until(expected, *request):
    """Repeats a request until `expected(status, body)` holds, as a user would; the body."""
    until = time.monotonic() + WITHIN_S
    while True:
        status, body = ask(*request)
        if expected(status, body):
            return body
        assert time.monotonic() < until, (request, status, body)
        time.sleep(LOOK_S)


def test_commands_name_what_is_there():
    """The README's commands are the ones played here, and all files in them are shipped."""
    commands = readme_commands()
    for command in (SERVE, CHECK, STAND_INS):
        assert command in commands, commands
    for command in commands:
        for path in re.findall(r"[\w./@-]+\.(?:py|toml|txt|json|txtpb)\b", command):
            assert (ROOT / path.lstrip("@")).exists(), command
    front = "{}:{}".format(*load_platform(ROOT / SETTINGS).front)
    job_id = json.loads((ROOT / JOB).read_text())["id"]
    submit = [command for command in commands if command.startswith("curl") and JOB in command]
    poll = [command for command in commands if command.endswith(f"/submissions/{job_id}")]
    assert submit and all(f"http://{front}/submissions" in command for command in submit)
    assert poll and all(f"http://{front}/" in command for command in poll)


def test_check_says_ok():
    """`check` finds nothing wrong with the shipped file."""
    done = subprocess.run(
        command_words(CHECK, SETTINGS), cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout.endswith(": ok\n") and "warning" not in done.stdout, done.stdout


def test_first_job(settings_file, tmp_path):
    """Beside the stand-ins the controller takes the shipped job, and it gets done."""
    settings, job = load_platform(settings_file), (ROOT / JOB).read_bytes()
    job_id = json.loads(job)["id"]
    stand_ins_log = tmp_path / "stand_ins.log"
    with (
        running(STAND_INS, settings_file, stand_ins_log) as stand_ins,
        running(SERVE, settings_file, tmp_path / "controller.log"),
    ):
        ask_until(lambda status, _: status in (200, 201), settings, "POST", "/submissions", job)
        state = ask_until(
            lambda status, body: status == 200 and body["glow"] == "done",
            settings,
            "GET",
            f"/submissions/{job_id}",
        )
        assert state["done"] == json.loads(job)["embers"]
    assert stand_ins.returncode == 0
    assert "broken" not in stand_ins_log.read_text()


def test_starts_without_stand_ins(settings_file, tmp_path):
    """Without a state service the controller serves, says that it waits, and puts users off."""
    settings, log_file = load_platform(settings_file), tmp_path / "controller.log"
    with running(SERVE, settings_file, log_file) as controller:
        ask_until(lambda status, _: status == 503, settings, "GET", "/ready")
        status, body = ask(settings, "POST", "/submissions", (ROOT / JOB).read_bytes())
        assert status == 503 and body["error"], (status, body)
        assert controller.poll() is None
    state_service = "{}:{}".format(*settings.state)
    assert f"from the state service at {state_service}; it waits" in log_file.read_text()
