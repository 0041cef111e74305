"""Which tests may fail in CI: those named in KNOWN-RED.txt, and no others.

A line there is `TEST | CAUSE | ISSUE`, TEST as the reports name it: of ward
`tests/PACKAGE/test_X.py: title` (with its number if it has several cases alike), of pytest
`tests/gatekeeper/test_y.py: name`.
`python -m tests.support.known_failures LIST REPORTS` judges what a run has left in the folder REPORTS:
`*.tsv`, lines of outcome and test (written by the hook below, which ward calls), and `*.xml` of pytest;
`exits`: a command's exit status and its test file.
"""

import os
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any
from xml.etree import ElementTree

from ward.hooks import hook

MOST = 3
PASSED, FAILED = "passed", "failed"
REPORT = "WARD_REPORT"  # names the file that the hook writes


@hook
def after_session(config: Any, test_results: list[Any], status_code: Any) -> None:
    path = os.environ.get(REPORT)
    if path:
        outcomes = [(FAILED if one.outcome.will_fail_session else PASSED, one.test) for one in test_results]
        Path(path).write_text("".join(f"{outcome}\t{named(test)}\n" for outcome, test in outcomes))


def named(test: Any) -> str:
    """Of a ward test."""
    file = Path(test.path)
    number = f" [{test.param_meta.instance_index + 1}]" if test.param_meta.group_size > 1 else ""
    place = file.relative_to(Path.cwd()) if file.is_relative_to(Path.cwd()) else file
    return f"{place}: {' '.join(test.description.split())}{number}"


def from_pytest(text: str) -> dict[str, bool]:
    """Test -> whether it passed, of a junit file."""
    found = dict[str, bool]()
    for one in ElementTree.fromstring(text).iter("testcase"):
        file = one.get("classname", "").replace(".", "/") + ".py"
        bad = any(child.tag in ("failure", "error") for child in one)
        name = f"{file}: {one.get('name')}"
        found[name] = found.get(name, True) and not bad
    return found


def judged(listed: Iterable[str], results: dict[str, bool]) -> tuple[bool, list[str]]:
    """Whether the run passes, and the messages to print."""
    messages = list[str]()
    good = True
    known = dict[str, tuple[str, str]]()
    for line in listed:
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            good = False
            messages.append(f"no line of TEST | CAUSE | ISSUE: {line.strip()}")
            continue
        test, cause, issue = parts
        cases = [one for one in results if one.rpartition(" [")[0] == test]
        test = cases[0] if test not in results and len(cases) == 1 else test
        if test in known:
            good = False
            messages.append(f"named twice: {test}")
        known[test] = cause, issue
    if len(known) > MOST:
        good = False
        messages.append(f"{len(known)} tests are named, {MOST} at most may be")
    for test, (cause, issue) in known.items():
        if test not in results:
            good = False
            messages.append(f"there is no such test: {test}")
        elif results[test]:
            messages.append(f"passes after all, to be taken off the list: {test} ({issue})")
        else:
            messages.append(f"known to fail: {test}: {cause} ({issue})")
    for test in sorted(test for test, passed in results.items() if not passed and test not in known):
        good = False
        messages.append(f"failed: {test}")
    return good, messages


def broken_off(exits: str, results: dict[str, bool]) -> list[str]:
    """Files whose run failed though no test of theirs is reported as failed, or that reported no test."""
    found = []
    for line in exits.splitlines():
        status, _, file = line.partition("\t")
        mine = [passed for test, passed in results.items() if test.startswith(file)]
        if not mine or (status != "0" and all(mine)):
            found.append(f"broke off with {status}: {file}")
    return found


def main(listed: Path, reports: Path) -> int:
    results = dict[str, bool]()
    for path in sorted(reports.glob("*.tsv")):
        for line in path.read_text().splitlines():
            outcome, _, test = line.partition("\t")
            results[test] = results.get(test, True) and outcome == PASSED
    for path in sorted(reports.glob("*.xml")):
        results |= from_pytest(path.read_text())
    lines = listed.read_text().splitlines() if listed.exists() else []
    good, messages = judged(lines, results)
    gone = broken_off((reports / "exits").read_text(), results)
    print(*messages, *gone, f"{len(results)} tests, {sum(results.values())} passed", sep="\n")
    return 0 if good and not gone else 1


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]), Path(sys.argv[2])))
