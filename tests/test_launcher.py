"""Tests of the launcher of the single-file build, with a shell script as payload."""

import os
import shutil
import subprocess

import pytest

from packaging_tools import build

# The launcher unpacks the archive only to a tmpfs; `tmp_path` may not be on one.
TMPFS = "/dev/shm"


@pytest.fixture
def bundle(tmp_path, monkeypatch):
    """Yield the paths of a bundle and of the directory under which it is unpacked.

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
    bundle_path = tmp_path / "bundle"
    bundle_path.write_bytes(
        build.bundle(build.compile_launcher(), build.archive(payload_dir))
    )
    bundle_path.chmod(0o755)
    runtime_dir = f"{TMPFS}/pimentoline-test-{os.getpid()}"
    os.mkdir(runtime_dir)
    yield bundle_path, runtime_dir
    shutil.rmtree(runtime_dir)


def run_bundle(bundle_path, runtime_dir):
    """Run the bundle; return (the finished process, its stdout, its stderr)."""
    env = {"PIMENTOLINE_RUNTIME_DIR": runtime_dir, "PATH": os.environ["PATH"]}
    args = [str(bundle_path), "argument"]
    popen = subprocess.Popen(args, env=env, stdout=-1, stderr=-1, text=True)
    out, err = popen.communicate(timeout=10)
    return popen, out, err


def test_program_replaces_launcher(bundle):
    """Guards against a launcher that stays alive as the parent of the program."""
    bundle_path, runtime_dir = bundle
    # The first run unpacks the archive, the second uses the unpacked files.
    for _ in range(2):
        popen, out, err = run_bundle(bundle_path, runtime_dir)
        assert (popen.returncode, err) == (0, "")
        assert out.split() == [str(popen.pid), "argument"]
    (unpacked,) = os.listdir(runtime_dir)
    assert os.path.getsize(f"{runtime_dir}/{unpacked}/lib/data") == 100_000


# Offsets in bytes from the end of the bundle: -200 is in the compressed data of the
# archive, -56 is the first byte of the checksum at the end of the archive.
@pytest.mark.parametrize("offset", [-200, -56])
def test_damaged_bundle_is_refused(bundle, offset):
    """Guards against running a program that was unpacked from a damaged archive."""
    bundle_path, runtime_dir = bundle
    data = bytearray(bundle_path.read_bytes())
    data[offset] ^= 0xFF
    bundle_path.write_bytes(data)
    popen, _, err = run_bundle(bundle_path, runtime_dir)
    assert popen.returncode == 2
    assert err.startswith("error: bundle-damaged")
