"""Reads the settings and runs the configuration store."""

import os
from typing import Final

import gevent
from gevent import socket
from gevent.event import Event

from ashlift import exit_status, process
from ashlift.config.settings import Settings
from ashlift.config.settings_file import SettingsFile
from ashlift.configstore.directory_lock import lock_directory
from ashlift.configstore.server import ConfigStoreServer
from ashlift.errors import Failure
from ashlift.events import ERROR, SETTINGS_INVALID, STARTED, STOPPING, configure, log_event
from ashlift.listeners import log_accept_errors, open_listener
from ashlift.rpc.server import ACCEPT_BACKLOG

PROGRAM: Final = "configstore"  # program name in log records
# Under DataDirectory. The program's former name, kept so that existing disks stay readable.
DATA_FOLDER: Final = "vise"


def main() -> int:
    """Run until the process is told to terminate and has transferred its leadership.

    :returns: the exit status: 0, or `EX_CONFIG` if the settings are invalid.
    """
    settings = SettingsFile(process.settings_path()).read_at_start()
    if isinstance(settings, list):
        configure(PROGRAM, "?")
        return _refuse(*(failure.detail for failure in settings))
    configure(PROGRAM, settings.node_name)
    if settings.data_directory is None:
        return _refuse("DataDirectory is required by the configuration store")
    return _serve(settings, os.path.join(settings.data_directory, DATA_FOLDER))


def _refuse(*errors: str) -> int:
    for error in errors:
        log_event(SETTINGS_INVALID, level=ERROR, error=error)
    return exit_status.INVALID_STORE_SETTINGS


def _serve(settings: Settings, folder: str) -> int:
    process.exit_on_unhandled_error()
    log_accept_errors()
    process.ignore_reload()
    termination = Event()
    process.on_termination(termination.set)
    listener = _take_machine(settings, folder, termination)
    if isinstance(listener, Failure):
        if termination.is_set():
            return exit_status.OK
        log_event(SETTINGS_INVALID, level=ERROR, error=listener.detail)
        return exit_status.CANNOT_LISTEN
    server = ConfigStoreServer(settings, folder, listener)

    def shut_down() -> None:
        termination.wait()
        log_event(STOPPING)
        server.shut_down()

    gevent.spawn(shut_down)
    log_event(STARTED, ip=settings.ip, port=settings.internal_ports[0], bootstrap=settings.bootstrap)
    server.run()
    return exit_status.OK


def _take_machine(settings: Settings, folder: str, termination: Event) -> socket.socket | Failure:
    """Lock the disk, then open the listener: both are free once the predecessor has ended.

    The state on disk is read afterwards, so that it is the predecessor's last.
    """
    failure = lock_directory(folder, termination.is_set)
    if failure is not None:
        return failure
    address = settings.ip, settings.internal_ports[0]
    return open_listener(address, ACCEPT_BACKLOG, termination.is_set)
