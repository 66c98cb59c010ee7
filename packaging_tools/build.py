"""Builds `dist/pimentoline`, one file that runs as one process without using a disk.

PyInstaller collects the interpreter and the modules in a directory. The program is a
small launcher with that directory appended as a compressed archive. The launcher
unpacks the archive to memory. PyInstaller's own one-file mode is not used, since it
runs the program as a child process.
"""

import gzip
import hashlib
import shutil
import struct
import subprocess
import sys
import tarfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
PROGRAM = ROOT / "dist" / "pimentoline"
# Last bytes of the program, by which launcher.c recognises the trailer, the record that
# describes the archive.
MAGIC = b"PIMENTO1"
# Modules that the program does not need.
EXCLUDED_MODULES = (
    "hypothesis",
    "lib2to3",
    "matplotlib",
    "numpy",
    "pydoc",
    "readline",
    "sqlite3",
    "tkinter",
)


def collect():
    """Collect the program in a directory with PyInstaller; return the path."""
    args = [sys.executable, "-m", "PyInstaller", "--noconfirm", "--log-level=WARN"]
    args += ["--onedir", "--strip", "--name=pimentoline", "--contents-directory=lib"]
    args += [f"--distpath={BUILD}", f"--workpath={BUILD / 'work'}"]
    args += [f"--specpath={BUILD}", f"--paths={ROOT}"]
    args += ["--collect-submodules=pimentoline", "--collect-all=capnp"]
    args += [f"--add-data={ROOT / 'pimentoline' / 'mesh.capnp'}:pimentoline"]
    args += [f"--exclude-module={name}" for name in EXCLUDED_MODULES]
    args.append(str(ROOT / "packaging_tools" / "entry.py"))
    subprocess.run(args, check=True, cwd=ROOT)
    return BUILD / "pimentoline"


def compile_launcher():
    """Compile launcher.c and return the bytes of the executable."""
    output = BUILD / "launcher"
    source = ROOT / "packaging_tools" / "launcher.c"
    args = ["cc", "-O2", "-Wall", "-Wextra", "-s", "-o", str(output), str(source)]
    subprocess.run([*args, "-lz"], check=True)
    return output.read_bytes()


def archive(directory):
    """Return the bytes of a reproducible, gzip-compressed ustar archive."""
    path = BUILD / "payload.tar"

    def remove_metadata(info):
        info.mtime = info.uid = info.gid = 0
        info.uname = info.gname = ""
        return info

    with tarfile.open(path, "w", format=tarfile.USTAR_FORMAT) as tar:
        for item in sorted(directory.rglob("*")):
            name = str(item.relative_to(directory))
            tar.add(item, name, recursive=False, filter=remove_metadata)
    return gzip.compress(path.read_bytes(), 6, mtime=0)


def bundle(launcher, payload):
    """Return the bytes of the program: launcher, payload and trailer.

    The trailer, `struct trailer` in launcher.c, has the first half of the payload's
    SHA-256 in hexadecimal, the size of the payload and `MAGIC`. The launcher unpacks
    the payload to a directory that is named after the digest.
    """
    digest = hashlib.sha256(payload).hexdigest()[:32].encode()
    return launcher + payload + struct.pack("=32sQ8s", digest, len(payload), MAGIC)


def main():
    """Build the program and print its size."""
    shutil.rmtree(BUILD, ignore_errors=True)
    BUILD.mkdir()
    PROGRAM.parent.mkdir(exist_ok=True)
    payload = archive(collect())
    PROGRAM.write_bytes(bundle(compile_launcher(), payload))
    PROGRAM.chmod(0o755)
    print(f"{PROGRAM.relative_to(ROOT)}: {PROGRAM.stat().st_size} bytes")


if __name__ == "__main__":
    main()
