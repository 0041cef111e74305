"""Functions shared by the programs' entry points, run in separate processes."""

import subprocess
import sys

from ward import each, test

from ashlift import exit_status, process

SCRIPT = """
import gevent
from ashlift import exit_status, process
process.exit_on_unhandled_error()
def fail(): raise {error}
gevent.spawn(fail)
gevent.sleep(0.2)
raise SystemExit(3)
"""


@test("an unhandled error in a greenlet ends the process, GreenletExit does not: {error}")
def _(error: str = each("ValueError('broken')", "gevent.GreenletExit()")) -> None:
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT.format(error=error)], capture_output=True, text=True, timeout=30
    )
    if "ValueError" in error:
        assert done.returncode == exit_status.INTERNAL_ERROR == 70
        assert "ValueError('broken')" in done.stderr
    else:
        assert done.returncode == 3
        assert done.stderr == ""


@test("exit statuses and the settings path match the deploy file")
def _() -> None:
    assert exit_status.INVALID_STORE_SETTINGS == 78
    assert process.SETTINGS_PATH_VARIABLE == "ASHLIFT_SETTINGS"
    assert process.DEFAULT_SETTINGS_PATH == "/etc/ashlift/settings.toml"
