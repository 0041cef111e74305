"""Reads the settings and runs the registry."""

import sys

from ashlift import exit_status, process
from ashlift.config.settings_file import SettingsFile
from ashlift.errors import Failure
from ashlift.events import ERROR, SETTINGS_INVALID, configure, log_event
from ashlift.metrics_server import metrics_port
from ashlift.registry.program import RegistryProgram


def main() -> int:
    """Run the registry; returns the exit status."""
    settings_file = SettingsFile(process.settings_path())
    settings = settings_file.read_at_start()
    if isinstance(settings, list):
        configure("registry", "?")
        for failure in settings:
            log_event(SETTINGS_INVALID, level=ERROR, error=failure.detail)
        return exit_status.INVALID_SETTINGS
    configure("registry", settings.node_name)
    if settings.bindings.control is None and settings.bindings.directory is None:
        log_event(SETTINGS_INVALID, level=ERROR, error="neither Bindings.Control nor Bindings.Directory")
        return exit_status.INVALID_SETTINGS
    port = metrics_port(sys.argv)
    if isinstance(port, Failure):
        log_event(SETTINGS_INVALID, level=ERROR, error=port.detail)
        return exit_status.INVALID_SETTINGS
    return RegistryProgram(settings_file, settings, port).run()
