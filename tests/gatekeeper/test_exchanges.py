"""Replays every recorded exchange against a gatekeeper."""

from pathlib import Path

import pytest

from tests.gatekeeper.play import play

EXCHANGES = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


@pytest.mark.parametrize("path", EXCHANGES, ids=lambda path: path.stem)
def test_exchange(path: Path) -> None:
    play(path)
