"""`python3 -m ashlift.configstore`: the store. Its settings file is named by ASHLIFT_SETTINGS."""

import os
import signal
import sys

import gevent

from ashlift.config import settings
from ashlift.configstore.server import Daemon, stop_on_broken
from ashlift.events import ERROR, SETTINGS_BAD, STARTED, STOPPING, set_up, tell

PATH = "/etc/ashlift/settings.toml"
DATA_FOLDER = "vise"  # under DataDirectory; disks written before the program was renamed stay readable


def main() -> int:
    found = settings.read(os.environ.get("ASHLIFT_SETTINGS", PATH))
    if not isinstance(found, settings.Settings):
        set_up("configstore", "?")
        for fault in found:
            tell(SETTINGS_BAD, level=ERROR, fault=fault.detail)
        return 78
    set_up("configstore", found.node_name)
    if found.data_directory is None:
        tell(SETTINGS_BAD, level=ERROR, fault="DataDirectory: is missing: the store needs a disk")
        return 78
    stop_on_broken(gevent.get_hub())
    daemon = Daemon(found, os.path.join(found.data_directory, DATA_FOLDER))

    def leave() -> None:
        tell(STOPPING)
        daemon.leave()

    gevent.signal_handler(signal.SIGTERM, leave)
    gevent.signal_handler(signal.SIGINT, leave)
    gevent.signal_handler(signal.SIGHUP, lambda: None)
    tell(STARTED, ip=found.ip, port=found.internal_ports[0], bootstrap=found.bootstrap)
    daemon.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
