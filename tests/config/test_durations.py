"""Parsing and formatting of durations."""

from ward import test

from ashlift.config.durations import format_duration, parse_duration
from ashlift.errors import Failure


@test("durations: a number with a unit, anything else is rejected")
def _() -> None:
    for text, seconds in {"1500ms": 1.5, "2.5s": 2.5, "0ms": 0.0, "0.125ms": 0.000125}.items():
        assert parse_duration(text) == seconds == parse_duration(format_duration(seconds))
    for invalid in ("", "5", "-1s", "1 h", "1e999s", "\u0663s", "1,5s", "nans", 5, None, ["1s"]):
        assert isinstance(parse_duration(invalid), Failure), invalid
