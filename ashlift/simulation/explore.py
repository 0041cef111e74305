"""Explores what a few real members of the store can come to (`simulation.cell`), and checks every step.

In two ways. *Troubles at every step*: all goes on in order, but up to `most` troubles come, each at any step
of a span; then the cell must agree on a change and read it back. *Any order* (`free`): any message that is
out and any timer may be next; layer by layer. Cells that go on alike are explored once. What the bounds cut
off is counted.
"""

import argparse
import time
from collections import deque
from typing import Final

from attrs import define, evolve

from ashlift.configstore.replica_state import InvariantError
from ashlift.simulation.cell import Cell, Kind, Rules
from ashlift.simulation.invariant_checker import InvariantViolationError
from ashlift.simulation.moves import after, begun, coming, steps

MESSAGES: Final[dict[Kind, int]] = {"lose": 9, "double": 9, "late": 9}
DISKS: Final[dict[Kind, int]] = {"crash": 9, "refuse": 9}
ALL: Final[dict[Kind, int]] = {**MESSAGES, **DISKS, "early": 9, "freeze": 9, "wipe": 9}
CASES: Final = {
    "change": Rules(budgets=ALL, script=("put 0 a", "read"), span=0.06),
    "race": Rules(budgets={**MESSAGES, "early": 9, "crash": 9}, script=("put 0 a b", "read"), span=0.06),
    "leaders": Rules(budgets={"freeze": 9, "late": 9}, script=("read", "put 0 a", "read"), span=0.06),
    "late": Rules(
        budgets={"freeze": 9, "crash": 9},
        span=1.2,
        script=("held +", "zone +", "zone -", "put 0 a", "again", "read"),
    ),
    "closing": Rules(budgets={"power": 1}, script=("put 0 a", "put 1 b", "put 2 c"), span=0.1),
    "closing 5": Rules(5, budgets={"power": 2}, script=("put 0 a", "put 1 b", "put 2 c"), span=0.1, wiped=2),
    "wiped": Rules(budgets={**ALL, "power": 9}, script=("put 0 a",), span=3.0),
    "begin": Rules(budgets={**ALL, "power": 9}, first=True, span=0.6),
    "begin 5": Rules(5, budgets=ALL, first=True, turned=True, span=1.5, wiped=2),
    "change 5": Rules(5, budgets=ALL, script=("put 0 a", "read"), span=0.06, wiped=2),
    "add": Rules(4, budgets=ALL, held=1, script=("add 4", "put 0 a", "read"), span=0.06),
    "remove": Rules(4, budgets=ALL, script=("remove 4", "put 0 a", "read"), span=0.06),
    "remove leader": Rules(4, budgets=ALL, script=("remove leader", "put 0 a", "read"), span=0.08),
    "replace": Rules(4, budgets=ALL, held=1, script=("replace 2", "add 4", "put 0 a"), span=0.1),
    "add+": Rules(4, budgets={"power": 1}, held=1, script=("add 4", "put 0 a", "put 1 b"), span=0.08),
    "remove+": Rules(4, budgets={"power": 1}, script=("remove 4", "put 0 a", "put 1 b"), span=0.08),
    "order": Rules(budgets={"timer": 2}, most=2, script=("put 0 a", "read"), free=True),
    "order+": Rules(
        budgets={"timer": 2, "double": 1, "crash": 1, "refuse": 1, "wipe": 1},
        most=3,
        script=("put 0 a", "read"),
        free=True,
    ),
}


@define
class Report:
    """`cells`: different ones; `again`: came to once more; `ends`: agreed at last; `cut`: not looked into
    because of a bound; `deepest`: steps; `wrong`: what was found, and the way to it."""

    cells: int = 0
    again: int = 0
    ends: int = 0
    cut: int = 0
    deepest: int = 0
    seconds: float = 0.0
    wrong: str = ""
    way: tuple[str, ...] = ()

    def __str__(self) -> str:
        cut = f", {self.cut} left by the bound" if self.cut else ", all of them"
        told = f"{self.cells} cells{cut}, {self.again} met again, {self.ends} ends, {self.deepest} steps deep"
        return f"{self.wrong or 'well'}: {told}, {self.seconds:.1f} s"


Way = tuple["Way", str] | None


def _told(way: Way) -> tuple[str, ...]:
    found = []
    while way is not None:
        way, step = way
        found.append(step)
    return tuple(reversed(found))


def _end(cell: Cell, seen: set[int], report: Report) -> None:
    """No trouble can come any more: on to the script's end, unless another way has led here."""
    while not cell.over():
        what = coming(cell)
        _, cell = next(after(cell, what))
        if isinstance(what, str):
            key = cell.key()
            if key in seen:
                report.again += 1
                return
            seen.add(key)
        else:
            report.cells += 1
    report.ends += 1


def explore(rules: Rules, most: int | None = None, cells: int = 100_000, depth: int = 1000) -> Report:
    """Stops at the first thing that is wrong."""
    began, report = time.perf_counter(), Report()
    try:
        start = begun(rules if most is None else evolve(rules, most=most))
    except (InvariantViolationError, InvariantError) as error:
        report.wrong, report.way = f"{error}", ("before any trouble",)
        return report
    todo: deque[tuple[Cell, Way, int]] = deque([(start, None, 0)])
    seen = {start.key()}
    while todo and not report.wrong:
        cell, way, deep = todo.popleft() if rules.free else todo.pop()
        report.deepest = max(report.deepest, deep)
        if len(seen) >= cells or deep >= depth:
            report.cut += 1
            continue
        told = "the first step"
        try:
            if not rules.free and cell.calm():
                told = "no more trouble"
                _end(cell, seen, report)
                continue
            for told, next_ in steps(cell):
                key = next_.key()
                if key in seen:
                    report.again += 1
                    continue
                seen.add(key)
                todo.append((next_, (way, told), deep + 1))
        except (InvariantViolationError, InvariantError) as error:
            report.wrong, report.way = f"{error}", (*_told(way), f"after: {told}")
    report.cells += len(seen)
    report.seconds = time.perf_counter() - began
    return report


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m ashlift.simulation explore", description="The store's members."
    )
    parser.add_argument("cases", nargs="*", metavar="CASE", help=f"all if none: {', '.join(CASES)}")
    parser.add_argument("--most", type=int, default=None, help="troubles in one way")
    parser.add_argument("--cells", type=int, default=100_000, help="about so many different cells of each")
    parser.add_argument("--depth", type=int, default=1000, help="steps from the beginning")
    told = parser.parse_args(arguments)
    failed = 0
    for case in told.cases or CASES:
        report = explore(CASES[case], told.most, told.cells, told.depth)
        print(f"{case}: {report}", *(f"    {step}" for step in report.way), sep="\n", flush=True)
        failed += bool(report.wrong)
    return 1 if failed else 0
