"""Base class of the commands: exit codes, and printing of results and failures."""

from typing import Any, Final

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.outputs.output import Type

from ashlift.cli.control_client import get_json
from ashlift.errors import Failure, FailureReason

EXIT_SUCCESS: Final = 0
EXIT_DIFFERENT: Final = 1  # differences, rejected load, affected requests, or proxies that lag
EXIT_FAILED: Final = 2
EXIT_PENDING: Final = 3  # a route edit was not applied: it is pending, or conflicts

ADDRESS: Final = argument("address", "A Control address, such as 10.0.0.4:8200.")


class CliCommand(Command):
    """Prints results to standard output, and each failure on one line to standard error."""

    def print_lines(self, lines: list[str]) -> int:
        """Print results; return `EXIT_SUCCESS`."""
        for line in lines:
            self.io.output.write_line(line, type=Type.RAW)
        return EXIT_SUCCESS

    def print_failures(self, failures: list[Failure]) -> int:
        """Print failures; return `EXIT_FAILED`."""
        for failure in failures:
            self.io.error_output.write_line(" ".join(failure.detail.split()), type=Type.RAW)
        return EXIT_FAILED

    def print_error(self, text: str) -> int:
        """Print one error message; return `EXIT_FAILED`."""
        return self.print_failures([Failure(FailureReason.INVALID, text)])


def get_json_object(address: str, path: str) -> dict[str, Any] | Failure:
    """Return the JSON object of `GET path` from a Control address."""
    response = get_json(address, path)
    if isinstance(response, Failure | dict):
        return response
    return Failure(FailureReason.INVALID, f"{address}: GET {path}: is not a JSON object")
