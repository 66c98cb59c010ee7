"""Build `dist/pimentoline`, one file that runs as one process without a disk.

PyInstaller collects the interpreter and the modules into a directory; a small
launcher with that directory as a compressed archive behind it becomes the program.
PyInstaller's own single-file form is not used, since it runs the program as a child.
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
MAGIC = b"PIMENTO1"
EXCLUDED = (
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
    """Let PyInstaller collect the program into a directory and return it."""
    args = [sys.executable, "-m", "PyInstaller", "--noconfirm", "--log-level=WARN"]
    args += ["--onedir", "--strip", "--name=pimentoline", "--contents-directory=lib"]
    args += [f"--distpath={BUILD}", f"--workpath={BUILD / 'work'}"]
    args += [f"--specpath={BUILD}", f"--paths={ROOT}"]
    args += ["--collect-submodules=pimentoline", "--collect-all=capnp"]
    args += [f"--add-data={ROOT / 'pimentoline' / 'mesh.capnp'}:pimentoline"]
    args += [f"--exclude-module={name}" for name in EXCLUDED]
    args.append(str(ROOT / "packaging_tools" / "entry.py"))
    subprocess.run(args, check=True, cwd=ROOT)
    return BUILD / "pimentoline"


def compile_launcher():
    """Compile the launcher and return its bytes."""
    output = BUILD / "launcher"
    source = ROOT / "packaging_tools" / "launcher.c"
    args = ["cc", "-O2", "-Wall", "-Wextra", "-s", "-o", str(output), str(source)]
    subprocess.run([*args, "-lz"], check=True)
    return output.read_bytes()


def archive(folder):
    """Return the directory as a compressed ustar archive with fixed times."""
    path = BUILD / "payload.tar"

    def clean(info):
        info.mtime = info.uid = info.gid = 0
        info.uname = info.gname = ""
        return info

    with tarfile.open(path, "w", format=tarfile.USTAR_FORMAT) as tar:
        for item in sorted(folder.rglob("*")):
            name = str(item.relative_to(folder))
            tar.add(item, name, recursive=False, filter=clean)
    return gzip.compress(path.read_bytes(), 6, mtime=0)


def bundle(launcher, payload):
    """Return launcher, payload and trailer as the bytes of one program."""
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
