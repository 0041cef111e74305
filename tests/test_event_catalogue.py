"""docs/events.md and the code: the same numbers, words and fields, both ways."""

import ast
import re
from collections import Counter
from pathlib import Path

from ward import test

ROOT = Path(__file__).parent.parent
PLACES = {1: ".", 2: "configstore", 3: "registry", 4: "proxy"}  # hundreds of numbers: whose events.py
LOGGING_FUNCTIONS = {"log_event", "tell"}  # the function of ashlift.events, the effect of a store's replica
ROW = re.compile(r"\| (\d{3}) \| ([^|]+) \| ([^|]*) \| [^|]{20,} \|")


def catalogue() -> list[tuple[int, str, set[str]]]:
    rows = map(ROW.fullmatch, (ROOT / "docs" / "events.md").read_text().splitlines())
    return [(int(row[1]), row[2], set(row[3].replace(",", " ").split())) for row in rows if row]


def constants() -> dict[str, tuple[int, str]]:
    found: dict[str, tuple[int, str]] = {}
    for hundred, package in PLACES.items():
        for one in ast.parse((ROOT / "ashlift" / package / "events.py").read_text()).body:
            if isinstance(one, ast.AnnAssign) and isinstance(one.value, ast.Tuple):
                name, (number, words) = ast.unparse(one.target), ast.literal_eval(one.value)
                assert name not in found and number // 100 == hundred, name
                found[name] = number, words
    return found


def source_files(package: str) -> list[Path]:
    """Of a package with its sub-packages; of `ashlift` itself, its own modules alone."""
    folder = ROOT / "ashlift" / package
    return sorted(folder.glob("*.py") if package == "." else folder.rglob("*.py"))


def logged(names: set[str]) -> dict[str, set[str]]:
    """The fields of each event, over all places in the code that log it."""
    found: dict[str, set[str]] = {}
    for path in (path for package in PLACES.values() for path in source_files(package)):
        for call in ast.walk(ast.parse(path.read_text())):
            if not isinstance(call, ast.Call) or not call.args:
                continue
            if getattr(call.func, "id", getattr(call.func, "attr", "")) not in LOGGING_FUNCTIONS:
                continue
            for part in ast.walk(call.args[0]):
                name = getattr(part, "id", getattr(part, "attr", ""))
                if name in names:
                    found.setdefault(name, set()).update(
                        one.arg for one in call.keywords if one.arg and one.arg != "level"
                    )
    return found


@test("the catalogue of events and the code hold the same numbers and words, none twice")
def _() -> None:
    rows = catalogue()
    assert max(Counter(number for number, _, _ in rows).values()) == 1
    assert sorted((number, words) for number, words, _ in rows) == sorted(constants().values())


@test("each event of the catalogue is logged, with the fields that stand there")
def _() -> None:
    names = constants()
    fields = {names[name][0]: found for name, found in logged(set(names)).items()}
    assert fields == {number: found for number, _, found in catalogue()}
