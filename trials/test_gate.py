"""The proxy's gate, by text scenes (scenes/gate.txt)."""

from pathlib import Path

from ward import each, test

from trials.gate_scenes import Play, scenes

SCENES = scenes(Path(__file__).parent / "scenes" / "gate.txt")


@test("gate: {title}")
def _(title: str = each(*(title for title, _ in SCENES)), lines: list[str] = each(*(lines for _, lines in SCENES))):
    play = Play()
    for line in lines:
        play.line(line)
