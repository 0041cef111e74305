"""Starts the proxy: `python3 -m ashlift.proxy`, with the settings file that ASHLIFT_SETTINGS names."""

import gc
import os
import sys
from typing import Final

from ashlift.config.settings import read_settings
from ashlift.errors import Failure
from ashlift.events import configure
from ashlift.metrics_server import metrics_port
from ashlift.proxy.program import EXIT_SETTINGS_INVALID, Program

DEFAULT_SETTINGS_PATH: Final = "/etc/ashlift/settings.toml"


def main() -> int:
    """Read the settings and run the proxy; returns the exit status."""
    path = os.environ.get("ASHLIFT_SETTINGS", DEFAULT_SETTINGS_PATH)
    settings = read_settings(path)
    if isinstance(settings, list):
        for failure in settings:
            print(f"proxy: {failure.detail}", file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    configure("proxy", settings.node_name)
    gc.freeze()
    port = metrics_port(sys.argv)
    if isinstance(port, Failure):
        print(f"proxy: {port.detail}", file=sys.stderr)
        return EXIT_SETTINGS_INVALID
    return Program(path, settings, port).run()


if __name__ == "__main__":
    sys.exit(main())
