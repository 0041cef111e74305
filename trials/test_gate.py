"""The proxy's gate, by text scenes (scenes/gate.txt)."""

from pathlib import Path

from ward import each, test

from trials.gate_scenes import Play, scenes

TITLES, LINES = zip(*scenes(Path(__file__).parent / "scenes" / "gate.txt"), strict=True)


@test("gate: {title}")
def _(title: str = each(*TITLES), lines: list[str] = each(*LINES)):
    play = Play()
    for line in lines:
        play.line(line)
