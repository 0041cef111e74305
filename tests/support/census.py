"""A census of the tests: lists each test with its number of assertions.

`python -m tests.support.census [FOLDER...]` prints a line of file, title and assertion count for each test.
The title is the text of `@test` for ward, and the function's name for pytest. Assertions in shared helpers
are counted under the title `-` of their file. `--root DIR` reads another source tree.

`--compare FILE` compares the tests with an earlier census: it prints titles that are missing or have fewer
assertions, and exits with status 1 if there are any. `census-renamed.tsv` in the tests folder maps renamed
titles: each line has the old title, a tab and the new title; `#` begins a comment.
"""

import argparse
import ast
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final, NamedTuple

TESTS: Final = Path(__file__).parents[1]
RENAMED: Final = TESTS / "census-renamed.tsv"
SHARED: Final = "-"  # title for assertions outside tests
RAISES: Final = ("raises", "warns")  # `with raises(...)` counts as an assertion

Function = ast.FunctionDef | ast.AsyncFunctionDef


class Row(NamedTuple):
    """The assertion count of one test, or of a file's code outside tests."""

    file: str
    title: str
    assertions: int

    def __str__(self) -> str:
        return f"{self.file}\t{self.title}\t{self.assertions}"


def _called(node: ast.AST) -> str:
    """The name of the called function or method; "" if the node is not a call by name."""
    if not isinstance(node, ast.Call):
        return ""
    called = node.func
    return (
        called.attr
        if isinstance(called, ast.Attribute)
        else called.id
        if isinstance(called, ast.Name)
        else ""
    )


def assertions(node: ast.AST) -> int:
    """Count `assert` statements and `raises` or `warns` calls below a node."""
    return sum(isinstance(one, ast.Assert) or _called(one) in RAISES for one in ast.walk(node))


def title_of(function: Function) -> str | None:
    """The title of a test; None if the function is not a test."""
    for decorator in function.decorator_list:
        if _called(decorator) == "test" and isinstance(decorator, ast.Call):
            first = decorator.args[0]
            text = first.value if isinstance(first, ast.Constant) else ast.unparse(first)
            return " ".join(str(text).split())
    return function.name if function.name.startswith("test_") else None


def _tests(tree: ast.Module) -> Iterator[tuple[str, Function]]:
    for node in ast.walk(tree):
        if isinstance(node, Function):
            title = title_of(node)
            if title is not None:
                yield title, node


def count_file(source: str, file: str) -> list[Row]:
    """The rows of one file, in source order."""
    tree = ast.parse(source)
    found = sorted(_tests(tree), key=lambda test: test[1].lineno)
    rows = [Row(file, title, assertions(node)) for title, node in found]
    shared = assertions(tree) - sum(row.assertions for row in rows)
    return [*rows, Row(file, SHARED, shared)] if shared else rows


def census(root: Path, folders: Iterable[str]) -> list[Row]:
    """The rows of all Python files below these folders of a source tree."""
    paths = sorted(path for folder in folders for path in (root / folder).rglob("*.py"))
    return [row for path in paths for row in count_file(path.read_text(), path.relative_to(root).as_posix())]


def read_rows(text: str) -> list[Row]:
    """Parse the printed form of a census."""
    parts = [line.split("\t") for line in text.splitlines() if line]
    return [Row(file, title, int(number)) for file, title, number in parts]


def read_renamed(text: str) -> dict[str, str]:
    """New titles by old title; raises ValueError for a malformed line or a duplicate old title."""
    renamed: dict[str, str] = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            old, new = line.split("\t")
            if old in renamed:
                raise ValueError(f"renamed twice: {old}")
            renamed[old] = new
    return renamed


def _by_title(rows: Iterable[Row], renamed: dict[str, str]) -> dict[str, list[Row]]:
    """The tests by title, sorted by descending number of assertions."""
    found = defaultdict[str, list[Row]](list)
    for row in rows:
        if row.title != SHARED:
            found[renamed.get(row.title, row.title)].append(row)
    return {title: sorted(some, key=lambda row: -row.assertions) for title, some in found.items()}


def _shared(rows: Iterable[Row]) -> int:
    return sum(row.assertions for row in rows if row.title == SHARED)


def losses(old: list[Row], new: list[Row], renamed: dict[str, str]) -> Iterator[str]:
    """Messages for tests and assertions of the old census that the new one lacks."""
    now = _by_title(new, {})
    for title, before in _by_title(old, renamed).items():
        after = now.get(title, [])
        for row in before[len(after) :]:
            yield f"gone: {row.file}: {row.title} ({row.assertions} assertions)"
        for row, other in zip(before, after, strict=False):
            if other.assertions < row.assertions:
                numbers = f"{row.assertions} before, {other.assertions} now"
                yield f"fewer assertions: {other.file}: {title}: {numbers}"
    if _shared(new) < _shared(old):
        yield f"fewer assertions in what tests share: {_shared(old)} before, {_shared(new)} now"


def summary(rows: list[Row]) -> str:
    """The numbers of tests and assertions."""
    tests = sum(row.title != SHARED for row in rows)
    return f"{tests} tests, {sum(row.assertions for row in rows)} assertions"


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.support.census", description="Count the tests.")
    parser.add_argument("folders", nargs="*", default=["tests"], metavar="FOLDER")
    parser.add_argument("--root", type=Path, default=TESTS.parent, metavar="DIR", help="of the tree")
    parser.add_argument("--compare", type=Path, metavar="FILE", help="an earlier census")
    options = parser.parse_args(arguments)
    rows = census(options.root, options.folders)
    if options.compare is None:
        print(*rows, sep="\n")
        return 0
    old = read_rows(options.compare.read_text())
    renamed = read_renamed(RENAMED.read_text()) if RENAMED.exists() else {}
    lost = list(losses(old, rows, renamed))
    print(*lost, f"before: {summary(old)}", f"now: {summary(rows)}", sep="\n")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
