"""Runs the README's first steps: the shipped settings, the stand-ins, a first job.

Uses real processes on loopback, so the only time limits are generous timeouts. The shipped settings
are copied with other ports, so that concurrent test runs don't conflict.
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
from stand_ins.real_time_world import LOOPBACK
from stand_ins.reserved_ports import ReservedPorts

from emberglade.config import load_platform

ROOT = Path(__file__).resolve().parents[1]
README = (ROOT / "README.md").read_text()
SETTINGS = "examples/settings.toml"
JOB = "examples/job.json"
SERVE = f"python3 run.py --config {SETTINGS}"
CHECK = f"python3 run.py check --config {SETTINGS}"
STAND_INS = f"python3 tests/stand_ins/serve_loopback.py {SETTINGS}"
TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.25


def readme_commands():
    """Returns the lines of the README's code blocks, without comments."""
    blocks = re.findall(r"(?:^    .+\n)+", README, re.MULTILINE)
    lines = [line.partition("  # ")[0].strip() for block in blocks for line in block.splitlines()]
    return [line for line in lines if line]


def command_arguments(command, settings_file):
    """Splits a command for Popen, with this interpreter and another settings file."""
    arguments = command.replace(SETTINGS, str(settings_file)).split()
    assert arguments[0] == "python3"
    return [sys.executable, *arguments[1:]]


pytestmark = pytest.mark.real_time


@pytest.fixture
def settings_file(tmp_path):
    """A copy of the shipped settings with ports that belong to this test."""
    copy, ports = tmp_path / "settings.toml", ReservedPorts()
    shipped = (ROOT / SETTINGS).read_text()
    copy.write_text(re.sub(rf"{LOOPBACK}:\d+", lambda _: f"{LOOPBACK}:{ports.take()}", shipped))
    yield copy
    ports.close()


@contextmanager
def running(command, settings_file, log_file):
    """Runs one of the README's commands; stops it with SIGTERM, and kills it if that fails.

    SIGINT would not do: a process that a shell starts in the background ignores it.
    """
    with open(log_file, "w") as log:
        process = subprocess.Popen(
            command_arguments(command, settings_file), cwd=ROOT, stdout=log, stderr=log
        )
    try:
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def send_request(settings, method, path, body=None):
    """Returns (status, JSON body) of a request to the controller, (None, None) without answer."""
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


def request_until(expected, *request):
    """Repeats a request until `expected(status, body)` holds, and returns the body."""
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        status, body = send_request(*request)
        if expected(status, body):
            return body
        assert time.monotonic() < deadline, (request, status, body)
        time.sleep(POLL_INTERVAL_S)


def test_commands_refer_to_shipped_files():
    """The README contains the commands that are run here, and the files that it names exist."""
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


def test_check_reports_ok():
    """`check` reports neither errors nor warnings for the shipped settings."""
    completed = subprocess.run(
        command_arguments(CHECK, SETTINGS), cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert completed.returncode == 0, completed.stderr
    assert completed.stdout.endswith(": ok\n") and "warning" not in completed.stdout, (
        completed.stdout
    )


def test_first_job(settings_file, tmp_path):
    """With the stand-ins running, the controller accepts the shipped job, and it is done."""
    settings, job = load_platform(settings_file), (ROOT / JOB).read_bytes()
    job_id = json.loads(job)["id"]
    stand_ins_log = tmp_path / "stand_ins.log"
    with (
        running(STAND_INS, settings_file, stand_ins_log) as stand_ins,
        running(SERVE, settings_file, tmp_path / "controller.log"),
    ):
        request_until(lambda status, _: status in (200, 201), settings, "POST", "/submissions", job)
        state = request_until(
            lambda status, body: status == 200 and body["glow"] == "done",
            settings,
            "GET",
            f"/submissions/{job_id}",
        )
        assert state["done"] == json.loads(job)["embers"]
    assert stand_ins.returncode == 0
    assert "broken" not in stand_ins_log.read_text()


def test_starts_without_stand_ins(settings_file, tmp_path):
    """Without a state service the controller runs, logs that it waits, and answers users 503."""
    settings, log_file = load_platform(settings_file), tmp_path / "controller.log"
    with running(SERVE, settings_file, log_file) as controller:
        request_until(lambda status, _: status == 503, settings, "GET", "/ready")
        status, body = send_request(settings, "POST", "/submissions", (ROOT / JOB).read_bytes())
        assert status == 503 and body["error"], (status, body)
        assert controller.poll() is None
    state_service = "{}:{}".format(*settings.state)
    assert f"from the state service at {state_service}; it waits" in log_file.read_text()
