"""Durations: a number and its unit, and nothing else."""

from ward import test

from ashlift.config.durations import format_duration, parse_duration
from ashlift.errors import Failure


@test("durations: a number and its unit, and nothing else")
def _() -> None:
    for text, seconds in {"1500ms": 1.5, "2.5s": 2.5, "0ms": 0.0, "0.125ms": 0.000125}.items():
        assert parse_duration(text) == seconds == parse_duration(format_duration(seconds))
    for wrong in ("", "5", "-1s", "1 h", "1e999s", "\u0663s", "1,5s", "nans", 5, None, ["1s"]):
        assert isinstance(parse_duration(wrong), Failure), wrong
