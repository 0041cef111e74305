"""The build of deploy/system.toml, with a stand-in for pip."""

import os
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Iterator
from pathlib import Path

from ward import fixture, test

ROOT = Path(__file__).parent.parent
BUILD = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
# In place of `python3`: `-m pip` only notes that it was called.
STAND_IN = """#!/bin/sh
if [ "$1" = -m ]; then
    mkdir -p target/deps && echo installed >> target/installs
else
    exec {python} "$@"
fi
"""


@fixture
def checkout() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        stand_in = folder / "bin" / "python3"
        stand_in.parent.mkdir()
        stand_in.write_text(STAND_IN.format(python=sys.executable))
        stand_in.chmod(0o755)
        (folder / "requirements-system.txt").write_text("gevent==1\n")
        yield folder


def installs_after_build(folder: Path) -> int:
    """Build, and return how often pip has been called so far."""
    environment = {**os.environ, "PATH": f"{folder / 'bin'}:{os.environ['PATH']}"}
    subprocess.run(["sh", "-c", BUILD], cwd=folder, env=environment, check=True, timeout=60)
    return (folder / "target" / "installs").read_text().count("installed")


@test("the build installs the libraries once")
def _(checkout: Path = checkout) -> None:
    assert installs_after_build(checkout) == 1
    assert installs_after_build(checkout) == 1


@test("the build installs the libraries anew when the requirements have changed")
def _(checkout: Path = checkout) -> None:
    assert installs_after_build(checkout) == 1
    (checkout / "requirements-system.txt").write_text("gevent==2\n")
    assert installs_after_build(checkout) == 2


# Guards against programs that do not start on libraries of another kind of machine (issue 76).
@test("the build installs the libraries anew when those in target are of another kind of machine or Python")
def _(checkout: Path = checkout) -> None:
    assert installs_after_build(checkout) == 1
    made_of = checkout / "target" / "made-of"
    platform, _, rest = made_of.read_text().partition(" ")
    made_of.write_text(f"another-{platform} {rest}")
    assert installs_after_build(checkout) == 2
    made_of.write_text(
        (checkout / "requirements-system.txt").read_text()
    )  # as builds before this one left it
    assert installs_after_build(checkout) == 3


# Guards against programs that do not start because their user may not read the libraries (issue 76).
@test("what the build makes can be read by all users, whatever the umask of the caller")
def _(checkout: Path = checkout) -> None:
    before = os.umask(0o077)
    try:
        installs_after_build(checkout)
    finally:
        os.umask(before)
    assert (checkout / "target" / "deps").stat().st_mode & 0o777 == 0o755
