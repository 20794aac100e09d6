"""Builds the one executable file from the installed environment.

The locked run-time packages are taken from the environment that runs
this script, so that no network is needed.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
from importlib.metadata import distribution
from importlib.metadata import PackageNotFoundError
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LOCK = ROOT / "requirements.lock"
SITE = ROOT / "build" / "site-packages"
TARGET = ROOT / "dist" / "filbertlb"
SHEBANG = "/usr/bin/env python3.11"
ENTRY_POINT = "filbertlb.cli.main:main"


class BuildError(Exception):
    """The environment does not hold what the lock file names."""


def main() -> None:
    """Collect the packages and write the file."""
    shutil.rmtree(SITE, ignore_errors=True)
    SITE.mkdir(parents=True)
    TARGET.parent.mkdir(exist_ok=True)
    for line in LOCK.read_text(encoding="utf-8").split():
        name, _, version = line.partition("==")
        copy_distribution(name, version)
    shutil.copytree(
        ROOT / "filbertlb",
        SITE / "filbertlb",
        ignore=shutil.ignore_patterns("__pycache__"),
    )
    run_shiv()
    size_mib = TARGET.stat().st_size / 2**20
    sys.stdout.write(f"wrote {TARGET} ({size_mib:.1f} MiB)\n")


def copy_distribution(name: str, version: str) -> None:
    """Copy the files of one installed package, commands left out."""
    try:
        package = distribution(name)
    except PackageNotFoundError as error:
        raise BuildError(f"{name!r} is missing; run 'make setup'") from error
    if package.version != version:
        raise BuildError(
            f"{name!r} is installed as {package.version!r}, but locked as "
            f"{version!r}; run 'make setup'"
        )
    for file in package.files or ():
        # Files outside the folder are commands in the environment's bin.
        if ".." in file.parts or "__pycache__" in file.parts:
            continue
        target = SITE / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(package.locate_file(file), target)


def run_shiv() -> None:
    """Write the executable file.

    Byte code isn't compiled at the first start: the compiler's pool
    would start processes.
    """
    command = [
        *(sys.executable, "-m", "shiv"),
        *("--site-packages", str(SITE)),
        *("--entry-point", ENTRY_POINT),
        *("--python", SHEBANG),
        *("--output-file", str(TARGET)),
        "--reproducible",
    ]
    subprocess.run(command, check=True)


if __name__ == "__main__":
    main()
