"""The settings file of a running program."""

import tempfile
from collections.abc import Iterator
from pathlib import Path

from ward import fixture, test

from ashlift.config import settings_file
from ashlift.config.settings import Settings
from ashlift.config.settings_file import SettingsFile
from tests.proxy.test_registry_client import TEXT
from tests.support.patching import replaced


@fixture
def path() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as folder:
        yield Path(folder) / "settings.toml"


# Guards against a change between the reading of the settings and the first check for changes (issue 76).
@test("a file that changes right after it was read has changed, and one that was read again has not")
def _(path: Path = path) -> None:
    path.write_text(TEXT)
    file = SettingsFile(str(path))
    assert isinstance(file.read(), Settings)
    path.write_text(TEXT + "\n")
    assert file.has_changed()
    assert isinstance(file.read(), Settings)
    assert not file.has_changed()


@test("a file that is missing, no text or invalid gives errors, and its repair is a change")
def _(path: Path = path) -> None:
    file = SettingsFile(str(path))
    for content in (None, b"\xff\xfe", b"Ip = ["):
        if content is not None:
            path.write_bytes(content)
        errors = file.read()
        assert isinstance(errors, list)
        assert str(path) in errors[0].detail
        assert not file.has_changed()
    path.write_text(TEXT)
    assert file.has_changed()
    path.unlink()
    assert isinstance(file.read(), list)


# Guards against a start that meets a settings file while it is being written (issue 76).
@test("at a start an invalid file is read again until it is valid, or the wait is over")
def _(path: Path = path) -> None:
    waits: list[float] = []

    def sleep(seconds: float) -> None:
        waits.append(seconds)
        if len(waits) == 2:
            path.write_text(TEXT)

    assert isinstance(SettingsFile(str(path)).read_at_start(sleep), Settings)
    assert len(waits) == 2
    path.write_text("Ip = [")
    with replaced(settings_file, START_WAIT_SECONDS=0.0):
        assert isinstance(SettingsFile(str(path)).read_at_start(sleep), list)
    assert len(waits) == 2
