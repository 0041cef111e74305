"""What loading the limiter costs each proxy."""

import subprocess
import sys

from ward import test


@test("limiter: loads the windows of the gatekeeper, and nothing of its gateway")
def _() -> None:
    loaded = "[n for n in sys.modules if n.startswith('ashlift.gatekeeper.')]"
    code = f"import sys, ashlift.traffic.rate_limiter; print(*{loaded})"
    told = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert told.stdout.split() == ["ashlift.gatekeeper.admission", "ashlift.gatekeeper.admission.window"]
