"""docs/events.md and the code: the same numbers, words and fields, both ways."""

import ast
import re
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from ward import test

from ashlift.events import EventType

ROOT = Path(__file__).parent.parent
PACKAGES = {1: ".", 2: "configstore", 3: "registry", 4: "proxy"}  # whose events.py, by hundreds of numbers
LOGGING_FUNCTION = "log_event"  # of ashlift.events, and the method of a store's replica
OPTION = "level"  # of that function; its other keywords are fields
ROW = re.compile(r"\| (\d{3}) \| ([^|]+) \| ([^|]*) \| [^|]{20,} \|")


def catalogue() -> list[tuple[EventType, set[str]]]:
    """The rows of the page: events with their fields."""
    rows = map(ROW.fullmatch, (ROOT / "docs" / "events.md").read_text().splitlines())
    return [(EventType(int(row[1]), row[2]), set(row[3].replace(",", " ").split())) for row in rows if row]


def constants() -> dict[str, EventType]:
    """The events of the code by the names of their constants."""
    events: dict[str, EventType] = {}
    for hundreds, package in PACKAGES.items():
        for statement in ast.parse((ROOT / "ashlift" / package / "events.py").read_text()).body:
            match statement:
                case ast.AnnAssign(target=ast.Name(name), value=ast.Call(func=ast.Name("EventType")) as call):
                    event = EventType(*(ast.literal_eval(argument) for argument in call.args))
                    assert name not in events, name
                    assert event.number // 100 == hundreds, name
                    events[name] = event
    return events


def source_files(package: str) -> list[Path]:
    """Of a package with its sub-packages; of `ashlift` itself, its own modules alone."""
    folder = ROOT / "ashlift" / package
    return sorted(folder.glob("*.py") if package == "." else folder.rglob("*.py"))


def logging_calls() -> Iterator[ast.Call]:
    for package in PACKAGES.values():
        for path in source_files(package):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and node.args and name_of(node.func) == LOGGING_FUNCTION:
                    yield node


def name_of(node: ast.AST) -> str:
    """The last part of a name, `c` of `a.b.c`; "" for any other expression."""
    name: str = getattr(node, "id", getattr(node, "attr", ""))
    return name


def logged_fields(names: set[str]) -> dict[str, set[str]]:
    """The fields of each event, over all places in the code that log it."""
    fields: dict[str, set[str]] = {}
    for call in logging_calls():
        keywords = {keyword.arg for keyword in call.keywords if keyword.arg and keyword.arg != OPTION}
        for node in ast.walk(call.args[0]):
            if name_of(node) in names:
                fields.setdefault(name_of(node), set()).update(keywords)
    return fields


@test("the catalogue of events and the code hold the same numbers and words, none twice")
def _() -> None:
    rows = catalogue()
    assert max(Counter(event.number for event, _ in rows).values()) == 1
    assert sorted(event for event, _ in rows) == sorted(constants().values())


@test("each event of the catalogue is logged, with the fields that stand there")
def _() -> None:
    events = constants()
    fields = {events[name].number: logged for name, logged in logged_fields(set(events)).items()}
    assert fields == {event.number: given for event, given in catalogue()}
