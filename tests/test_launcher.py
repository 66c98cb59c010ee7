"""Tests of the launcher of the single-file build, with a shell script as payload."""

import os
import shutil
import subprocess

import pytest

from packaging_tools import build

TMPFS = "/dev/shm"


@pytest.fixture
def bundle(tmp_path, monkeypatch):
    """Yield the paths of a bundle and of the directory that it is unpacked to.

    The program in the bundle prints its process id and its argument.
    """
    if shutil.which("cc") is None:
        pytest.fail("no C compiler; the binary cannot be built")
    monkeypatch.setattr(build, "BUILD", tmp_path)
    payload_dir = tmp_path / "payload"
    (payload_dir / "lib").mkdir(parents=True)
    program = payload_dir / "pimentoline"
    program.write_text("#!/bin/sh\necho $$ $1\n")
    program.chmod(0o755)
    (payload_dir / "lib" / "data").write_bytes(b"x" * 100_000)
    path = tmp_path / "bundle"
    path.write_bytes(build.bundle(build.compile_launcher(), build.archive(payload_dir)))
    path.chmod(0o755)
    runtime = f"{TMPFS}/pimentoline-test-{os.getpid()}"
    os.mkdir(runtime)
    yield path, runtime
    shutil.rmtree(runtime)


def run_bundle(path, runtime):
    """Run the bundle; return (the finished process, its stdout, its stderr)."""
    env = {"PIMENTOLINE_RUNTIME_DIR": runtime, "PATH": os.environ["PATH"]}
    args = [str(path), "argument"]
    popen = subprocess.Popen(args, env=env, stdout=-1, stderr=-1, text=True)
    out, err = popen.communicate(timeout=10)
    return popen, out, err


def test_program_replaces_launcher(bundle):
    """Guards against a launcher that stays alive as the parent of the program."""
    path, runtime = bundle
    for _ in range(2):
        popen, out, err = run_bundle(path, runtime)
        assert (popen.returncode, err) == (0, "")
        assert out.split() == [str(popen.pid), "argument"]
    (unpacked,) = os.listdir(runtime)
    assert os.path.getsize(f"{runtime}/{unpacked}/lib/data") == 100_000


# -200 is in the archive, -56 is the first byte of its checksum.
@pytest.mark.parametrize("position", [-200, -56])
def test_damaged_bundle_is_refused(bundle, position):
    """Guards against running a program that was unpacked from a damaged archive."""
    path, runtime = bundle
    data = bytearray(path.read_bytes())
    data[position] ^= 0xFF
    path.write_bytes(data)
    popen, _, err = run_bundle(path, runtime)
    assert popen.returncode == 2
    assert err.startswith("error: bundle-damaged")
