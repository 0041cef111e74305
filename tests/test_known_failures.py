"""What CI passes over: the mechanism of KNOWN-RED.txt itself, on real runs of ward and pytest in a folder."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from ward import each, test

from tests.support.known_failures import REPORT, broken_off, from_pytest, judged

RESULTS = {
    "tests/test_a.py: one": True,
    "tests/test_a.py: two [2]": False,
    "tests/gatekeeper/test_b.py: test_c[x]": True,
}
TWO = "tests/test_a.py: two [2] | it is slow | 39"


@test("known red: {why}")
def _(
    why: str = each(
        "named",
        "named by its title",
        "nothing is named",
        "too many",
        "no such test",
        "no cause",
        "twice",
        "another fails",
        "passes after all",
    ),
) -> None:
    results, listed = dict(RESULTS), ["# tests", "", TWO]
    wanted, good = "known to fail: tests/test_a.py: two [2]: it is slow (39)", False
    match why:
        case "named":
            good = True
        case "named by its title":
            good, listed = True, [TWO.replace(" [2]", "")]
        case "nothing is named":
            listed, wanted = [], "failed: tests/test_a.py: two [2]"
        case "too many":
            more = {f"tests/test_a.py: n{number}": False for number in range(3)}
            results |= more
            listed += [f"{name} | a cause | 1" for name in more]
            wanted = "4 tests are named, 3 at most may be"
        case "no such test":
            listed += ["tests/test_a.py: two [3] | a cause | 1"]
            wanted = "there is no such test: tests/test_a.py: two [3]"
        case "no cause":
            listed += ["tests/test_a.py: one | 39"]
            wanted = "no line of TEST | CAUSE | ISSUE: tests/test_a.py: one | 39"
        case "twice":
            listed += [TWO]
            wanted = "named twice: tests/test_a.py: two [2]"
        case "another fails":
            results["tests/gatekeeper/test_b.py: test_c[x]"] = False
            wanted = "failed: tests/gatekeeper/test_b.py: test_c[x]"
        case _:
            results["tests/test_a.py: two [2]"], good = True, True
            wanted = "passes after all, to be taken off the list: tests/test_a.py: two [2] (39)"
    passed, messages = judged(listed, results)
    assert passed == good, messages
    assert wanted in messages, messages


@test("known red: a file that breaks off, or tells of no test, is no pass")
def _() -> None:
    exits = "1\ttests/test_a.py\n0\ttests/gatekeeper/\n1\ttests/gatekeeper/test_b.py\n0\ttests/test_gone.py\n"
    messages = broken_off(exits, RESULTS)
    assert messages == [
        "broke off with 1: tests/gatekeeper/test_b.py",
        "broke off with 0: tests/test_gone.py",
    ]


WARD = """
from ward import each, test

@test("sum of {one}")
def _(one=each(1, 2)):
    assert one == 1

@test("well")
def _():
    assert True
"""
PYTEST = """
import pytest

@pytest.mark.parametrize("one", [1, 2])
def test_sum(one):
    assert one == 1

class TestThings:
    def test_in(self):
        assert False
"""


@test("known red: what ward and pytest tell of their tests")
def _() -> None:
    root = Path(__file__).parent.parent
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        (path / "pyproject.toml").write_text('[tool.ward]\nhook_module = ["tests.support.known_failures"]\n')
        (path / "system").mkdir()
        (path / "system" / "test_w.py").write_text(WARD)
        (path / "tests").mkdir()
        (path / "tests" / "test_p.py").write_text(PYTEST)
        report, xml = path / "w.tsv", path / "p.xml"
        environment = {**os.environ, REPORT: str(report), "PYTHONPATH": str(root)}
        for asked in (["ward", "--path", "system/test_w.py"], ["pytest", "-q", f"--junitxml={xml}", "tests"]):
            subprocess.run([sys.executable, "-m", *asked], cwd=path, env=environment, capture_output=True)
        assert sorted(report.read_text().splitlines()) == [
            "failed\tsystem/test_w.py: sum of 2 [2]",
            "passed\tsystem/test_w.py: sum of 1 [1]",
            "passed\tsystem/test_w.py: well",
        ]
        found = from_pytest(xml.read_text())
        assert {name.partition(": ")[2]: good for name, good in found.items()} == {
            "test_sum[1]": True,
            "test_sum[2]": False,
            "test_in": False,
        }
        assert all(name.startswith(("tests/test_p", "test_p")) for name in found), found
