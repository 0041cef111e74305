"""What all commands share: output, faults, and configurations by file or address."""

from typing import Any

from cleo.commands.command import Command
from cleo.io.outputs.output import Type

from ashlift.cli import sources
from ashlift.config import operator_config
from ashlift.errors import Failure

DIFFERENT = 1
FAILED = 2


class Tool(Command):
    def tell(self, lines: list[str]) -> int:
        for line in lines:
            self.io.output.write_line(line, type=Type.RAW)
        return 0

    def fail(self, faults: list[Failure]) -> int:
        for fault in faults:
            self.io.error_output.write_line(" ".join(fault.detail.split()), type=Type.RAW)
        return FAILED


def entries(source: str) -> dict[str, Any] | list[Failure]:
    """The map of the configuration in a file or at an address, or its faults, each told with its place."""
    body = sources.configuration(source)
    if isinstance(body, Failure):
        return [body]
    found = operator_config.load_configuration(body)
    if isinstance(found, list):
        return [Failure(one.reason, f"{source}: {one.detail}") for one in found]
    return found
