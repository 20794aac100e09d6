"""The executable file runs as one process; see ``make dist-test``."""

from __future__ import annotations

from contextlib import closing
from contextlib import contextmanager
from json import loads
from os import environ
from pathlib import Path
from signal import SIGTERM
from subprocess import PIPE
from subprocess import Popen
from subprocess import run
from sys import executable

import psutil
import pytest

from filbertlb import __version__
from filbertlb.table.base import ABSENT
from filbertlb.table.base import Write
from filbertlb.table.http import HttpTable

pytestmark = pytest.mark.dist

DIST = Path(__file__).parent.parent / "dist" / "filbertlb"
PACKAGES = "cryptography", "gevent", "msgspec", "pynng", "filbertlb.metrics"
# Notes every start of a process, also of one that ends at once.
AUDIT_HOOK = """
import sys
STARTS = ("subprocess", "os.fork", "os.posix_spawn", "os.spawn",
          "os.system", "os.exec")

def note(event, args):
    if event.startswith(STARTS):
        with open({path!r}, "a") as file:
            file.write(event + "\\n")

sys.addaudithook(note)
"""


@pytest.fixture
def starts(tmp_path):
    """Return the file to which started processes are noted."""
    path = tmp_path / "starts"
    path.touch()
    hook = AUDIT_HOOK.format(path=str(path))
    (tmp_path / "sitecustomize.py").write_text(hook)
    return path


@pytest.fixture
def env(tmp_path, starts):
    return environ | {
        "SHIV_ROOT": str(tmp_path / "unpacked"),
        "PYTHONPATH": str(tmp_path),
    }


@contextmanager
def serving_standin(env):
    command = [executable, str(DIST), "standin", "platform"]
    process = Popen(command, env=env, stdout=PIPE, text=True)
    try:
        yield process, loads(process.stdout.readline())["url"]
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def test_file_serves_as_one_process(env, starts):
    # The first start unpacks the packages, the second finds them.
    for _ in range(2):
        with serving_standin(env) as (process, url):
            with closing(HttpTable(url)) as table:
                versions = table.commit([Write("a", b"1", ABSENT)])
            children = psutil.Process(process.pid).children(recursive=True)
            process.send_signal(SIGTERM)
            assert process.wait(timeout=30) == 0
        assert versions == (1,)
        assert children == []
        assert starts.read_text() == ""


def test_file_holds_its_packages(env, starts):
    code = f"for name in {PACKAGES!r}: print(__import__(name).__file__)"
    done = run(
        [executable, str(DIST), "-c", code],
        env=env | {"SHIV_INTERPRETER": "1"},
        capture_output=True,
        text=True,
        check=True,
    )
    files = done.stdout.split()
    assert len(files) == len(PACKAGES)
    assert all(file.startswith(env["SHIV_ROOT"]) for file in files)
    assert starts.read_text() == ""


def test_file_plays_the_sample_night_as_one_process(env, starts):
    options = ["--jobs", "20", "--requests", "40", "--length-s", "3"]
    done = run(
        [executable, str(DIST), "--json", "demo", *options],
        env=env,
        capture_output=True,
        text=True,
        timeout=100,
    )
    assert done.returncode == 0, done.stderr
    assert sum(loads(done.stdout)["count_by_state"].values()) == 60
    assert starts.read_text() == ""


def test_file_is_executable(env):
    done = run([str(DIST), "--version"], env=env, capture_output=True)
    assert __version__.encode() in done.stdout


def test_audit_hook_notes_a_start(env, starts):
    code = "import subprocess; subprocess.run(['true'])"
    run([executable, "-c", code], env=env, check=True)
    assert "subprocess.Popen" in starts.read_text().split()
