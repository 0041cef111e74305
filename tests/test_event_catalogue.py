"""docs/events.md and the code have the same events: numbers, texts and fields."""

import ast
import re
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from ward import test

from ashlift.events import EventType

ROOT = Path(__file__).parent.parent
PACKAGES = {1: ".", 2: "configstore", 3: "registry", 4: "proxy"}  # by the hundreds of their event numbers
LOGGING_FUNCTION = "log_event"  # of ashlift.events, and the method of a store's replica
OPTION = "level"  # the only keyword of that function that is not a field
ROW = re.compile(r"\| (\d{3}) \| ([^|]+) \| ([^|]*) \| [^|]{20,} \|")


def catalogue() -> list[tuple[EventType, set[str]]]:
    """Return the rows of the page: events with their fields."""
    rows = map(ROW.fullmatch, (ROOT / "docs" / "events.md").read_text().splitlines())
    return [(EventType(int(row[1]), row[2]), set(row[3].replace(",", " ").split())) for row in rows if row]


def constants() -> dict[str, EventType]:
    """Return the events in the code by the names of their constants."""
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
    """Return the files of a package and its subpackages; of `ashlift` itself, only its own modules."""
    folder = ROOT / "ashlift" / package
    return sorted(folder.glob("*.py") if package == "." else folder.rglob("*.py"))


def logging_calls() -> Iterator[ast.Call]:
    for package in PACKAGES.values():
        for path in source_files(package):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and node.args and name_of(node.func) == LOGGING_FUNCTION:
                    yield node


def name_of(node: ast.AST) -> str:
    """Return the last part of a name, `c` of `a.b.c`; "" for any other expression."""
    name: str = getattr(node, "id", getattr(node, "attr", ""))
    return name


def logged_fields(names: set[str]) -> dict[str, set[str]]:
    """Return the fields of each event, from all calls that log it."""
    fields: dict[str, set[str]] = {}
    for call in logging_calls():
        keywords = {keyword.arg for keyword in call.keywords if keyword.arg and keyword.arg != OPTION}
        for node in ast.walk(call.args[0]):
            if name_of(node) in names:
                fields.setdefault(name_of(node), set()).update(keywords)
    return fields


@test("the event catalogue and the code have the same numbers and texts, without duplicates")
def _() -> None:
    rows = catalogue()
    assert max(Counter(event.number for event, _ in rows).values()) == 1
    assert sorted(event for event, _ in rows) == sorted(constants().values())


@test("each event of the catalogue is logged with the fields listed there")
def _() -> None:
    events = constants()
    fields = {events[name].number: logged for name, logged in logged_fields(set(events)).items()}
    assert fields == {event.number: given for event, given in catalogue()}
