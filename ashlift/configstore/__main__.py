"""Entry point of the configuration store: `python3 -m ashlift.configstore`.

The settings file is named by the environment variable `ASHLIFT_SETTINGS`.
"""

import os
import sys

from ashlift import process
from ashlift.config import settings
from ashlift.config.settings import Settings
from ashlift.configstore.server import ConfigStoreServer
from ashlift.events import ERROR, SETTINGS_INVALID, STARTED, STOPPING, configure, log_event

PROGRAM = "configstore"  # program name in log records
# Under DataDirectory. The program's former name, kept so that existing disks stay readable.
DATA_FOLDER = "vise"


def main() -> int:
    """Run until the process is told to terminate and has transferred its leadership.

    :returns: the exit status: 0, or `EX_CONFIG` if the settings are invalid.
    """
    loaded = settings.read_settings(process.settings_path())
    if not isinstance(loaded, Settings):
        configure(PROGRAM, "?")
        for failure in loaded:
            log_event(SETTINGS_INVALID, level=ERROR, error=failure.detail)
        return process.EXIT_INVALID_SETTINGS
    configure(PROGRAM, loaded.node_name)
    if loaded.data_directory is None:
        log_event(SETTINGS_INVALID, level=ERROR, error="DataDirectory is required by the configuration store")
        return process.EXIT_INVALID_SETTINGS
    return _serve(loaded, os.path.join(loaded.data_directory, DATA_FOLDER))


def _serve(loaded: Settings, folder: str) -> int:
    process.exit_on_unhandled_error()
    process.ignore_reload()
    server = ConfigStoreServer(loaded, folder)

    def shut_down() -> None:
        log_event(STOPPING)
        server.shut_down()

    process.on_termination(shut_down)
    log_event(STARTED, ip=loaded.ip, port=loaded.internal_ports[0], bootstrap=loaded.bootstrap)
    server.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
