"""`python3 -m vise`: the store. Its settings file is named by ASHLIFT_SETTINGS."""

import os
import signal
import sys

import gevent

from jig import settings
from vise.daemon import Daemon, stop_on_broken
from workbench.events import ERROR, SETTINGS_BAD, STARTED, STOPPING, set_up, tell

PATH = "/etc/ashlift/settings.toml"


def main() -> int:
    found = settings.read(os.environ.get("ASHLIFT_SETTINGS", PATH))
    if not isinstance(found, settings.Settings):
        set_up("vise", "?")
        for fault in found:
            tell(SETTINGS_BAD, level=ERROR, fault=fault.detail)
        return 78
    set_up("vise", found.node_name)
    if found.data_directory is None:
        tell(SETTINGS_BAD, level=ERROR, fault="DataDirectory: is missing: the store needs a disk")
        return 78
    stop_on_broken(gevent.get_hub())
    daemon = Daemon(found, os.path.join(found.data_directory, "vise"))

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
