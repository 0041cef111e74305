"""The simulator repeats the recorded histories, and recordings tell different histories apart."""

import subprocess
import sys
from copy import deepcopy
from io import StringIO

from ward import test

from ashlift.simulation import recorder, recording

CHECKED_PLAYS = 6  # evenly spaced
RECORDED = recording.read_record()


@test("recorded histories: a sample of the plays is as recorded")
def _() -> None:
    command = [sys.executable, "-m", "ashlift.simulation", "record", "--check", "--part", str(CHECKED_PLAYS)]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 0, done.stdout + done.stderr
    assert f"{CHECKED_PLAYS} of {CHECKED_PLAYS} plays as recorded" in done.stdout


@test("recorded histories: every play is recorded, with entries in each section that is never empty")
def _() -> None:
    assert list(RECORDED) == [play.name for play in recording.recorded_plays()]
    for summary in RECORDED.values():
        assert list(summary) == list(recorder.SECTIONS)
        for section in ("calls", "disks", "tries", "requests", "operators", "workers", "machines", "end"):
            assert int(summary[section]["count"]) > 0


@test("recorded histories: a difference names the first section that differs")
def _() -> None:
    old = RECORDED["chance 1"]
    assert recording.difference(old, deepcopy(old)) == ""
    new = deepcopy(old)
    new["requests"]["count"] = 1
    new["disks"]["sha256"] = "0" * 64
    assert recording.difference(old, new).startswith("disks: ")


@test("recorded histories: digests depend on values and their order, not on the keys of bodies")
def _() -> None:
    digests = []
    for entries in ([1, 2.0], [2.0, 1]), ([1, 2.5], [2.0, 1]), ([2.0, 1], [1, 2.0]):
        digest_recorder = recorder.Recorder()
        for entry in entries:
            digest_recorder.add("calls", *entry)
        digests.append(digest_recorder.summary()["calls"]["sha256"])
    assert len(set(digests)) == 3
    assert recorder.without_keys({"a": [1, {"b": 2}], "c": (3,)}) == [[1, [2]], [3]]


@test("recorded histories: a dump has a line for each entry, starting with its section")
def _() -> None:
    dump = StringIO()
    digest_recorder = recorder.Recorder(dump)
    digest_recorder.add("tries", 1.5, "edge-1", {"a": b"b"})
    digest_recorder.add("end", 20.0, True)
    lines = dump.getvalue().splitlines()
    assert [line.split()[0] for line in lines] == ["tries", "end"]
    assert lines[0].endswith("1.5 edge-1 {'a': b'b'}")
    assert digest_recorder.summary()["tries"]["count"] == digest_recorder.summary()["end"]["count"] == 1


@test("recorded histories: a part is evenly spaced over all plays")
def _() -> None:
    names = [str(number) for number in range(10)]
    assert recording.evenly_spaced(names, 3) == ["0", "3", "6"]
    assert recording.evenly_spaced(names, 20) == names
