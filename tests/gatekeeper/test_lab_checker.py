"""The checker of the lab detects violations inserted into histories, and passes a valid one."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from ashlift.gatekeeper.cli import ashlift
from ashlift.lab.checker import check_history
from ashlift.lab.history import HistoryError, read_history

Row = dict[str, object]

PLAN: Row = {"kind": "plan", "name": "basic", "rate": 10.0, "burst": 5.0}


def job_sent(job: str, at_ms: float, gatekeeper: str = "g1", units: float = 1) -> Row:
    return {
        "kind": "asked",
        "t": at_ms,
        "job": job,
        "firm": "f1",
        "plan": "basic",
        "units": units,
        "gatekeeper": gatekeeper,
    }


def job_answered(job: str, at_ms: float, status: int = 200, retry_after: float | None = None) -> Row:
    return {"kind": "answered", "t": at_ms, "job": job, "status": status, "retry_after": retry_after}


def clean_history() -> list[Row]:
    """Twenty jobs at ten per second, all within the quota, and a rejection with Retry-After."""
    rows = [PLAN]
    for number in range(20):
        rows.append(job_sent(f"j{number}", 100.0 * number))
        rows.append(job_answered(f"j{number}", 100.0 * number + 3))
    return [*rows, job_sent("r", 2000.0), job_answered("r", 2001.0, 429, 0.1)]


def to_lines(rows: list[Row]) -> list[str]:
    return [json.dumps(row) for row in rows]


def violated(rows: list[Row], allowed: float = 0.0) -> set[str]:
    verdicts = check_history(read_history(to_lines(rows)), allowed)
    return {verdict.name for verdict in verdicts if not verdict.ok}


def test_a_clean_history_passes_and_each_planted_violation_is_found() -> None:
    assert violated(clean_history()) == set()
    doubled = [*clean_history(), job_answered("j3", 900.0)]
    assert violated(doubled) == {"one_answer"}
    lost = [row for row in clean_history() if row != job_answered("j7", 703.0)]
    assert violated(lost) == {"one_answer"}
    assert violated([*clean_history(), job_answered("nobody", 5.0)]) == {"one_answer"}
    without_retry_after = [*clean_history(), job_sent("x", 2100.0), job_answered("x", 2101.0, 429)]
    assert violated(without_retry_after) == {"advice"}
    burst = [job_sent(f"b{number}", 1500.0, units=2) for number in range(4)]
    burst += [job_answered(f"b{number}", 1502.0) for number in range(4)]
    # 8 units at once, while the bucket holds 4.
    assert violated([*clean_history(), *burst]) == {"quota"}
    assert violated([*clean_history(), *burst], allowed=8.0) == set()
    out_of_order = [PLAN, job_sent("late", 900.0), job_answered("late", 901.0), *clean_history()[1:]]
    assert violated(out_of_order) == set()
    cut: Row = {
        "kind": "fault",
        "t": 100.0,
        "until": 900.0,
        "what": "cut",
        "ways": ["g1>counter", "counter>g1"],
    }
    assert violated([*clean_history(), cut]) == {"crossed"}
    met: Row = {"kind": "seen", "way": "g1>counter", "what": "refused", "count": 2}
    assert violated([*clean_history(), cut, met]) == set()


def test_jobs_open_at_a_kill_are_reported_and_no_violation() -> None:
    rows = [*clean_history(), job_sent("k", 2500.0, gatekeeper="g2")]
    rows.append({"kind": "killed", "t": 2600.0, "gatekeeper": "g2"})
    verdicts = check_history(read_history(to_lines(rows)))
    (verdict,) = [verdict for verdict in verdicts if verdict.name == "one_answer"]
    assert verdict.ok
    assert "open at a kill: g2 1" in verdict.line()
    assert violated([*rows, job_sent("late", 2700.0, gatekeeper="g3")]) == {"one_answer"}


@pytest.mark.parametrize(
    ("text", "where"),
    [
        ("{", "1: not JSON"),
        ('{"kind": "asked", "t": 1}', "1: job"),
        ('{"kind": "nap", "t": 1}', "1: kind"),
        (json.dumps(job_sent("a", 1.0)), "1: plan"),
    ],
)
def test_a_line_that_cannot_be_right_names_its_place_and_key(text: str, where: str) -> None:
    with pytest.raises(HistoryError, match=f"^{where}"):
        read_history([text])


def test_the_command_line_prints_a_line_for_each_invariant_and_fails_on_a_violation(tmp_path: Path) -> None:
    path = tmp_path / "h.jsonl"
    path.write_text("\n".join(to_lines([*clean_history(), job_answered("j3", 900.0)])))
    result = CliRunner().invoke(ashlift, ["lab", "check", str(path)])
    assert result.exit_code == 1
    assert result.output.splitlines()[0].startswith("FAIL one_answer")
    assert [line.split()[0] for line in result.output.splitlines()] == ["FAIL", "PASS", "PASS", "PASS"]
