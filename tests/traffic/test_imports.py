"""Imports of the rate limiter, which every proxy loads."""

import subprocess
import sys

from ward import test


@test("limiter: loads the sliding windows of the gatekeeper and nothing else of it")
def _() -> None:
    loaded = "[name for name in sys.modules if name.startswith('ashlift.gatekeeper.')]"
    code = f"import sys, ashlift.traffic.rate_limiter; print(*{loaded})"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert result.stdout.split() == ["ashlift.gatekeeper.admission", "ashlift.gatekeeper.admission.window"]
