"""Reads the settings and runs the proxy."""

import gc
import sys

from ashlift import exit_status, process
from ashlift.config.settings_file import SettingsFile
from ashlift.errors import Failure
from ashlift.events import configure
from ashlift.metrics_server import metrics_port
from ashlift.proxy.program import Program


def main() -> int:
    """Read the settings and run the proxy; returns the exit status."""
    settings_file = SettingsFile(process.settings_path())
    settings = settings_file.read_at_start()
    if isinstance(settings, list):
        for failure in settings:
            print(f"proxy: {failure.detail}", file=sys.stderr)
        return exit_status.INVALID_SETTINGS
    configure("proxy", settings.node_name)
    gc.freeze()
    port = metrics_port(sys.argv)
    if isinstance(port, Failure):
        print(f"proxy: {port.detail}", file=sys.stderr)
        return exit_status.INVALID_SETTINGS
    return Program(settings_file, settings, port).run()
