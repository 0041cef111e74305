"""`make demo` plays its scene on real processes, and says at its end what held and where the report is."""

import os
import re
import subprocess
import sys
from pathlib import Path

from ashlift.simulation.scenario import read_scenarios

ROOT = Path(__file__).resolve().parents[2]
UNTIL_S = 10.5  # of the scene: a configuration is taken and expected in force, and a gatekeeper is killed
MOST_S = 60  # for the command, which takes about 20 s


def test_the_demo_holds_on_real_processes_and_says_where_its_report_is(tmp_path: Path) -> None:
    report = tmp_path / "report.html"
    options = f"--until {UNTIL_S} --report {report} --results {tmp_path / 'results.sqlite'}"
    make = ["make", "--old-file=.venv/lab-ready", "demo", f"PY={sys.executable}", f"DEMO_OPTIONS={options}"]
    with subprocess.Popen(
        make, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, start_new_session=True
    ) as demo:
        try:
            told, errors = demo.communicate(timeout=MOST_S)
        except subprocess.TimeoutExpired:
            os.killpg(demo.pid, 15)  # the lab ends its own processes on SIGTERM
            told, errors = demo.communicate()
    assert demo.returncode == 0, told + errors
    scene = read_scenarios(ROOT / "scenarios" / "system-demo.txt")[0]
    assert [str(line) for line in scene.events if str(line) in errors] == [
        str(line) for line in scene.events if line.at <= UNTIL_S
    ]
    verdicts = re.findall(r"^(PASS|FAIL) (\w+): ", told, re.MULTILINE)
    assert verdicts and all(outcome == "PASS" for outcome, _ in verdicts)
    assert f"held: {len(verdicts)} of {len(verdicts)} verdicts\n" in told
    assert told.endswith(f"report: {report}\n") and report.stat().st_size > 0
