"""What loading the limiter costs each proxy."""

import subprocess
import sys

from ward import test


@test("limiter: loads the windows of mintfront, and nothing of its gateway")
def _() -> None:
    code = "import sys, gauge.limits; print(*[n for n in sys.modules if n.startswith('mintfront.')])"
    told = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert told.stdout.split() == ["mintfront.window"]
