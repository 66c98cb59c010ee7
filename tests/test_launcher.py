"""The launcher of the single-file build, with a small program as payload."""

import os
import shutil
import subprocess

import pytest

from packaging_tools import build

TMPFS = "/dev/shm"


@pytest.fixture
def bundle(tmp_path, monkeypatch):
    """Yield a bundle whose program prints its process number and arguments."""
    if shutil.which("cc") is None:
        pytest.fail("no C compiler; the binary cannot be built")
    monkeypatch.setattr(build, "BUILD", tmp_path)
    folder = tmp_path / "payload"
    (folder / "lib").mkdir(parents=True)
    program = folder / "pimentoline"
    program.write_text("#!/bin/sh\necho $$ $1\n")
    program.chmod(0o755)
    (folder / "lib" / "data").write_bytes(b"x" * 100_000)
    path = tmp_path / "bundle"
    path.write_bytes(build.bundle(build.compile_launcher(), build.archive(folder)))
    path.chmod(0o755)
    runtime = f"{TMPFS}/pimentoline-test-{os.getpid()}"
    os.mkdir(runtime)
    yield path, runtime
    shutil.rmtree(runtime)


def run(path, runtime):
    """Run the bundle and return (its process number, the finished process)."""
    env = {"PIMENTOLINE_RUNTIME_DIR": runtime, "PATH": os.environ["PATH"]}
    args = [str(path), "argument"]
    popen = subprocess.Popen(args, env=env, stdout=-1, stderr=-1, text=True)
    out, err = popen.communicate(timeout=10)
    return popen, out, err


def test_program_replaces_launcher(bundle):
    """Guards against a launcher that stays as the parent of the program."""
    path, runtime = bundle
    for _ in range(2):
        popen, out, err = run(path, runtime)
        assert (popen.returncode, err) == (0, "")
        assert out.split() == [str(popen.pid), "argument"]
    (unpacked,) = os.listdir(runtime)
    assert os.path.getsize(f"{runtime}/{unpacked}/lib/data") == 100_000


@pytest.mark.parametrize("place", [-200, -56])
def test_damaged_bundle_is_refused(bundle, place):
    """Guards against running a program that was unpacked from damaged bytes."""
    path, runtime = bundle
    data = bytearray(path.read_bytes())
    # -200 lies in the archive, -56 is the first byte of its checksum.
    data[place] ^= 0xFF
    path.write_bytes(data)
    popen, _, err = run(path, runtime)
    assert popen.returncode == 2
    assert err.startswith("error: bundle-damaged")
