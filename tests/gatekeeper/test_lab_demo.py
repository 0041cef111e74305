"""`make demo` runs its scenario on real processes and prints the verdicts and the path of the report."""

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

from ashlift.simulation.scenario import read_scenarios

ROOT = Path(__file__).resolve().parents[2]
# Long enough for a configuration to be acknowledged and take effect, and for a proxy to be killed.
UNTIL_SECONDS = 10.5
TIMEOUT_SECONDS = 60  # for the command, which takes about 20 s


def test_the_demo_holds_on_real_processes_and_prints_where_its_report_is(tmp_path: Path) -> None:
    report = tmp_path / "report.html"
    options = f"--until {UNTIL_SECONDS} --report {report} --results {tmp_path / 'results.sqlite'}"
    make = ["make", "--old-file=.venv/lab-ready", "demo", f"PY={sys.executable}", f"DEMO_OPTIONS={options}"]
    with subprocess.Popen(
        make, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, start_new_session=True
    ) as demo:
        try:
            output, errors = demo.communicate(timeout=TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            # On SIGTERM the lab stops the processes that it started.
            os.killpg(demo.pid, signal.SIGTERM)
            output, errors = demo.communicate()
    assert demo.returncode == 0, output + errors
    scenario = read_scenarios(ROOT / "scenarios" / "system-demo.txt")[0]
    printed = [str(event) for event in scenario.events if str(event) in errors]
    assert printed == [str(event) for event in scenario.events if event.at <= UNTIL_SECONDS]
    verdicts = re.findall(r"^(PASS|FAIL) (\w+): ", output, re.MULTILINE)
    assert verdicts
    assert all(outcome == "PASS" for outcome, _ in verdicts)
    assert f"held: {len(verdicts)} of {len(verdicts)} verdicts\n" in output
    assert output.endswith(f"report: {report}\n")
    assert report.stat().st_size > 0
